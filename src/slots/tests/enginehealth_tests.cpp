#include <catch2/catch.hpp>

#include "slots/enginehealth.h"

namespace papayarack::slots {
namespace {

Time At(int milliseconds) {
  return Time(std::chrono::milliseconds(milliseconds));
}

}  // namespace

// Guards against callers that are sent to the closed port of a crashed engine
// and batch items that wait for it until they are late. The engine stays on the
// platform's list for seconds; its gate must not rely on the list while the
// engine's reports fail.
TEST_CASE("a gate detects whether its engine is up") {
  EngineHealth health;
  health.Asked(At(0));
  SECTION("the engine is down after two reports were refused") {
    health.Failed();
    CHECK(health.Up());
    CHECK(health.Suspected());
    health.Asked(At(1));
    health.Failed();
    CHECK_FALSE(health.Up());
    CHECK_FALSE(health.Suspected());
  }
  SECTION("the engine is down when a report is overdue") {
    CHECK_FALSE(health.Overdue(At(400)));
    CHECK(health.Overdue(At(401)));
    health.TimedOut();
    CHECK_FALSE(health.Up());
    CHECK_FALSE(health.Overdue(At(900)));
  }
  SECTION("the engine stays up after one connection reset") {
    health.Failed();
    health.Asked(At(1));
    health.Answered();
    CHECK(health.Up());
    health.Asked(At(100));
    health.Failed();
    CHECK(health.Up());
  }
  SECTION("the engine is up again after a response") {
    health.TimedOut();
    health.Asked(At(500));
    CHECK_FALSE(health.Up());
    health.Answered();
    CHECK(health.Up());
  }
}

}  // namespace papayarack::slots
