#ifndef PAPAYARACK_GLOBAL_TIMEPOINT_H_
#define PAPAYARACK_GLOBAL_TIMEPOINT_H_

#include <time.h>

#include <chrono>
#include <cstdint>

namespace papayarack {

using Duration = std::chrono::microseconds;

/// Monotonic time; each core receives it as an argument and never reads a
/// clock.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Wall-clock milliseconds since 1970, for stored and displayed times.
using WallMillis = std::int64_t;

/// Time since boot, including time suspended. The steady clock stops while a VM
/// is suspended, so a leader that was suspended for seconds would still regard
/// its last contact with the quorum as recent. Thread safety: any thread.
inline Time MonotonicNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

/// Thread safety: any thread.
inline WallMillis WallNow() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
      .count();
}

inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_TIMEPOINT_H_
