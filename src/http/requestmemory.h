#ifndef PAPAYARACK_HTTP_REQUESTMEMORY_H_
#define PAPAYARACK_HTTP_REQUESTMEMORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

#include "global/timepoint.h"

namespace papayarack::http {

/// Identifies a connection whose requests hold memory.
using MemoryHolderId = std::uint64_t;

/// Bounds the bytes that the requests of all servers of a process hold
/// together, from their first byte to their response.
///
/// Load pattern: clients send many requests, each within its own limits, and
/// end none of them. Where such requests take too much, the one that takes the
/// longest time for each of its bytes is refused: one that stands still or
/// trickles, not one that has just come and is soon complete. A share of the
/// memory is for small requests only, so that ordinary callers are served while
/// large requests take the rest. A single request is never refused. Thread
/// safety: none, the loop's thread.
class RequestMemory {
 public:
  /// A quarter of the memory of the smallest supported entry, 110 MB.
  static constexpr std::size_t kDefaultMaxBytes = 27'500'000;
  /// A request that holds no more is small.
  static constexpr std::size_t kSmallBytes = 64U << 10U;

  explicit RequestMemory(std::size_t max_bytes = kDefaultMaxBytes)
      : max_bytes(max_bytes) {}
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  /// `refuse` ends the holder's request, which is not read whole, and calls
  /// Release. It may be called by Hold and Serve of other holders.
  MemoryHolderId Add(std::function<void()> refuse);
  /// The holder's connection has closed. Ignored for an unknown holder.
  void Remove(MemoryHolderId id);
  /// A request that is being read holds `bytes`, more of it having arrived by
  /// `now`. Refuses others where all hold too much; false if it has to be
  /// refused itself, which its owner does. Precondition: `id` was added.
  [[nodiscard]] bool Hold(MemoryHolderId id, std::size_t bytes, Time now);
  /// A request that was read whole will hold `bytes` until Release, and cannot
  /// be refused any more. False if there is no room for it. Precondition: `id`
  /// was added.
  [[nodiscard]] bool Serve(MemoryHolderId id, std::size_t bytes, Time now);
  /// The holder's request is over. Ignored for an unknown holder.
  void Release(MemoryHolderId id);

  std::size_t held() const { return this->total; }
  /// Requests refused as all held too much.
  std::uint64_t refused() const { return this->refusals; }

 private:
  struct Holder {
    std::function<void()> refuse;
    std::size_t bytes = 0;
    bool serving = false;
    Time begun{};  ///< When its request began.
    Time moved{};  ///< When a part of it arrived last.
  };

  void Set(Holder& holder, std::size_t bytes, Time now);
  /// What all may hold before a request of `bytes` has to make room.
  std::size_t LimitFor(std::size_t bytes) const;
  /// Refuses requests that are being read until the rest fits, or none is left.
  /// False if `except` is the next one to be refused.
  bool MakeRoom(MemoryHolderId except, Time now);
  /// The request that takes the longest time for each byte, of those that hold
  /// more bytes than `over` and are not read whole; nothing if there is none.
  std::optional<MemoryHolderId> Slowest(std::size_t over, Time now) const;
  bool Refuse(MemoryHolderId victim, MemoryHolderId except);

  std::size_t max_bytes;
  std::size_t total = 0;
  std::uint64_t refusals = 0;
  MemoryHolderId last_holder = 0;
  std::unordered_map<MemoryHolderId, Holder> holders;
};

}  // namespace papayarack::http

#endif  // PAPAYARACK_HTTP_REQUESTMEMORY_H_
