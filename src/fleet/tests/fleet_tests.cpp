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

TEST_CASE("a leaving process stays leaving within its incarnation") {
  FleetTable fleet(kDead);
  fleet.OnHeartbeat(Report(1), kStart);
  REQUIRE(fleet.Members(kStart).size() == 1);

  // Guards against new work for a leaving upstream. A process reports that it
  // is leaving; then the platform's lagging list still shows it as live, or an
  // older heartbeat arrives out of order, and the latest report must not win.
  SECTION("after its own report") {
    fleet.OnHeartbeat(Report(1, true), kStart);
    fleet.SetPlatformLeaving({});
    fleet.OnHeartbeat(Report(1, false), kStart);
    CHECK(fleet.Members(kStart).at(0).leaving);
  }
  SECTION("after the platform's list named it") {
    fleet.SetPlatformLeaving({"side-1"});
    fleet.SetPlatformLeaving({});
    fleet.OnHeartbeat(Report(1, false), kStart);
    CHECK(fleet.Members(kStart).at(0).leaving);
    SECTION("until it restarts") {
      fleet.OnHeartbeat(Report(2), kStart);
      CHECK_FALSE(fleet.Members(kStart).at(0).leaving);
    }
  }
  SECTION("a restarted process is not leaving by an outdated list") {
    fleet.SetPlatformLeaving({"side-1"});
    fleet.OnHeartbeat(Report(2), kStart);
    fleet.SetPlatformLeaving({"side-1"});
    CHECK_FALSE(fleet.Members(kStart).at(0).leaving);
  }
  SECTION(
      "a process listed as leaving before its first "
      "heartbeat is leaving") {
    fleet.SetPlatformLeaving({"side-2"});
    ProcessReport other = Report(5);
    other.name = "side-2";
    fleet.OnHeartbeat(other, kStart);
    CHECK(fleet.Members(kStart).at(1).leaving);
  }
  SECTION("a report of an older incarnation is ignored") {
    fleet.OnHeartbeat(Report(2), kStart);
    CHECK_FALSE(fleet.OnHeartbeat(Report(1, true), kStart));
    CHECK_FALSE(fleet.Members(kStart).at(0).leaving);
  }
  SECTION("a silent process is dead until its next heartbeat") {
    const std::uint64_t before = fleet.version();
    CHECK_FALSE(fleet.Members(kStart + kDead + Duration(1)).at(0).alive);
    CHECK(fleet.version() > before);
    fleet.OnHeartbeat(Report(1), kStart + kDead * 2);
    CHECK(fleet.Members(kStart + kDead * 2).at(0).alive);
  }
  SECTION("plain heartbeats do not change the version") {
    const std::uint64_t before = fleet.version();
    fleet.OnHeartbeat(Report(1), kStart + Duration(1));
    CHECK(fleet.version() == before);
  }
}

}  // namespace papayarack::fleet
