#ifndef PAPAYARACK_PLACEMENT_RETURNSCHEDULE_H_
#define PAPAYARACK_PLACEMENT_RETURNSCHEDULE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "global/timepoint.h"

namespace papayarack::placement {

/// When a rejected caller is told to return.
struct ReturnTime {
  std::chrono::milliseconds delay{0};
  /// Whether the delay follows from what was learned.
  bool learned = false;
  /// Callers told to return within the same tenth of a second, this one
  /// included.
  std::uint32_t at_once = 0;
};

/// Tells the callers that one entry rejects for lack of a slot when to return,
/// so that they find slots. Learns from the entry's own requests how long a
/// peak lasts, how many requests get a slot per second at a peak, and how many
/// arrive between peaks.
///
/// Load pattern: peaks of some seconds, in which callers are rejected all the
/// time, and troughs. Callers who return within the same peak are rejected
/// again, and those of the whole peak who return at its end meet each other.
/// They are spread over the trough as far as callers wait, at the rate at which
/// there are slots for them. Thread safety: none.
class ReturnSchedule {
 public:
  /// A request got a slot.
  void Served(Time now);
  /// A caller is rejected who honours a delay of up to a third of `remaining`,
  /// which bounds the result. The delay is `usual` until enough is learned.
  ReturnTime Rejected(std::chrono::milliseconds usual,
                      std::chrono::milliseconds remaining, Time now);
  /// Requests per second that get a slot at a peak, as learned; or nothing.
  std::optional<double> ServedPerSecond() const;
  /// Length of a peak, as learned; or nothing.
  std::optional<Duration> PeakLength() const { return this->peak_length; }

 private:
  using Step = std::int64_t;  ///< Tenths of a second.
  struct Counts {
    Step step = -1;
    std::uint32_t served = 0;
    std::uint32_t rejected = 0;
    std::uint32_t returning = 0;
  };
  /// Covers the longest delay, and the time over which load is learned.
  static constexpr std::size_t kSteps = 64;

  Counts& At(Step step);
  void LearnUntil(Step now);
  void LearnFrom(const Counts& counts);
  void NotePeak(Time now);
  /// The first time after the peak with room for one more caller.
  std::optional<Step> StepAfterPeak(Step now, Step last) const;
  /// The time with the fewest callers in the later half of the wait.
  Step LeastUsed(Step now, Step last) const;
  std::uint32_t ReturningAt(Step step) const;

  std::array<Counts, kSteps> counts{};
  Step learned_until = 0;
  std::size_t full_steps = 0;  ///< Steps of peaks that were learned from.
  double served_per_step = 0;  ///< At a peak.
  double calm_per_step = 0;    ///< Requests that arrive between peaks.
  Time peak_began{};
  Time last_rejected{};
  std::optional<Duration> peak_length;
};

}  // namespace papayarack::placement

#endif  // PAPAYARACK_PLACEMENT_RETURNSCHEDULE_H_
