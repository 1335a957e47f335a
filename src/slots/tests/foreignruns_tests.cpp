#include <catch2/catch.hpp>

#include "slots/foreignruns.h"

namespace papayarack::slots {

// Symptom: what two owners of an engine send waits inside it. Sequence: a
// process that owns the slots of an engine is lost, another takes over while
// the runs of the first go on. Cause: the second takes the engine for empty.
TEST_CASE("runs that an owner did not admit are counted") {
  SECTION("beside the engine two reports in a row have to show them") {
    ForeignRuns foreign(ReportAge::kFresh);
    CHECK(foreign.Reported(5, 2) == 0);
    CHECK(foreign.Reported(4, 2) == 2);
    CHECK(foreign.Reported(2, 2) == 0);
  }
  SECTION("a new owner elsewhere believes the first report") {
    ForeignRuns foreign(ReportAge::kLate);
    CHECK_FALSE(foreign.Known());
    CHECK(foreign.Reported(5, 0) == 5);
    CHECK(foreign.Known());
    CHECK(foreign.Reported(3, 0) == 3);
    CHECK(foreign.Reported(0, 0) == 0);
  }
  // Symptom: an owner on another VM leaves slots idle after each wave. Cause:
  // the report still counts runs of its own that ended meanwhile.
  SECTION("a late report's own runs of a moment ago are not others'") {
    ForeignRuns foreign(ReportAge::kLate);
    foreign.Reported(0, 0);
    foreign.Held(7);
    CHECK(foreign.Reported(7, 1) == 0);
    CHECK(foreign.Reported(7, 1) == 0);
    // Nobody has held seven since: they are others' now.
    CHECK(foreign.Reported(7, 1) == 0);
    CHECK(foreign.Reported(7, 1) == 6);
  }
  SECTION("another start of the engine runs none of them") {
    ForeignRuns foreign(ReportAge::kLate);
    foreign.Reported(5, 0);
    foreign.Forget();
    CHECK(foreign.Counted() == 0);
  }
}

}  // namespace papayarack::slots
