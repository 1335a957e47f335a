#ifndef PAPAYARACK_GLOBAL_TRANSFERTIME_H_
#define PAPAYARACK_GLOBAL_TRANSFERTIME_H_

#include <chrono>
#include <cstddef>

namespace papayarack {

/// Extra time to allow for the transfer of this many bytes, on top of the
/// timeout of a small message. Assumes 1 MB/s: about a quarter of the slowest
/// VM's link (30 Mbit/s, 3.75 MB/s), which other traffic shares. Thread safety:
/// any thread.
constexpr std::chrono::milliseconds TransferTime(std::size_t bytes) {
  constexpr std::size_t kBytesPerMillisecond = 1000;
  return std::chrono::milliseconds(bytes / kBytesPerMillisecond);
}

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_TRANSFERTIME_H_
