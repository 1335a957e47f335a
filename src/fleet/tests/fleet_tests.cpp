#include <catch2/catch.hpp>

#include "fleet/fleettable.h"

namespace papayarack::fleet {
namespace {

constexpr Duration kDead = std::chrono::seconds(2);
constexpr Time kStart{std::chrono::seconds(100)};

ProcessReport Report(std::uint64_t incarnation, bool leaving = false) {
  ProcessReport report;
  report.name = "side-1";
  report.incarnation = incarnation;
  report.leaving = leaving;
  return report;
}

}  // namespace

TEST_CASE("a side joins the fleet") {
  FleetTable fleet(kDead);
  fleet.Heard(Report(1), kStart);
  REQUIRE(fleet.Members(kStart).size() == 1);

  // Symptom: a leaving upstream gets new work again. Sequence: it says that it
  // leaves; the platform's list, which lags, still calls it live; or a late
  // heartbeat arrives out of order. Cause: the newest word wins instead of the
  // word "leaving".
  SECTION("its own word that it leaves sticks") {
    fleet.Heard(Report(1, true), kStart);
    fleet.PlatformSaysLeaving({});
    fleet.Heard(Report(1, false), kStart);
    CHECK(fleet.Members(kStart).at(0).leaving);
  }
  SECTION("the platform's word that it leaves sticks") {
    fleet.PlatformSaysLeaving({"side-1"});
    fleet.PlatformSaysLeaving({});
    fleet.Heard(Report(1, false), kStart);
    CHECK(fleet.Members(kStart).at(0).leaving);
    SECTION("until it starts anew") {
      fleet.Heard(Report(2), kStart);
      CHECK_FALSE(fleet.Members(kStart).at(0).leaving);
    }
  }
  SECTION(
      "a restart is not held back by a list that still shows the old mark") {
    fleet.PlatformSaysLeaving({"side-1"});
    fleet.Heard(Report(2), kStart);
    fleet.PlatformSaysLeaving({"side-1"});
    CHECK_FALSE(fleet.Members(kStart).at(0).leaving);
  }
  SECTION(
      "a mark for a process that nobody has heard of yet counts when it "
      "comes") {
    fleet.PlatformSaysLeaving({"side-2"});
    ProcessReport other = Report(5);
    other.name = "side-2";
    fleet.Heard(other, kStart);
    CHECK(fleet.Members(kStart).at(1).leaving);
  }
  SECTION("a report of an older start is ignored") {
    fleet.Heard(Report(2), kStart);
    CHECK_FALSE(fleet.Heard(Report(1, true), kStart));
    CHECK_FALSE(fleet.Members(kStart).at(0).leaving);
  }
  SECTION("silence is noticed, and a word brings it back") {
    const std::uint64_t before = fleet.version();
    CHECK_FALSE(fleet.Members(kStart + kDead + Duration(1)).at(0).alive);
    CHECK(fleet.version() > before);
    fleet.Heard(Report(1), kStart + kDead * 2);
    CHECK(fleet.Members(kStart + kDead * 2).at(0).alive);
  }
  SECTION("plain heartbeats do not change the version") {
    const std::uint64_t before = fleet.version();
    fleet.Heard(Report(1), kStart + Duration(1));
    CHECK(fleet.version() == before);
  }
}

}  // namespace papayarack::fleet
