#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <list>
#include <string>
#include <vector>

#include "batches/tests/storemember.h"

namespace papayarack::batches {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMembers = 3;
constexpr milliseconds kSlice{5};
constexpr milliseconds kTestTimeout{6000};
/// Shorter than an election timeout, so that the follower does not count as
/// lost.
constexpr milliseconds kPause{500};
constexpr std::size_t kTextBytes = 500'000;
/// Several snapshots of the leader.
constexpr std::size_t kBatches = 12;

class Group {
 public:
  Group() {
    consensus::MemberList founders;
    for (std::size_t i = 1; i <= kMembers; ++i) {
      this->members.emplace_back(i);
      founders.members.push_back({i, this->members.back().Address(), true});
    }
    for (StoreMember& member : this->members) {
      member.Start(founders);
    }
    this->RunUntil([this] { return this->Leader() != nullptr; });
    REQUIRE(this->Leader() != nullptr);
  }

  StoreMember* Leader() {
    const auto found = std::ranges::find_if(
        this->members, [](const StoreMember& member) { return member.leads; });
    return found != this->members.end() ? &*found : nullptr;
  }

  StoreMember& Follower() {
    return *std::ranges::find_if(this->members, [this](StoreMember& member) {
      return &member != this->Leader();
    });
  }

  void RunUntil(const std::function<bool()>& done) {
    const Time until = MonotonicNow() + kTestTimeout;
    while (!done() && MonotonicNow() < until) {
      for (StoreMember& member : this->members) {
        if (&member != this->paused) {
          member.Run(kSlice);
        }
      }
    }
  }

  void RunFor(milliseconds time) {
    const Time until = MonotonicNow() + time;
    this->RunUntil([until] { return MonotonicNow() >= until; });
  }

  const StoreMember* paused = nullptr;

 private:
  std::list<StoreMember> members;
};

std::string IdOf(std::size_t batch) { return "b" + std::to_string(batch); }

void Submit(Group& group) {
  std::vector<ResultCode> codes;
  for (std::size_t batch = 0; batch < kBatches; ++batch) {
    SubmitBatch submission;
    submission.id = IdOf(batch);
    submission.host = "h";
    submission.route_key = "h/r/";
    submission.items.push_back({"i", "/r/1", {}, "body", 100});
    group.Leader()->Ask("/jobs/submit", submission, codes);
  }
  group.RunUntil([&codes] { return codes.size() == kBatches; });
  REQUIRE(codes == std::vector<ResultCode>(kBatches, ResultCode::kOk));
}

void Report(Group& group, std::vector<ResultCode>& codes) {
  const std::string text(kTextBytes, 't');
  for (std::size_t batch = 0; batch < kBatches; ++batch) {
    const ReportOutcomes report{
        {{IdOf(batch), "i", static_cast<std::uint8_t>(ItemEnd::kComplete), text,
          3}}};
    group.Leader()->Ask("/jobs/report", report, codes);
  }
}

}  // namespace

// Guards against a leader that stands still while it exports its whole state
// for a follower that is only a few megabytes of results behind.
TEST_CASE("a follower that is a moment behind is sent the log, not the state") {
  Group group;
  Submit(group);
  StoreMember& leader = *group.Leader();
  group.paused = &group.Follower();
  std::vector<ResultCode> codes;
  Report(group, codes);
  group.RunFor(kPause);
  REQUIRE(codes == std::vector<ResultCode>(kBatches, ResultCode::kOk));
  group.paused = nullptr;
  group.RunFor(2 * kPause);
  CHECK(leader.StateRequests() == 0);
}

}  // namespace papayarack::batches
