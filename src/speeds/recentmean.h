#ifndef PAPAYARACK_SPEEDS_RECENTMEAN_H_
#define PAPAYARACK_SPEEDS_RECENTMEAN_H_

#include <cstdint>
#include <optional>

#include "global/timepoint.h"

namespace papayarack::speeds {

/// Mean of a measured time in which the last few samples count most. Thread
/// safety: none.
class RecentMean {
 public:
  /// A single sample says little: runs differ in length by a factor of two.
  static constexpr std::uint32_t kMinSamples = 3;

  /// `memory`: number of samples that the mean covers. Precondition: above
  /// zero.
  explicit RecentMean(std::uint32_t memory) : memory(memory) {}

  /// Samples that are not positive are ignored.
  void Add(Duration sample, Time now);
  void Reset();
  /// Nothing before kMinSamples samples.
  std::optional<Duration> Mean() const;
  /// Time since the last sample; zero without any.
  Duration Age(Time now) const;

 private:
  std::uint32_t memory;
  std::uint32_t samples = 0;  ///< At most `memory`.
  double mean = 0;            ///< Microseconds.
  Time last{};
};

}  // namespace papayarack::speeds

#endif  // PAPAYARACK_SPEEDS_RECENTMEAN_H_
