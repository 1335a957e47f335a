#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "batches/gatespeeds.h"

namespace papayarack::batches {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFast{3300};
constexpr milliseconds kSlow{8000};

Time At(int ms) { return Time(milliseconds(ms)); }

}  // namespace

// Guards against items that are leased to slow gates although they are in time
// at fast ones only, and against gates that are avoided without need.
TEST_CASE("a gate's speed is compared with that of the other gates") {
  GateSpeeds speeds;
  const auto report = [&speeds](const std::string& gate, milliseconds time,
                                int at = 0) {
    speeds.Report(gate, time, true, At(at));
  };
  SECTION("a gate is not slow before any gate states a time") {
    CHECK(speeds.FactorOf("unknown") == 1);
    report("silent", milliseconds(0));
    CHECK(speeds.FactorOf("silent") == 1);
    CHECK(speeds.Empty());
  }
  SECTION("gates that differ by chance are equal") {
    report("one", milliseconds(3000));
    report("two", milliseconds(4100));
    CHECK(speeds.FactorOf("one") == 1);
    CHECK(speeds.FactorOf("two") == 1);
  }
  SECTION("gates that are all slow are equal") {
    for (const char* gate : {"a", "b", "c"}) {
      report(gate, kSlow);
    }
    CHECK_FALSE(speeds.IsSlow("a"));
    CHECK_FALSE(speeds.IsSlow("c"));
  }
  SECTION("with two fast gates of eight, the six others are slow") {
    for (int i = 0; i < 8; ++i) {
      report(std::to_string(i), i < 3 ? kFast : kSlow);
    }
    CHECK(speeds.FactorOf("0") == 1);
    CHECK(speeds.FactorOf("7") == Approx(8.0 / 3.3));
    SECTION("until they speed up") {
      report("7", kFast);
      CHECK_FALSE(speeds.IsSlow("7"));
    }
    SECTION("or state no time any more") {
      report("7", milliseconds(0));
      CHECK_FALSE(speeds.IsSlow("7"));
    }
    SECTION("or the fast ones are gone") {
      for (const char* gate : {"0", "1", "2"}) {
        speeds.Forget(gate);
      }
      report("7", kSlow);
      CHECK_FALSE(speeds.IsSlow("7"));
    }
    SECTION("or no replica remains at the fast ones") {
      for (int at = 1000; at <= 7000; at += 1000) {
        for (int i = 0; i < 8; ++i) {
          speeds.Report(std::to_string(i), i < 3 ? kFast : kSlow, i >= 3,
                        At(at));
        }
        const bool is_peak = at <= 3000;
        CHECK((!is_peak || speeds.IsSlow("7")));
      }
      CHECK_FALSE(speeds.IsSlow("7"));
      SECTION("and slow again once one returns with room") {
        for (int i = 0; i < 3; ++i) {
          report(std::to_string(i), kFast, 7000);
        }
        CHECK(speeds.IsSlow("7"));
      }
    }
  }
  SECTION("an absurd time is bounded") {
    report("usual", kFast);
    report("too long", std::chrono::hours(1000));
    CHECK(speeds.FactorOf("usual") == 1);
    CHECK(speeds.FactorOf("too long") <= GateSpeeds::kMaxFactor);
    report("also usual", kFast);
    CHECK(speeds.FactorOf("too long") == GateSpeeds::kMaxFactor);
    SECTION("and one that is too short makes no other gate slow") {
      speeds.Clear();
      report("usual", kFast);
      report("too short", milliseconds(1));
      CHECK_FALSE(speeds.IsSlow("usual"));
      report("also usual", kFast);
      CHECK_FALSE(speeds.IsSlow("usual"));
      CHECK_FALSE(speeds.IsSlow("also usual"));
    }
  }
}

}  // namespace papayarack::batches
