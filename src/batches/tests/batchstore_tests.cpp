#include <asio.hpp>
#include <catch2/catch.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "batches/tests/batchtable.h"
#include "batches/tests/storemember.h"

namespace papayarack::batches {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBodyBytes = 100'000;
constexpr int kCopies = 4;
/// Each loop runs this long in turn.
constexpr milliseconds kSlice{5};
/// An election takes 0.15 to 1.2 s; far more says that it hangs.
constexpr milliseconds kPatience{6000};
/// Shorter than the time after which a leader without its quorum gives up.
constexpr milliseconds kHeldUp{250};

/// Two members, so that nothing is committed while one of them is held up.
class Pair {
 public:
  Pair() {
    this->members.emplace_back(1);
    this->members.emplace_back(2);
    const consensus::MemberList founders{
        {{1, this->members.front().Address(), true},
         {2, this->members.back().Address(), true}}};
    for (StoreMember& member : this->members) {
      member.Start(founders);
    }
    this->RunUntil([this] {
      return this->members.front().leads || this->members.back().leads;
    });
    REQUIRE((this->members.front().leads || this->members.back().leads));
  }

  StoreMember& Leader() {
    return this->members.front().leads ? this->members.front()
                                       : this->members.back();
  }

  std::list<StoreMember>& Members() { return this->members; }

  void RunUntil(const std::function<bool()>& done) {
    const Time until = MonotonicNow() + kPatience;
    while (!done() && MonotonicNow() < until) {
      for (StoreMember& member : this->members) {
        member.Run(kSlice);
      }
    }
  }

  /// The other member is held up for `time`.
  void RunLeaderAlone(milliseconds time) {
    const Time until = MonotonicNow() + time;
    while (MonotonicNow() < until) {
      this->Leader().Run(kSlice);
    }
  }

