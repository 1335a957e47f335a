#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "quarantine/crashledger.h"

namespace papayarack::quarantine {
namespace {

using std::chrono::milliseconds;

constexpr Fingerprint kCulprit{1, 1};
constexpr Fingerprint kBeside{2, 2};
constexpr Time kStart{std::chrono::seconds(100)};

Time At(int ms) { return kStart + milliseconds(ms); }

bool Names(const std::vector<Verdict>& verdicts, const Fingerprint& request) {
  return std::ranges::find(verdicts, request, &Verdict::request) !=
         verdicts.end();
}

/// `replica` crashed while it ran these.
void Crash(CrashLedger& ledger, const std::string& replica, Time now,
           const std::vector<Fingerprint>& ran) {
  for (const Fingerprint& request : ran) {
    ledger.Crashed({request, replica, 0}, now);
  }
}

}  // namespace

// Guards against a request that ends one replica after the other and is sent to
// the next each time.
TEST_CASE("a request that crashes its replicas is found out") {
  CrashLedger ledger;
  Crash(ledger, "a", At(0), {kCulprit});
  Crash(ledger, "b", At(100), {kCulprit});
  CHECK(ledger.Judge(At(100)).empty());

  SECTION("with the third") {
    Crash(ledger, "c", At(200), {kCulprit});
    const auto verdicts = ledger.Judge(At(200));
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts.front().replicas == std::vector<std::string>{"a", "b", "c"});
    CHECK(ledger.Quarantined(kCulprit));
    CHECK(ledger.Judge(At(300)).empty());
    SECTION("for some time") {
      const Time late = At(200) + CrashLedger::kRemember + milliseconds(1);
      ledger.Judge(late);
      CHECK_FALSE(ledger.Quarantined(kCulprit));
    }
    SECTION("or until a replica has run it to the end") {
      const std::uint64_t before = ledger.revision();
      ledger.Survived(kCulprit, At(300));
      CHECK_FALSE(ledger.Quarantined(kCulprit));
      CHECK(ledger.revision() != before);
      Crash(ledger, "d", At(400), {kCulprit});
      Crash(ledger, "e", At(500), {kCulprit});
      Crash(ledger, "f", At(600), {kCulprit});
      CHECK(ledger.Judge(At(2000)).empty());
    }
  }
  SECTION("not by a report that comes twice") {
    Crash(ledger, "b", At(300), {kCulprit});
    CHECK(ledger.Judge(At(300)).empty());
  }
  SECTION("by reports that come late, all at once") {
    CrashLedger next;
    next.Crashed({kCulprit, "a", 900}, At(1000));
    next.Crashed({kCulprit, "b", 800}, At(1000));
    next.Crashed({kCulprit, "c", 700}, At(1000));
    CHECK(Names(next.Judge(At(1000)), kCulprit));
  }
}

// Guards against callers who are refused because their requests ran beside the
// one that crashes the replicas.
TEST_CASE("a request that only ran beside another is spared") {
  CrashLedger ledger;
  SECTION("when the other one has more crashes") {
    Crash(ledger, "a", At(0), {kCulprit});
    Crash(ledger, "b", At(100), {kCulprit, kBeside});
    Crash(ledger, "c", At(200), {kCulprit, kBeside});
    Crash(ledger, "d", At(300), {kCulprit, kBeside});
    const auto verdicts = ledger.Judge(At(300));
    CHECK(Names(verdicts, kCulprit));
    CHECK_FALSE(Names(verdicts, kBeside));
    CHECK(ledger.Judge(At(5000)).empty());
  }
  SECTION("when both have the same, once the other crashes another") {
    Crash(ledger, "a", At(0), {kCulprit, kBeside});
    Crash(ledger, "b", At(100), {kCulprit, kBeside});
    Crash(ledger, "c", At(200), {kCulprit, kBeside});
    CHECK(ledger.Judge(At(200)).empty());
    Crash(ledger, "d", At(700), {kCulprit});
    CHECK(Names(ledger.Judge(At(700)), kCulprit));
    CHECK(ledger.Judge(At(5000)).empty());
    SECTION("but not for ever") {
      Crash(ledger, "e", At(6000), {kBeside});
      Crash(ledger, "f", At(6100), {kBeside});
      CHECK(Names(ledger.Judge(At(6100)), kBeside));
    }
  }
  SECTION("but both are refused when nothing tells them apart") {
    Crash(ledger, "a", At(0), {kCulprit, kBeside});
    Crash(ledger, "b", At(100), {kCulprit, kBeside});
    Crash(ledger, "c", At(200), {kCulprit, kBeside});
    const auto verdicts = ledger.Judge(At(200) + CrashLedger::kTieWait);
    CHECK(verdicts.size() == 2);
    CHECK(verdicts.front().rivals == 1);
  }
}

