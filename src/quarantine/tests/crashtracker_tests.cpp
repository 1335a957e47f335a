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

#include "quarantine/crashtracker.h"

namespace papayarack::quarantine {
namespace {

using std::chrono::milliseconds;

constexpr Fingerprint kCulprit{1, 1};
constexpr Fingerprint kBeside{2, 2};
constexpr Time kStart{std::chrono::seconds(100)};

Time At(int ms) { return kStart + milliseconds(ms); }

bool Contains(const std::vector<QuarantineDecision>& decisions,
              const Fingerprint& request) {
  return std::ranges::find(decisions, request, &QuarantineDecision::request) !=
         decisions.end();
}

/// Reports that `replica` crashed while it ran the requests in `ran`.
void Crash(CrashTracker& tracker, const std::string& replica, Time now,
           const std::vector<Fingerprint>& ran) {
  for (const Fingerprint& request : ran) {
    tracker.Crashed({request, replica, 0}, now);
  }
}

}  // namespace

// Guards against a request that crashes one replica after the other because it
// is sent to the next each time.
TEST_CASE("a request that crashes its replicas is quarantined") {
  CrashTracker tracker;
  Crash(tracker, "a", At(0), {kCulprit});
  Crash(tracker, "b", At(100), {kCulprit});
  CHECK(tracker.Evaluate(At(100)).empty());

  SECTION("at the third crash") {
    Crash(tracker, "c", At(200), {kCulprit});
    const auto decisions = tracker.Evaluate(At(200));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().replicas ==
          std::vector<std::string>{"a", "b", "c"});
    CHECK(tracker.Quarantined(kCulprit));
    CHECK(tracker.Evaluate(At(300)).empty());
    SECTION("only until the retention time ends") {
      const Time late = At(200) + CrashTracker::kRetention + milliseconds(1);
      tracker.Evaluate(late);
      CHECK_FALSE(tracker.Quarantined(kCulprit));
    }
    SECTION("only until a replica has completed it") {
      const std::uint64_t before = tracker.revision();
      tracker.Survived(kCulprit, At(300));
      CHECK_FALSE(tracker.Quarantined(kCulprit));
      CHECK(tracker.revision() != before);
      Crash(tracker, "d", At(400), {kCulprit});
      Crash(tracker, "e", At(500), {kCulprit});
      Crash(tracker, "f", At(600), {kCulprit});
      CHECK(tracker.Evaluate(At(2000)).empty());
    }
  }
  SECTION("not by a repeated report") {
    Crash(tracker, "b", At(300), {kCulprit});
    CHECK(tracker.Evaluate(At(300)).empty());
  }
  SECTION("by late reports that arrive all at once") {
    CrashTracker next;
    next.Crashed({kCulprit, "a", 900}, At(1000));
    next.Crashed({kCulprit, "b", 800}, At(1000));
    next.Crashed({kCulprit, "c", 700}, At(1000));
    CHECK(Contains(next.Evaluate(At(1000)), kCulprit));
  }
}

// Guards against callers that are refused because their requests ran on the
// same replicas as the one that crashes them.
TEST_CASE("a request that only ran beside the cause is not quarantined") {
  CrashTracker tracker;
  SECTION("when the cause has more crashes") {
    Crash(tracker, "a", At(0), {kCulprit});
    Crash(tracker, "b", At(100), {kCulprit, kBeside});
    Crash(tracker, "c", At(200), {kCulprit, kBeside});
    Crash(tracker, "d", At(300), {kCulprit, kBeside});
    const auto decisions = tracker.Evaluate(At(300));
    CHECK(Contains(decisions, kCulprit));
    CHECK_FALSE(Contains(decisions, kBeside));
    CHECK(tracker.Evaluate(At(5000)).empty());
  }
  SECTION("when both have the same crashes, once the cause crashes another") {
    Crash(tracker, "a", At(0), {kCulprit, kBeside});
    Crash(tracker, "b", At(100), {kCulprit, kBeside});
    Crash(tracker, "c", At(200), {kCulprit, kBeside});
    CHECK(tracker.Evaluate(At(200)).empty());
    Crash(tracker, "d", At(700), {kCulprit});
    CHECK(Contains(tracker.Evaluate(At(700)), kCulprit));
    CHECK(tracker.Evaluate(At(5000)).empty());
    SECTION("but is when it crashes further replicas itself") {
      Crash(tracker, "e", At(6000), {kBeside});
      Crash(tracker, "f", At(6100), {kBeside});
      CHECK(Contains(tracker.Evaluate(At(6100)), kBeside));
    }
  }
  SECTION("but both are quarantined if nothing distinguishes them") {
    Crash(tracker, "a", At(0), {kCulprit, kBeside});
    Crash(tracker, "b", At(100), {kCulprit, kBeside});
    Crash(tracker, "c", At(200), {kCulprit, kBeside});
    const auto decisions = tracker.Evaluate(At(200) + CrashTracker::kTieDelay);
    CHECK(decisions.size() == 2);
    CHECK(decisions.front().rivals == 1);
  }
}

