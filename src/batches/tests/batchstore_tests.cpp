#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "batches/tests/batchtable.h"
#include "batches/tests/storepair.h"

namespace papayarack::batches {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBodyBytes = 100'000;
constexpr int kCopies = 4;
/// Shorter than the time after which a leader without a quorum steps down.
constexpr milliseconds kPause{250};

SubmitBatch MakeBatch(const std::string& id, std::size_t body_bytes) {
  SubmitBatch batch;
  batch.id = id;
  batch.host = "h";
  batch.route_key = "h/r/";
  batch.items.push_back({"i", "/r/1", {}, std::string(body_bytes, 'b'), 100});
  return batch;
}

ReportOutcomes Completed(const std::string& text) {
  return {{{"b", "i", static_cast<std::uint8_t>(ItemEnd::kComplete), text, 3}}};
}

std::size_t Count(const std::vector<ResultCode>& codes, ResultCode wanted) {
  return static_cast<std::size_t>(std::ranges::count(codes, wanted));
}

}  // namespace

// Guards against stores that stay slow after a short delay: a caller that gets
// no answer in time sends its batch or report again, also through another
// process. If a copy of an uncommitted message became a log entry of its own,
// the logs and the links between members would fill with copies.
TEST_CASE("a copy of an uncommitted message adds no log entry") {
  StorePair pair;
  StoreMember& leader = pair.Leader();
  std::vector<ResultCode> codes;
  const auto all_answered = [&codes] { return codes.size() == kCopies; };
  const auto send_copies = [&](const std::string& path, const auto& message) {
    const std::uint64_t before = leader.BytesKept();
    for (int i = 0; i < kCopies; ++i) {
      leader.Ask(path, message, codes);
    }
    pair.RunLeaderAlone(kPause);
    CHECK(codes.empty());
    SECTION("and all senders are answered once it is committed") {
      pair.RunUntil(all_answered);
      CHECK(Count(codes, ResultCode::kOk) == kCopies);
      CHECK(leader.BytesKept() - before < 2 * kBodyBytes);
      SECTION("and a later copy adds nothing") {
        leader.Ask(path, message, codes);
        pair.RunUntil([&codes] { return codes.size() > kCopies; });
        CHECK(Count(codes, ResultCode::kOk) == kCopies + 1);
        CHECK(leader.BytesKept() - before < 2 * kBodyBytes);
      }
    }
    SECTION("and all senders are told that the outcome is unknown") {
      const Time until = MonotonicNow() + kTestTimeout;
      while (!all_answered() && MonotonicNow() < until) {
        pair.RunLeaderAlone(kSlice);
      }
      CHECK(Count(codes, ResultCode::kUnknownOutcome) == kCopies);
    }
  };
  SECTION("for a batch") {
    send_copies("/jobs/submit", MakeBatch("b", kBodyBytes));
  }
  SECTION("for the end of a batch") {
    const std::string long_id(kBodyBytes, 'b');
    leader.Ask("/jobs/submit", MakeBatch(long_id, 1), codes);
    pair.RunUntil([&codes] { return codes.size() == 1; });
    REQUIRE(codes == std::vector<ResultCode>{ResultCode::kOk});
    codes.clear();
    send_copies("/jobs/end", EndBatch{long_id});
  }
  SECTION("but a different batch with the same id is proposed separately") {
    const std::uint64_t before = leader.BytesKept();
    leader.Ask("/jobs/submit", MakeBatch("b", kBodyBytes), codes);
    leader.Ask("/jobs/submit", MakeBatch("b", kBodyBytes + 1), codes);
    pair.RunLeaderAlone(kPause);
    pair.RunUntil([&codes] { return codes.size() == 2; });
    CHECK(Count(codes, ResultCode::kOk) == 1);
    CHECK(Count(codes, ResultCode::kConflict) == 1);
    CHECK(leader.BytesKept() - before > 2 * kBodyBytes);
  }
  SECTION("for a report") {
    leader.Ask("/jobs/submit", MakeBatch("b", 1), codes);
    pair.RunUntil([&codes] { return codes.size() == 1; });
    REQUIRE(codes == std::vector<ResultCode>{ResultCode::kOk});
    codes.clear();
    send_copies("/jobs/report", Completed(std::string(kBodyBytes, 't')));
  }
  SECTION("for an outcome that is repeated in a larger report") {
    SubmitBatch batch = MakeBatch("b", 1);
    batch.items.push_back({"j", "/r/1", {}, "body", 100});
    leader.Ask("/jobs/submit", batch, codes);
    pair.RunUntil([&codes] { return codes.size() == 1; });
    codes.clear();
    const std::uint64_t before = leader.BytesKept();
    ReportOutcomes report = Completed(std::string(kBodyBytes, 't'));
    leader.Ask("/jobs/report", report, codes);
    report.outcomes.push_back(report.outcomes.front());
    report.outcomes.back().item = "j";
    leader.Ask("/jobs/report", report, codes);
    pair.RunLeaderAlone(kPause);
    pair.RunUntil([&codes] { return codes.size() == 2; });
    CHECK(Count(codes, ResultCode::kOk) == 2);
    const std::uint64_t added = leader.BytesKept() - before;
    CHECK(added > 2 * kBodyBytes);
    CHECK(added < 3 * kBodyBytes);
  }
}

