#include "nodes/tests/resultfleet.h"

namespace papayarack::nodes {

// Guards against an overload that lasts after its cause has ended: results
// arrive faster than a leader with a share of a processor can commit them, and
// it never catches up.
TEST_CASE("a burst of results is committed soon after its end") {
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

// Guards against results that stay at their gates, and are late, while the
// leader cannot commit them although another member could.
TEST_CASE("results are accepted although the leader cannot commit them") {
  Fleet fleet;
  FillSlots(fleet);
  StoreMember& first = *fleet.Leader();
  SECTION("when it is cut off from the members but not from the gates") {
    for (StoreMember& member : fleet.members) {
      if (&member != &first) {
        member.CutFrom(first);
        first.CutFrom(member);
      }
    }
  }
  SECTION("when its disk stalls") { first.StallDisk(true); }
  CHECK(ResultsAcceptedInTime(fleet));
}

}  // namespace papayarack::nodes
