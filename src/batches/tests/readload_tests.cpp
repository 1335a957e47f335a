#include <algorithm>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "batches/tests/storepair.h"
#include "transport/peerclient.h"

namespace papayarack::batches {
namespace {

constexpr std::size_t kBatches = 80;
constexpr std::size_t kTextBytes = 200'000;
constexpr std::size_t kAllBytes = kBatches * kTextBytes;
/// Snapshots move the texts from memory to files, where reads are counted.
constexpr milliseconds kSettle{100};

std::string IdOf(std::size_t batch) { return "b" + std::to_string(batch); }

/// Batches that are stored at once: fewer bytes than a leader accepts
/// uncommitted.
constexpr std::size_t kGroup = 20;
static_assert(kGroup * kTextBytes < BatchStore::kMaxProposedBytes);

SubmitBatch MakeBatch(const std::string& id) {
  SubmitBatch batch;
  batch.id = id;
  batch.host = "h";
  batch.route_key = "h/r/";
  batch.items.push_back({"i", "/r/1", {}, "body", 100});
  return batch;
}

ReportOutcomes MakeReport(const std::string& id) {
  const std::string text(kTextBytes, 't');
  return {{{id, "i", static_cast<std::uint8_t>(ItemEnd::kComplete), text, 3}}};
}

/// A group whose leader stores one large result in each batch.
class FullPair : public StorePair {
 public:
  FullPair() {
    for (std::size_t first = 0; first < kBatches; first += kGroup) {
      this->AskForGroup(first, "/jobs/submit", MakeBatch);
      this->AskForGroup(first, "/jobs/report", MakeReport);
    }
    this->RunAll(kSettle);
  }

 private:
  template <typename Make>
  void AskForGroup(std::size_t first, const std::string& path,
                   const Make& make) {
    std::vector<ResultCode> codes;
    for (std::size_t batch = first; batch < first + kGroup; ++batch) {
      this->Leader().Ask(path, make(IdOf(batch)), codes);
    }
    this->RunUntil([&codes] { return codes.size() == kGroup; });
    REQUIRE(codes == std::vector<ResultCode>(kGroup, ResultCode::kOk));
  }
};

/// Callers in another process, one for each batch; they read all its results.
class Readers {
 public:
  explicit Readers(const StoreMember& leader)
      : leader(ParseEndpoint(leader.Address(), "leader")) {}

  /// Reads each batch that is not read yet.
  void Ask() {
    for (std::size_t batch = 0; batch < kBatches; ++batch) {
      if (!this->done.at(batch)) {
        this->Ask(batch);
      }
    }
    this->Run();
  }

  /// Cancels each read that is not answered.
  void GiveUp() {
    for (const transport::CallId call : this->calls) {
      this->peers.Cancel(call);
    }
    this->calls.clear();
    this->Run();
  }

  void Poll() {
    this->context.poll();
    this->context.restart();
  }

  std::size_t Done() const {
    return static_cast<std::size_t>(std::ranges::count(this->done, true));
  }

 private:
  void Ask(std::size_t batch) {
    transport::CallHandlers handlers;
    handlers.on_message = [this, batch](const std::string& message) {
      const auto reply = DecodeMessage<coordination::GroupReply>(message);
      if (reply.code == static_cast<int>(ResultCode::kOk)) {
        const auto page = DecodeMessage<ResultPage>(reply.body);
        REQUIRE(page.results.size() == 1);
        CHECK(page.results.front().text.size() == kTextBytes);
        this->done.at(batch) = true;
      }
    };
    this->calls.push_back(this->peers.Call(
        this->leader, "/jobs/read", EncodeMessage(ReadResults{IdOf(batch)}),
        std::move(handlers)));
  }

  /// Long enough to pass everything to the kernel.
  void Run() {
    this->context.run_for(milliseconds(20));
    this->context.restart();
  }

  Endpoint leader;
  asio::io_context context;
  transport::PeerClient peers{this->context};
  std::vector<transport::CallId> calls;
  std::vector<bool> done = std::vector<bool>(kBatches, false);
};

}  // namespace

// Guards against a leader that builds answers for callers that have given up.
TEST_CASE("reads whose callers have given up are not answered") {
  constexpr milliseconds kShort{60};
  constexpr std::size_t kFewTurnsBytes =
      3 * (ReadQueue::kMaxTurnBytes + kTextBytes);
  FullPair pair;
  StoreMember& leader = pair.Leader();
  Readers readers(leader);
  const std::uint64_t before = leader.BytesRead();
  // The other member does not confirm the leader.
  readers.Ask();
  pair.RunLeaderAlone(kShort);
  REQUIRE(leader.BytesRead() == before);
  SECTION("when they gave up before the leader was confirmed") {
    readers.GiveUp();
    pair.RunLeaderAlone(kShort);
    pair.RunAll(kShort);
    CHECK(leader.BytesRead() == before);
  }
  SECTION("when they gave up while others are answered") {
    pair.Follower().Run(kShort);
    const Time until = MonotonicNow() + kTestTimeout;
    while (leader.BytesRead() == before && MonotonicNow() < until) {
      leader.RunOne();
    }
    REQUIRE(leader.BytesRead() > before);
    readers.GiveUp();
    pair.RunAll(4 * kShort);
    CHECK(leader.BytesRead() - before <= kFewTurnsBytes);
  }
}

// Guards against a leader that never catches up: reading all batches takes
// longer than an attempt of their callers, who then ask again.
TEST_CASE("all batches can be read although one attempt is too short") {
  /// What the leader can read during one attempt. If one handler reads more,
  /// the leader does nothing else for as long as that takes.
  constexpr std::uint64_t kAttemptBytes = kAllBytes / 4;
  constexpr int kAttempts = 3 * static_cast<int>(kAllBytes / kAttemptBytes);
  FullPair pair;
  StoreMember& leader = pair.Leader();
  Readers readers(leader);
  std::uint64_t overrun = 0;
  int attempts = 0;
  for (; attempts < kAttempts && readers.Done() < kBatches; ++attempts) {
    readers.Ask();
    if (overrun >= kAttemptBytes) {
      overrun -= kAttemptBytes;
    } else {
      const std::uint64_t limit = leader.BytesRead() + kAttemptBytes - overrun;
      const Time until = MonotonicNow() + kTestTimeout;
      while (readers.Done() < kBatches && leader.BytesRead() < limit &&
             MonotonicNow() < until) {
        leader.RunOne();
        pair.Follower().RunOne();
        readers.Poll();
      }
      overrun = leader.BytesRead() - std::min(leader.BytesRead(), limit);
    }
    readers.GiveUp();
  }
  INFO("after " << attempts << " attempts");
  CHECK(readers.Done() == kBatches);
}

}  // namespace papayarack::batches