// Guards against most replicas of a service crashing within two seconds under a
// request that comes again at once, while their other callers come again too.
TEST_CASE("a row of crashes ends with the third, and only its cause is named") {
  constexpr std::array kCrashMs = {0, 89, 237, 347, 387, 508, 727, 1151, 1590};
  constexpr std::uint64_t kOthers = 7;  // On each replica, beside the cause.
  CrashLedger ledger;
  std::size_t needed = 0;
  std::size_t verdicts = 0;
  for (std::size_t i = 0; i < kCrashMs.size(); ++i) {
    const std::string replica = fmt::format("r{}", i);
    // Whoever ran there comes again once, and is on the next replica.
    for (std::uint64_t other = i * kOthers; other < (i + 2) * kOthers;
         ++other) {
      ledger.Crashed({{other, kOthers}, replica, 0}, At(kCrashMs.at(i)));
    }
    ledger.Crashed({kCulprit, replica, 0}, At(kCrashMs.at(i)));
    verdicts += ledger.Judge(At(kCrashMs.at(i))).size();
    needed += ledger.Quarantined(kCulprit) ? 0 : 1;
  }
  CHECK(needed == CrashLedger::kCrashesForVerdict - 1);
  CHECK(verdicts == 1);
  CHECK(ledger.Judge(At(10000)).empty());
}

// Guards against callers who are refused after a loss of power of many
// replicas, though no request had to do with it.
TEST_CASE("replicas that crash at one moment speak against no request") {
  CrashLedger ledger;
  for (int i = 0; i < 40; ++i) {
    Crash(ledger, fmt::format("r{}", i), At(i), {kCulprit, kBeside});
  }
  CHECK(ledger.Judge(At(40)).empty());
  CHECK(ledger.Judge(At(5000)).empty());
}

// Guards against a ledger that grows with the day.
TEST_CASE("what is held against requests is bounded") {
  CrashLedger ledger;
  constexpr int kMany = 5000;
  for (int i = 0; i < kMany; ++i) {
    const Fingerprint request{7, static_cast<std::uint64_t>(i / 3)};
    Crash(ledger, fmt::format("r{}", i), At(100 * i), {request});
    ledger.Judge(At(100 * i));
  }
  CHECK(ledger.Verdicts().size() <= CrashLedger::kMostVerdicts);
  CHECK(ledger.Quarantined({7, (kMany - 1) / 3 - 1}));
  CHECK_FALSE(ledger.Quarantined({7, 0}));
}

// Guards against order of reports deciding who is refused: entries report the
// same crashes at different moments.
TEST_CASE("the culprit of serial crashes is refused, whoever ran beside it") {
  CHECK(rc::check("in any order of reports", [] {
    CrashLedger ledger;
    const int crashes = *rc::gen::inRange(3, 12);
    std::vector<std::pair<int, CrashReport>> reports;
    std::map<std::uint64_t, int> struck;
    for (int i = 0; i < crashes; ++i) {
      const std::string replica = fmt::format("r{}", i);
      reports.push_back({i * 100, {kCulprit, replica, 0}});
      // A caller's attempts end up beside the culprit twice at most.
      const auto beside = *rc::gen::container<std::set<std::uint64_t>>(
          7, rc::gen::inRange<std::uint64_t>(100, 140));
      for (const std::uint64_t other : beside) {
        if (++struck[other] <= 2) {
          reports.push_back({i * 100, {{other, other}, replica, 0}});
        }
      }
    }
    std::mt19937 order(*rc::gen::arbitrary<std::uint32_t>());
    std::shuffle(reports.begin(), reports.end(), order);
    const int end = crashes * 100;
    for (const auto& [ms, report] : reports) {
      CrashReport late = report;
      late.age_ms = static_cast<std::uint32_t>(end - ms);
      ledger.Crashed(late, At(end));
      ledger.Judge(At(end));
    }
    RC_ASSERT(ledger.Quarantined(kCulprit));
    RC_ASSERT(ledger.Verdicts().size() == 1U);
  }));
}

}  // namespace papayarack::quarantine