 private:
  std::list<StoreMember> members;
};

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

// Symptom: stores that are slow for a moment stay slow: their logs and the
// links between them fill with the same batch and the same texts many times.
// Sequence: a member answers late; whoever submitted or reported hears nothing
// in time and sends all of it again, also through another process. Cause: only
// what was applied was recognised; a copy of what was on its way became a
// further entry of the log, sent whole to every member.
TEST_CASE("a copy of what is on its way is no further entry of the log") {
  Pair pair;
  StoreMember& leader = pair.Leader();
  std::vector<ResultCode> codes;
  const auto all_answered = [&codes] { return codes.size() == kCopies; };
  const auto send_copies = [&](const std::string& path, const auto& message) {
    const std::uint64_t before = leader.BytesKept();
    for (int i = 0; i < kCopies; ++i) {
      leader.Ask(path, message, codes);
    }
    pair.RunLeaderAlone(kHeldUp);
    CHECK(codes.empty());
    SECTION("whose senders are all answered once it is durable") {
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
    SECTION("whose senders all learn that its outcome is unknown") {
      const Time until = MonotonicNow() + kPatience;
      while (!all_answered() && MonotonicNow() < until) {
        pair.RunLeaderAlone(kSlice);
      }
      CHECK(Count(codes, ResultCode::kUnknownOutcome) == kCopies);
    }
  };
  SECTION("of a batch") {
    send_copies("/jobs/submit", MakeBatch("b", kBodyBytes));
  }
  SECTION("of a batch's end") {
    const std::string long_id(kBodyBytes, 'b');
    leader.Ask("/jobs/submit", MakeBatch(long_id, 1), codes);
    pair.RunUntil([&codes] { return codes.size() == 1; });
    REQUIRE(codes == std::vector<ResultCode>{ResultCode::kOk});
    codes.clear();
    send_copies("/jobs/end", EndBatch{long_id});
  }
  SECTION("though another batch of that id is judged by itself") {
    const std::uint64_t before = leader.BytesKept();
    leader.Ask("/jobs/submit", MakeBatch("b", kBodyBytes), codes);
    leader.Ask("/jobs/submit", MakeBatch("b", kBodyBytes + 1), codes);
    pair.RunLeaderAlone(kHeldUp);
    pair.RunUntil([&codes] { return codes.size() == 2; });
    CHECK(Count(codes, ResultCode::kOk) == 2);
    CHECK(leader.BytesKept() - before > 2 * kBodyBytes);
  }
  SECTION("of a report") {
    leader.Ask("/jobs/submit", MakeBatch("b", 1), codes);
    pair.RunUntil([&codes] { return codes.size() == 1; });
    REQUIRE(codes == std::vector<ResultCode>{ResultCode::kOk});
    codes.clear();
    send_copies("/jobs/report", Completed(std::string(kBodyBytes, 't')));
  }
  SECTION("of a part of a report that comes with more") {
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
    pair.RunLeaderAlone(kHeldUp);
    pair.RunUntil([&codes] { return codes.size() == 2; });
    CHECK(Count(codes, ResultCode::kOk) == 2);
    const std::uint64_t added = leader.BytesKept() - before;
    CHECK(added > 2 * kBodyBytes);
    CHECK(added < 3 * kBodyBytes);
  }
}

// Guards against a leader that takes more than it can commit: refused at once,
// a report waits at its gate.
TEST_CASE("a report for which the log has no room is refused at once") {
  constexpr std::size_t kTextBytes = BatchStore::kMostProposedBytes / 2;
  Pair pair;
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
  SECTION("and taken once there is room") {
    report("i", kTextBytes);
    report("j", kTextBytes);
    pair.RunLeaderAlone(kHeldUp);
    CHECK(codes == std::vector<ResultCode>{ResultCode::kOverloaded});
    pair.RunUntil([&codes] { return codes.size() == 2; });
    report("j", kTextBytes);
    pair.RunUntil([&codes] { return codes.size() == 3; });
    CHECK(Count(codes, ResultCode::kOk) == 2);
  }
  SECTION("but not the only one, whatever its size") {
    report("i", BatchStore::kMostProposedBytes + 1);
    pair.RunUntil([&codes] { return codes.size() == 1; });
    CHECK(codes == std::vector<ResultCode>{ResultCode::kOk});
  }
}

// Guards against items that run after their caller has ended the batch: the end
// waited for the log, and gates went on until it was committed.
TEST_CASE("an end that is asked stops the batch before it is committed") {
  Pair pair;
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
    PullItems asked;
    asked.gate = "g";
    asked.service = "llm";
    asked.room = room;
    asked.holding = std::move(holding);
    leader.Call("/jobs/pull", asked,
                [&pulls](const coordination::GroupReply& reply) {
                  pulls.push_back(DecodeMessage<PulledItems>(reply.body));
                });
  };
  // Gates say first what they hold; only then is anything handed out.
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
  // Handed back: it waits again.
  pull(0, {held});
  pair.RunLeaderAlone(kSlice);
  leader.Ask("/jobs/end", EndBatch{"b"}, codes);
  pair.RunLeaderAlone(kHeldUp);
  CHECK(codes.size() == 1);

  SECTION("whoever runs its items is told at once") {
    REQUIRE(pulls.size() == 2);
    CHECK(pulls.back().stop == std::vector<ItemRef>{held});
  }
  SECTION("whoever has room gets none of them") {
    pull(5, {});
    pair.RunLeaderAlone(kHeldUp);
    CHECK(pulls.size() == 2);
  }
  SECTION("and it is answered once it is committed") {
    pair.RunUntil([&] { return codes.size() == 2; });
    CHECK(Count(codes, ResultCode::kOk) == 2);
  }
  SECTION("but an end that is not committed stops nothing for good") {
    const Time until = MonotonicNow() + kPatience;
    while (codes.size() < 2 && MonotonicNow() < until) {
      pair.RunLeaderAlone(kSlice);
    }
    CHECK(Count(codes, ResultCode::kUnknownOutcome) == 1);
  }
}

// Symptom: gates send the texts of items that they hand back several times.
// Sequence: the leader holds the pull that carries them for a second, as it has
// no items; meanwhile room changes and the gate asks anew. Cause: only an
// answer tells the gate that the texts arrived.
TEST_CASE("a pull that hands something back is answered at once") {
  constexpr milliseconds kFarBelowHold{500};
  Pair pair;
  std::vector<ResultCode> codes;
  const auto answered = [&codes] { return !codes.empty(); };
  PullItems pull;
  pull.gate = "g";
  const Time start = MonotonicNow();
  SECTION("whether the item is known or not") {
    pull.returned.push_back({{"b", "i"}, {"made", 1}});
    pair.Leader().Ask("/jobs/pull", pull, codes);
    pair.RunUntil(answered);
    CHECK(MonotonicNow() - start < kFarBelowHold);
  }
  SECTION("one that does not is held") {
    pair.Leader().Ask("/jobs/pull", pull, codes);
    pair.RunUntil(answered);
    CHECK(MonotonicNow() - start > kFarBelowHold);
  }
  CHECK(codes == std::vector<ResultCode>{ResultCode::kOk});
}

}  // namespace papayarack::batches