// Guards against a leader that accepts more reports than it can commit. A
// report that is refused at once waits at its gate.
TEST_CASE("a report above the limit of uncommitted bytes is refused at once") {
  constexpr std::size_t kTextBytes = BatchStore::kMaxProposedBytes / 2;
  StorePair pair;
  StoreMember& leader = pair.Leader();
  std::vector<ResultCode> codes;
  SubmitBatch batch = MakeBatch("b", 1);
  for (const char* item : {"j", "k"}) {
    batch.items.push_back({item, "/r/1", {}, "body", 100});
  }
  leader.Ask("/jobs/submit", batch, codes);
  pair.RunUntil([&codes] { return codes.size() == 1; });
  codes.clear();
  const auto report = [&](const std::string& item, std::size_t bytes) {
    ReportOutcomes outcomes = Completed(std::string(bytes, 't'));
    outcomes.outcomes.front().item = item;
    leader.Ask("/jobs/report", outcomes, codes);
  };
  SECTION("and accepted after others are committed") {
    report("i", kTextBytes);
    report("j", kTextBytes);
    pair.RunLeaderAlone(kPause);
    CHECK(codes == std::vector<ResultCode>{ResultCode::kOverloaded});
    pair.RunUntil([&codes] { return codes.size() == 2; });
    report("j", kTextBytes);
    pair.RunUntil([&codes] { return codes.size() == 3; });
    CHECK(Count(codes, ResultCode::kOk) == 2);
  }
  SECTION("unless it is the only one, whatever its size") {
    report("i", BatchStore::kMaxProposedBytes + 1);
    pair.RunUntil([&codes] { return codes.size() == 1; });
    CHECK(codes == std::vector<ResultCode>{ResultCode::kOk});
  }
}

// Guards against items that keep running after their caller has ended the
// batch, until the EndBatch command is committed.
TEST_CASE("a request to end a batch stops its items before it is committed") {
  StorePair pair;
  for (StoreMember& member : pair.Members()) {
    member.SetRoutes(MakeBatchTable());
  }
  StoreMember& leader = pair.Leader();
  std::vector<ResultCode> codes;
  SubmitBatch batch = MakeBatch("b", 1);
  batch.items.push_back({"j", "/r/1", {}, "body", 100});
  leader.Ask("/jobs/submit", batch, codes);
  std::vector<PulledItems> pulls;
  const auto pull = [&](std::uint32_t room, std::vector<ItemRef> holding) {
    PullItems request;
    request.gate = "g";
    request.service = "llm";
    request.room = room;
    request.holding = std::move(holding);
    leader.Call("/jobs/pull", request,
                [&pulls](const coordination::GroupReply& reply) {
                  pulls.push_back(DecodeMessage<PulledItems>(reply.body));
                });
  };
  // No items are leased until the gates had time to report what they hold.
  while (pulls.empty() || pulls.back().items.empty()) {
    const std::size_t before = pulls.size();
    pull(1, {});
    pair.RunUntil([&] { return pulls.size() > before; });
    REQUIRE(pulls.size() > before);
  }
  REQUIRE(codes == std::vector<ResultCode>{ResultCode::kOk});
  const ItemRef held{"b", pulls.back().items.front().spec.id};
  pulls.clear();

  pull(1, {held});
  pair.RunUntil([&] { return pulls.size() == 1; });
  REQUIRE(pulls.back().items.size() == 1);
  const ItemRef other{"b", pulls.back().items.front().spec.id};
  // The gate returns `other`, which is queued again.
  pull(0, {held});
  pair.RunLeaderAlone(kSlice);
  leader.Ask("/jobs/end", EndBatch{"b"}, codes);
  pair.RunLeaderAlone(kPause);
  CHECK(codes.size() == 1);

  SECTION("a gate that runs its items is told at once") {
    REQUIRE(pulls.size() == 2);
    CHECK(pulls.back().stop == std::vector<ItemRef>{held});
  }
  SECTION("a gate with free slots gets none of its items") {
    pull(5, {});
    pair.RunLeaderAlone(kPause);
    CHECK(pulls.size() == 2);
  }
  SECTION("and the caller is answered once it is committed") {
    pair.RunUntil([&] { return codes.size() == 2; });
    CHECK(Count(codes, ResultCode::kOk) == 2);
  }
  SECTION("but the outcome is unknown if it is not committed") {
    const Time until = MonotonicNow() + kTestTimeout;
    while (codes.size() < 2 && MonotonicNow() < until) {
      pair.RunLeaderAlone(kSlice);
    }
    CHECK(Count(codes, ResultCode::kUnknownOutcome) == 1);
  }
}

// Guards against gates that send the texts of returned items several times:
// only an answer tells a gate that the texts arrived. If the leader kept the
// pull open for a second because it has no items, the gate would send them
// again with its next pull.
TEST_CASE("a pull that returns items is answered at once") {
  constexpr milliseconds kFarBelowPullTimeout{500};
  StorePair pair;
  std::vector<ResultCode> codes;
  const auto answered = [&codes] { return !codes.empty(); };
  PullItems pull;
  pull.gate = "g";
  const Time start = MonotonicNow();
  SECTION("even if the item is unknown") {
    pull.returned.push_back({{"b", "i"}, {"made", 1}});
    pair.Leader().Ask("/jobs/pull", pull, codes);
    pair.RunUntil(answered);
    CHECK(MonotonicNow() - start < kFarBelowPullTimeout);
  }
  SECTION("a pull that returns nothing is kept open") {
    pair.Leader().Ask("/jobs/pull", pull, codes);
    pair.RunUntil(answered);
    CHECK(MonotonicNow() - start > kFarBelowPullTimeout);
  }
  CHECK(codes == std::vector<ResultCode>{ResultCode::kOk});
}

}  // namespace papayarack::batches
