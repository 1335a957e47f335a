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
};

/// Minimum time before the deadline for which a run is started. An engine with
/// a free slot produces its first event within this time.
inline constexpr std::chrono::milliseconds kMinRunTime{60};

/// Returns how long a request may still queue for a slot: a fraction of the
/// first-token target, of which the engine and the network need the rest. Zero
/// when the request is too late. Load pattern: at the peak of a wave all slots
/// are taken and each engine frees one every tenth of a second, so most
/// requests that queue within this bound get one. Thread safety: any thread.
std::chrono::milliseconds WaitBudget(const RequestTiming& timing, Time now);

/// Returns the retry delay for a refused caller. Load pattern: a peak of some
/// seconds is followed by a trough; callers that retry within the same peak are
/// refused again. Jitter keeps callers that were refused together from retrying
/// together. `draw` is uniform in [0, 1); `expected_wait` is the shortest wait
/// reported by a gate. Thread safety: any thread.
std::chrono::milliseconds RetryAfter(
    std::optional<std::chrono::milliseconds> expected_wait, double draw);

}  // namespace papayarack::placement

#endif  // PAPAYARACK_PLACEMENT_ADMISSION_H_
