#include <catch2/catch.hpp>

#include "slots/enginepulse.h"

namespace papayarack::slots {
namespace {

Time At(int milliseconds) {
  return Time(std::chrono::milliseconds(milliseconds));
}

}  // namespace

// Symptom: while an engine is gone, callers are sent to a port that refuses
// them, and batch items wait beside it until they are late. Sequence: an engine
// crashes; the platform's list names it for seconds more; its gate gives slots
// as before. Cause: the gate believed the list, not the reports that failed.
TEST_CASE("a gate notices that its engine is gone") {
  EnginePulse pulse;
  pulse.Asked(At(0));
  SECTION("when its reports are refused twice") {
    pulse.Failed();
    CHECK(pulse.Up());
    CHECK(pulse.InDoubt());
    pulse.Asked(At(1));
    pulse.Failed();
    CHECK_FALSE(pulse.Up());
    CHECK_FALSE(pulse.InDoubt());
  }
  SECTION("when a report is overdue") {
    CHECK_FALSE(pulse.Overdue(At(400)));
    CHECK(pulse.Overdue(At(401)));
    pulse.FellSilent();
    CHECK_FALSE(pulse.Up());
    CHECK_FALSE(pulse.Overdue(At(900)));
  }
  SECTION("but not by one connection that was reset") {
    pulse.Failed();
    pulse.Asked(At(1));
    pulse.Answered();
    CHECK(pulse.Up());
    pulse.Asked(At(100));
    pulse.Failed();
    CHECK(pulse.Up());
  }
  SECTION("and that it is back") {
    pulse.FellSilent();
    pulse.Asked(At(500));
    CHECK_FALSE(pulse.Up());
    pulse.Answered();
    CHECK(pulse.Up());
  }
}

}  // namespace papayarack::slots
