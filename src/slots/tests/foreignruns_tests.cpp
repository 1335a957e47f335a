#include <catch2/catch.hpp>

#include "slots/foreignruns.h"

namespace papayarack::slots {

// Guards against requests of two owners that queue inside an engine. The owner
// of its slots is lost and another takes over while runs of the first continue;
// the second must not consider the engine empty.
TEST_CASE("runs that an owner did not admit are counted") {
  SECTION("on the same VM they count after two consecutive reports") {
    ForeignRuns foreign(ReportAge::kFresh);
    CHECK(foreign.Reported(5, 2) == 0);
    CHECK(foreign.Reported(4, 2) == 2);
    CHECK(foreign.Reported(2, 2) == 0);
  }
  SECTION("on another VM a new owner counts the first report") {
    ForeignRuns foreign(ReportAge::kLate);
    CHECK_FALSE(foreign.Known());
    CHECK(foreign.Reported(5, 0) == 5);
    CHECK(foreign.Known());
    CHECK(foreign.Reported(3, 0) == 3);
    CHECK(foreign.Reported(0, 0) == 0);
  }
  // Guards against an owner on another VM that leaves slots idle after each
  // wave, because reports still count its own runs that have ended since.
  SECTION("own runs that ended recently are not foreign in a late report") {
    ForeignRuns foreign(ReportAge::kLate);
    foreign.Reported(0, 0);
    foreign.RecordHeld(7);
    CHECK(foreign.Reported(7, 1) == 0);
    CHECK(foreign.Reported(7, 1) == 0);
    // The owner has not held seven slots since, so the runs are foreign.
    CHECK(foreign.Reported(7, 1) == 0);
    CHECK(foreign.Reported(7, 1) == 6);
  }
  SECTION("a restarted engine has no foreign runs") {
    ForeignRuns foreign(ReportAge::kLate);
    foreign.Reported(5, 0);
    foreign.Forget();
    CHECK(foreign.Counted() == 0);
  }
}

}  // namespace papayarack::slots
