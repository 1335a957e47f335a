#ifndef PAPAYARACK_PLACEMENT_ADMISSION_H_
#define PAPAYARACK_PLACEMENT_ADMISSION_H_

#include <cstdint>
#include <optional>

#include "global/timepoint.h"

namespace papayarack::placement {

/// What is owed to one request that looks for a slot.
struct SlotWish {
  Time arrived{};
  Time deadline{};  ///< Its caller's, or its route's timeout.
  std::chrono::milliseconds target_latency{0};
};

/// Least of a deadline that makes a run worth starting: an engine with a free
/// slot makes its first event within this.
inline constexpr std::chrono::milliseconds kLeastRun{60};

/// How long a request may still queue for a slot and be in time: part of the
/// first-token target, the rest is the engine's and the network's. Zero when it
/// cannot. Load pattern: at a wave's peak every slot is taken and one comes
/// free at each engine every tenth of a second; most requests that queue within
/// this bound get one. Thread safety: any thread.
std::chrono::milliseconds WaitBudget(const SlotWish& wish, Time now);

/// When a refused caller should come back. Load pattern: a peak of some seconds
/// is followed by a trough; callers that come back within the same peak are
/// refused again. Spread, so that those refused together do not return
/// together. `draw` is uniform in [0,
/// 1); `expected_wait` is the shortest that a gate named. Thread safety: any
/// thread.
std::chrono::milliseconds RetryAfter(
    std::optional<std::chrono::milliseconds> expected_wait, double draw);

}  // namespace papayarack::placement

#endif  // PAPAYARACK_PLACEMENT_ADMISSION_H_
