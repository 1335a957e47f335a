#ifndef PAPAYARACK_PLACEMENT_ADMISSION_H_
#define PAPAYARACK_PLACEMENT_ADMISSION_H_

#include <cstdint>
#include <optional>

#include "global/timepoint.h"

namespace papayarack::placement {

/// Timing constraints of a request that needs a slot.
struct RequestTiming {
  Time arrived{};
  Time deadline{};  ///< The caller's deadline or the route's timeout.
  std::chrono::milliseconds target_latency{0};
  /// When a stream that has begun lost its replica, or was taken up again.
  std::optional<Time> broken_at = {};
};

/// Minimum time before the deadline for which a run is started. An engine with
/// a free slot produces its first event within this time.
inline constexpr std::chrono::milliseconds kMinRunTime{60};

/// How long a stream that has begun may wait for a slot in which it goes on: a
/// little under half of the pause after which callers disconnect.
inline constexpr std::chrono::milliseconds kMaxContinuationWait{900};

/// Returns how long a request may still queue for a slot: a fraction of the
/// first-token target, of which the engine and the network need the rest, or
/// kMaxContinuationWait for a stream that has begun. Zero when the request is
/// too late. Load pattern: at the peak of a wave all slots are taken and each
/// engine frees one every tenth of a second, so most requests that queue within
/// this bound get one. When replicas crash at a peak, what ran there can go on
/// only at the few replicas of its version, whose slots are taken: without a
/// wait of their own, streams whose first-token target is over get no slot.
/// Thread safety: any thread.
std::chrono::milliseconds WaitBudget(const RequestTiming& timing, Time now);

/// Returns the rank of a request among those that wait for a slot, lower first:
/// the organisation's priority goes before the route's. Of one organisation a
/// stream that has begun is a step more urgent, as it can go on at few replicas
/// only. Thread safety: any thread.
int SlotPriority(int organisation, int route, bool has_begun);

/// Returns the retry delay for a refused caller. Load pattern: a peak of some
/// seconds is followed by a trough; callers that retry within the same peak are
/// refused again. Jitter keeps callers that were refused together from retrying
/// together. `draw` is uniform in [0, 1); `expected_wait` is the shortest wait
/// reported by a gate. Thread safety: any thread.
std::chrono::milliseconds RetryAfter(
    std::optional<std::chrono::milliseconds> expected_wait, double draw);

}  // namespace papayarack::placement

#endif  // PAPAYARACK_PLACEMENT_ADMISSION_H_
