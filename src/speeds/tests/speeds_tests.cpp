#include <catch2/catch.hpp>

#include "speeds/gatespeed.h"
#include "speeds/recentmean.h"
#include "speeds/replicaspeed.h"

namespace papayarack::speeds {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kUsualPace = 100;

Time At(int milliseconds_since) {
  return Time(std::chrono::seconds(1000) + milliseconds(milliseconds_since));
}

/// A fleet in which `fast` of four replicas hold a slot for 500 ms, with a gap
/// of 17 ms, and the others take 2.4 times as long.
FleetSpeeds FleetOf(int fast) {
  FleetSpeeds fleet;
  ReplicaSpeed others;
  for (int i = 0; i < 40; ++i) {
    const double factor = i % 4 < fast ? 1 : 2.4;
    const auto scaled = [factor](int millis) {
      return Duration(static_cast<std::int64_t>(millis * factor * 1000));
    };
    others.Stated({scaled(500), Duration(0), 0}, fleet, At(0));
    others.Streamed({scaled(15), scaled(17)}, fleet, At(0));
  }
  return fleet;
}

void Stream(ReplicaSpeed& replica, FleetSpeeds& fleet, milliseconds gap,
            Time now) {
  for (std::uint32_t i = 0; i < RecentMean::kMinSamples; ++i) {
    replica.Streamed({milliseconds(15), gap}, fleet, now);
  }
}

}  // namespace

TEST_CASE("the mean of recent times") {
  RecentMean mean(4);
  SECTION("is not known from too few samples") {
    mean.Add(milliseconds(500), At(0));
    mean.Add(milliseconds(500), At(0));
    CHECK_FALSE(mean.Mean().has_value());
    mean.Add(Duration(0), At(0));
    CHECK_FALSE(mean.Mean().has_value());
  }
  SECTION("follows a change within a few samples, and has an age") {
    for (int i = 0; i < 100; ++i) {
      mean.Add(milliseconds(100), At(i));
    }
    for (int i = 0; i < 8; ++i) {
      mean.Add(milliseconds(500), At(200));
    }
    CHECK(*mean.Mean() > milliseconds(440));
    CHECK(mean.Age(At(230)) == milliseconds(30));
    CHECK(mean.Age(At(100)) == Duration(0));
    mean.Reset();
    CHECK_FALSE(mean.Mean().has_value());
  }
}

TEST_CASE("what a gate states of its replica") {
  GateSpeed gate;
  CHECK(gate.Statement(At(0)).hold == Duration(0));
  CHECK(gate.Statement(At(0)).pace == 0);
  for (int i = 0; i < 5; ++i) {
    gate.Held(milliseconds(600), At(i));
    gate.Held(milliseconds(20), At(100));
  }
  gate.Paced(250, At(0));
  gate.Paced(0, At(10));
  SECTION("the mean hold time with its age, without cancelled streams") {
    CHECK(gate.Statement(At(54)).hold == milliseconds(600));
    CHECK(gate.Statement(At(54)).hold_age == milliseconds(50));
  }
  SECTION("the pace while it is recent") {
    CHECK(gate.Statement(At(200)).pace == 250);
    CHECK(gate.Statement(At(400)).pace == 0);
  }
  SECTION("nothing of a replica that has started anew") {
    gate.Reset();
    CHECK(gate.Statement(At(10)).hold == Duration(0));
    CHECK(gate.Statement(At(10)).hold_age == Duration(0));
    CHECK(gate.Statement(At(10)).pace == 0);
  }
}

// Guards against a choice that depends on chance where replicas are equal, and
// on replicas that nobody has measured.
TEST_CASE("an ordinary replica has no slowness") {
  FleetSpeeds fleet;
  ReplicaSpeed replica;
  SECTION("without any observation") {
    CHECK(replica.IsOrdinary(fleet));
    CHECK(replica.Slowness(fleet, At(0)) == 1);
    CHECK_FALSE(replica.MissesObjectives(
        {milliseconds(300), milliseconds(300), milliseconds(5000)}, fleet,
        At(0)));
  }
  SECTION("with figures of its own only, and an unknown fleet") {
    replica.Stated({milliseconds(5000), Duration(0), kUsualPace}, fleet, At(0));
    CHECK(replica.IsOrdinary(fleet));
    CHECK(replica.Slowness(fleet, At(0)) == 1);
  }
  SECTION("without figures in a known fleet") {
    fleet = FleetOf(4);
    CHECK(replica.IsOrdinary(fleet));
    CHECK(replica.Slowness(fleet, At(0)) == 1);
  }
  SECTION("with the differences that concurrent runs make") {
    fleet = FleetOf(4);
    replica.Stated({milliseconds(690), Duration(0), 130}, fleet, At(0));
    Stream(replica, fleet, milliseconds(23), At(0));
    CHECK(replica.IsOrdinary(fleet));
    CHECK(replica.Slowness(fleet, At(0)) == 1);
  }
  SECTION("where the whole fleet is slow") {
    for (int i = 0; i < 40; ++i) {
      replica.Stated({milliseconds(4000), Duration(0), 0}, fleet, At(0));
    }
    CHECK(replica.IsOrdinary(fleet));
    CHECK(replica.Slowness(fleet, At(0)) == 1);
  }
}

