#include <algorithm>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include "batches/tests/storemember.h"
#include "coordination/groupclient.h"

namespace papayarack::batches {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMembers = 3;
constexpr const char* kBatch = "b";
constexpr const char* kItem = "i";
constexpr const char* kBody = "the body";
/// The members' and the entry's loops run in turn, each for this long.
constexpr milliseconds kSlice{2};
constexpr milliseconds kTestTimeout{6000};
/// Time of a call and of one attempt, as entries call for their callers.
constexpr milliseconds kCallTime{1300};
constexpr milliseconds kAttemptTime{600};
/// A caller whose call was refused asks again after this time.
constexpr milliseconds kAgainAfter{100};
/// How long a process may be without the group's leader after a fault.
constexpr milliseconds kContactTime{3000};
/// How long bodies are asked for after a fault.
constexpr milliseconds kObserved{7000};

/// Accepts connections and never sends a byte, as a VM without power behind a
/// network that keeps its connections.
class SilentAddress {
 public:
  explicit SilentAddress(asio::io_context& context)
      : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {}
  std::string Address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

 private:
  asio::ip::tcp::acceptor acceptor;
};

/// Three members and an entry that calls them for its callers.
class Group {
 public:
  Group() {
    consensus::MemberList founders;
    for (std::size_t i = 0; i < kMembers; ++i) {
      this->members.emplace_back(i + 1);
      founders.members.push_back({i + 1, this->members.back().Address(), true});
    }
    for (StoreMember& member : this->members) {
      member.Start(founders);
    }
    this->search.SetMembers(this->Addresses());
    REQUIRE(this->RunUntil([this] { return this->FirstLeader() != nullptr; }));
    SubmitBatch batch;
    batch.id = kBatch;
    batch.host = "h";
    batch.route_key = "h/r/";
    batch.items.push_back({kItem, "/r/1", {}, kBody, 100});
    REQUIRE(this->Call("/jobs/submit", EncodeMessage(batch)).code ==
            ResultCode::kOk);
    REQUIRE(this->Body().code == ResultCode::kOk);
  }

  struct Outcome {
    ResultCode code = ResultCode::kOk;
    std::string body;
  };

  Outcome Body() {
    return this->Call("/jobs/body", EncodeMessage(ReadItemBody{kBatch, kItem}));
  }

  /// Asks for the body for kObserved, again after each answer; the longest time
  /// without it.
  milliseconds LongestWithoutBody() {
    const Time until = MonotonicNow() + kObserved;
    Time last = MonotonicNow();
    Duration longest{0};
    while (MonotonicNow() < until) {
      const Outcome outcome = this->Body();
      CHECK(outcome.code != ResultCode::kNotFound);
      const Time now = MonotonicNow();
      longest = std::max(longest, now - last);
      if (outcome.code == ResultCode::kOk) {
        CHECK(outcome.body == kBody);
        last = now;
      }
      this->RunFor(kAgainAfter);
    }
    return std::chrono::duration_cast<milliseconds>(longest);
  }

  /// The member that led first. Precondition: no fault yet.
  StoreMember* FirstLeader() {
    const auto found = std::ranges::find_if(this->members, &StoreMember::leads);
    return found != this->members.end() ? &*found : nullptr;
  }
  std::vector<StoreMember*> Others() {
    std::vector<StoreMember*> others;
    for (StoreMember& member : this->members) {
      if (&member != this->FirstLeader()) {
        others.push_back(&member);
      }
    }
    return others;
  }
  std::vector<std::string> Addresses() const {
    std::vector<std::string> addresses;
    for (const StoreMember& member : this->members) {
      addresses.push_back(member.Address());
    }
    return addresses;
  }
  /// The member does nothing any more; its connections stay open.
  void Freeze(const StoreMember* member) { this->frozen = member; }

  asio::io_context context;
  coordination::LeaderSearch search;

 private:
  Outcome Call(const std::string& path, const std::string& body) {
    std::optional<Outcome> outcome;
    this->jobs.Call(path, body, kCallTime, kAttemptTime,
                    [&outcome](const Result& result, std::string reply) {
                      outcome = Outcome{result.code, std::move(reply)};
                    });
    REQUIRE(this->RunUntil([&outcome] { return outcome.has_value(); }));
    return *outcome;
  }

  void RunSlice() {
    for (StoreMember& member : this->members) {
      if (&member != this->frozen) {
        member.Run(kSlice);
      }
    }
    this->context.run_for(kSlice);
    this->context.restart();
  }
  bool RunUntil(const std::function<bool()>& done) {
    const Time until = MonotonicNow() + kTestTimeout;
    while (!done() && MonotonicNow() < until) {
      this->RunSlice();
    }
    return done();
  }
  void RunFor(milliseconds time) {
    const Time until = MonotonicNow() + time;
    this->RunUntil([until] { return MonotonicNow() >= until; });
  }

  std::list<StoreMember> members;
  const StoreMember* frozen = nullptr;
  transport::PeerClient peers{this->context};
  coordination::GroupClient jobs{this->context, this->peers, this->search};
};

}  // namespace

// Guards against bodies that are refused for seconds though a majority is well:
// callers ask through members that cannot answer.
TEST_CASE("the body of an item comes soon after the leader is lost") {
  Group group;
  StoreMember* leader = group.FirstLeader();
  SECTION("as it stands still") { group.Freeze(leader); }
  SECTION("as it and the others are cut from each other") {
    for (StoreMember* other : group.Others()) {
      leader->CutFrom(*other);
      other->CutFrom(*leader);
    }
  }
  SECTION("as it hears none of the others, while they hear it") {
    for (StoreMember* other : group.Others()) {
      leader->CutFrom(*other);
    }
  }
  SECTION("as none of the others hears it") {
    for (StoreMember* other : group.Others()) {
      other->CutFrom(*leader);
    }
  }
  SECTION("as its disk stalls") { leader->StallDisk(true); }
  const milliseconds longest = group.LongestWithoutBody();
  INFO("longest time without the body: " << longest.count() << " ms");
  CHECK(longest <= kContactTime);
}

// Guards against the same where addresses of former members, which are silent,
// come before those of the members.
TEST_CASE("the body of an item comes though known members are silent") {
  Group group;
  const SilentAddress first(group.context);
  const SilentAddress second(group.context);
  std::vector<std::string> known = {first.Address(), second.Address()};
  SECTION("and the leader is well") {}
  SECTION("and the leader stands still") { group.Freeze(group.FirstLeader()); }
  for (const std::string& address : group.Addresses()) {
    known.push_back(address);
  }
  group.search.SetMembers(known);
  group.search.Lost(group.search.leader());
  const milliseconds longest = group.LongestWithoutBody();
  INFO("longest time without the body: " << longest.count() << " ms");
  CHECK(longest <= kContactTime);
}

}  // namespace papayarack::batches