// Guards against one request crashing most replicas of a service within two
// seconds, as it is retried at once while the requests beside it are retried
// too.
TEST_CASE(
    "serial crashes end with the third, and only the cause is quarantined") {
  constexpr std::array kCrashMs = {0, 89, 237, 347, 387, 508, 727, 1151, 1590};
  constexpr std::uint64_t kOthers =
      7;  // Per replica, in addition to the cause.
  CrashTracker tracker;
  std::size_t needed = 0;
  std::size_t decisions = 0;
  for (std::size_t i = 0; i < kCrashMs.size(); ++i) {
    const std::string replica = fmt::format("r{}", i);
    // Each other request is retried once, on the next replica.
    for (std::uint64_t other = i * kOthers; other < (i + 2) * kOthers;
         ++other) {
      tracker.Crashed({{other, kOthers}, replica, 0}, At(kCrashMs.at(i)));
    }
    tracker.Crashed({kCulprit, replica, 0}, At(kCrashMs.at(i)));
    decisions += tracker.Evaluate(At(kCrashMs.at(i))).size();
    needed += tracker.Quarantined(kCulprit) ? 0 : 1;
  }
  CHECK(needed == CrashTracker::kCrashThreshold - 1);
  CHECK(decisions == 1);
  CHECK(tracker.Evaluate(At(10000)).empty());
}

// Guards against callers that are refused after many replicas lost power, which
// no request caused.
TEST_CASE("simultaneous crashes of replicas quarantine no request") {
  CrashTracker tracker;
  for (int i = 0; i < 40; ++i) {
    Crash(tracker, fmt::format("r{}", i), At(i), {kCulprit, kBeside});
  }
  CHECK(tracker.Evaluate(At(40)).empty());
  CHECK(tracker.Evaluate(At(5000)).empty());
}

// Guards against memory use that grows without bound.
TEST_CASE("the number of quarantined requests is bounded") {
  CrashTracker tracker;
  constexpr int kMany = 5000;
  for (int i = 0; i < kMany; ++i) {
    const Fingerprint request{7, static_cast<std::uint64_t>(i / 3)};
    Crash(tracker, fmt::format("r{}", i), At(100 * i), {request});
    tracker.Evaluate(At(100 * i));
  }
  CHECK(tracker.QuarantinedRequests().size() <= CrashTracker::kMaxQuarantined);
  CHECK(tracker.Quarantined({7, (kMany - 1) / 3 - 1}));
  CHECK_FALSE(tracker.Quarantined({7, 0}));
}

// Guards against the order of reports deciding which request is quarantined:
// entries report the same crashes at different times.
TEST_CASE("only the cause of serial crashes is quarantined") {
  CHECK(rc::check("in any order of reports", [] {
    CrashTracker tracker;
    const int crashes = *rc::gen::inRange(3, 12);
    std::vector<std::pair<int, CrashReport>> reports;
    std::map<std::uint64_t, int> crashes_by_request;
    for (int i = 0; i < crashes; ++i) {
      const std::string replica = fmt::format("r{}", i);
      reports.push_back({i * 100, {kCulprit, replica, 0}});
      // Each other request runs on a crashing replica twice at most.
      const auto beside = *rc::gen::container<std::set<std::uint64_t>>(
          7, rc::gen::inRange<std::uint64_t>(100, 140));
      for (const std::uint64_t other : beside) {
        if (++crashes_by_request[other] <= 2) {
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
      tracker.Crashed(late, At(end));
      tracker.Evaluate(At(end));
    }
    RC_ASSERT(tracker.Quarantined(kCulprit));
    RC_ASSERT(tracker.QuarantinedRequests().size() == 1U);
  }));
}

}  // namespace papayarack::quarantine