// Load: 26 replicas hold a slot for about 500 ms, 12 for 1,200 ms.
TEST_CASE("a replica that is slow for good is known by either source") {
  const int fast = GENERATE(2, 3);
  CAPTURE(fast);
  FleetSpeeds fleet = FleetOf(fast);
  ReplicaSpeed replica;
  SECTION("by the statement of its gate") {
    replica.Stated({milliseconds(1200), Duration(0), 0}, fleet, At(0));
    CHECK_FALSE(replica.IsOrdinary(fleet));
    CHECK(replica.Slowness(fleet, At(0)) == Approx(2.4).epsilon(0.01));
    SECTION("which counts less as it ages") {
      CHECK(replica.Slowness(fleet, At(10'000)) == Approx(1.7).epsilon(0.01));
      CHECK(replica.Slowness(fleet, At(100'000)) < 1.2);
    }
    SECTION("or was old when it was made") {
      replica.Stated({milliseconds(1200), std::chrono::seconds(100), 0}, fleet,
                     At(0));
      CHECK(replica.Slowness(fleet, At(0)) < 1.2);
    }
    SECTION("and is bounded if absurd") {
      replica.Stated({std::chrono::hours(30), Duration(0), 4'000'000'000},
                     fleet, At(0));
      CHECK(replica.Slowness(fleet, At(0)) == ReplicaSpeed::kMaxSlowness);
      replica.Stated({std::chrono::hours(-30), Duration(0), 0}, fleet, At(0));
      CHECK(replica.Slowness(fleet, At(0)) <= ReplicaSpeed::kMaxSlowness);
    }
  }
  SECTION("by own streams, although its gate states that it is fast") {
    replica.Stated({milliseconds(500), Duration(0), kUsualPace}, fleet, At(0));
    Stream(replica, fleet, milliseconds(41), At(0));
    CHECK(replica.Slowness(fleet, At(0)) == Approx(2.4).epsilon(0.02));
  }
}

// Load: a noisy neighbour slows a replica down fivefold for some tenths of a
// second. A lasting figure would avoid the replica long after it recovered.
TEST_CASE("the pace counts at the moment only") {
  FleetSpeeds fleet = FleetOf(4);
  ReplicaSpeed replica;
  replica.Stated({milliseconds(500), Duration(0), 500}, fleet, At(0));
  CHECK(replica.Slowness(fleet, At(0)) == 5);
  CHECK(replica.Slowness(fleet, At(250)) == 3);
  CHECK(replica.Slowness(fleet, At(2000)) < 1.5);
  SECTION("a later usual pace ends it at once") {
    replica.Paced(kUsualPace, At(100));
    CHECK(replica.IsOrdinary(fleet));
    CHECK(replica.Slowness(fleet, At(100)) == 1);
  }
  SECTION("a missing pace changes nothing") {
    replica.Paced(0, At(0));
    CHECK(replica.Slowness(fleet, At(0)) == 5);
  }
  SECTION("it multiplies a lasting slowness") {
    replica.Stated({milliseconds(1000), Duration(0), 200}, fleet, At(0));
    CHECK(replica.Slowness(fleet, At(0)) == Approx(4));
  }
}

// A slow replica is used for what it can serve in time, and for nothing else.
TEST_CASE("objectives that a replica misses") {
  FleetSpeeds fleet = FleetOf(4);
  ReplicaSpeed replica;
  Stream(replica, fleet, milliseconds(80), At(0));
  replica.Stated({milliseconds(2400), Duration(0), 0}, fleet, At(0));
  const SpeedObjectives met{milliseconds(300), milliseconds(300),
                            milliseconds(5000)};
  CHECK_FALSE(replica.MissesObjectives(met, fleet, At(0)));
  CHECK(replica.MissesObjectives({{}, milliseconds(50), {}}, fleet, At(0)));
  CHECK(replica.MissesObjectives({{}, {}, milliseconds(2000)}, fleet, At(0)));
  SECTION("none where the route has none") {
    CHECK_FALSE(replica.MissesObjectives({}, fleet, At(0)));
  }
  SECTION("none that the typical replica misses too") {
    CHECK_FALSE(
        replica.MissesObjectives({{}, milliseconds(10), {}}, fleet, At(0)));
  }
  SECTION("more while the machine is slow at the moment") {
    replica.Paced(500, At(0));
    CHECK(replica.MissesObjectives(met, fleet, At(0)));
  }
  SECTION("fewer as the figures age") {
    CHECK_FALSE(replica.MissesObjectives({{}, milliseconds(50), {}}, fleet,
                                         At(30'000)));
  }
}

}  // namespace papayarack::speeds
