#ifndef PAPAYARACK_GLOBAL_LINKPACE_H_
#define PAPAYARACK_GLOBAL_LINKPACE_H_

#include <chrono>
#include <cstddef>

namespace papayarack {

/// Time that this many bytes may take to the other side on top of what a small
/// message may, at a pace of 1 MB/s: about a quarter of the slowest VM's link
/// (30 Mbit/s, 3.75 MB/s), which they share with all else that is sent. Thread
/// safety: any thread.
constexpr std::chrono::milliseconds TimeToCarry(std::size_t bytes) {
  constexpr std::size_t kBytesPerMillisecond = 1000;
  return std::chrono::milliseconds(bytes / kBytesPerMillisecond);
}

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_LINKPACE_H_
