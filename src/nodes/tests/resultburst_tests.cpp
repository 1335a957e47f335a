#include "nodes/tests/resultfleet.h"

namespace papayarack::nodes {

// Guards against an overload that outlives its cause: results come faster than
// a leader with a part of a processor commits them, and it never catches up.
TEST_CASE("a burst of results is committed soon after it") {
  constexpr milliseconds kBurst{4000};
  constexpr double kShare = 0.06;
  constexpr milliseconds kSoon = 8 * kBurst;
  Fleet fleet;
  FillSlots(fleet);
  const Time begun = MonotonicNow();
  std::size_t ended = 0;
  fleet.RunUntil(
      [&] {
        const double part =
            ToSeconds(MonotonicNow() - begun) / ToSeconds(Duration(kBurst));
        const auto due = static_cast<std::size_t>(part * kItems);
        fleet.engines.End(due - ended);
        ended = due;
        return ended >= kItems;
      },
      kShare, kBurst);
  CHECK(fleet.HeldCount() < kItems);
  CHECK(fleet.RunUntil(
      [&] {
        fleet.engines.End(kItems);
        return fleet.HeldCount() == 0;
      },
      kShare, kSoon));
  INFO("held " << fleet.HeldCount() << " after "
               << ToSeconds(MonotonicNow() - begun) << " s");
  CHECK(fleet.HeldCount() == 0);
}

// Guards against results that stay at their gates while a leader that does not
// take them goes on: they are late, though others have them or could lead.
TEST_CASE("results are taken though the leader cannot take them") {
  Fleet fleet;
  FillSlots(fleet);
  StoreMember& first = *fleet.Leader();
  SECTION("as it is cut off from the members, not from the gates") {
    for (StoreMember& member : fleet.members) {
      if (&member != &first) {
        member.CutFrom(first);
        first.CutFrom(member);
      }
    }
  }
  SECTION("as its disk answers nothing") { first.StallDisk(true); }
  CHECK(ResultsAcceptedInTime(fleet));
}

}  // namespace papayarack::nodes
