#ifndef PAPAYARACK_NODES_PENDINGACQUIREQUEUE_H_
#define PAPAYARACK_NODES_PENDINGACQUIREQUEUE_H_

#include <chrono>
#include <vector>

#include "global/timepoint.h"
#include "nodes/slotmessages.h"
#include "transport/peerdispatch.h"

namespace papayarack::nodes {

/// A slot request that came before the owner of the engine could answer it.
struct PendingAcquire {
  transport::StreamId stream = 0;
  AcquireSlot ask;
  /// Its wait is counted from here, not from when it leaves the queue.
  Time asked{};
};

/// Slot requests that wait for the first report of an engine on another VM.
///
/// Load pattern: a process takes over engines of a lost owner during a load
/// peak. Until the first report of an engine its free slots are unknown:
/// granting would overload the engine, refusing would turn callers away from
/// idle engines. A report takes one round trip, so requests wait for it. If it
/// does not come, the requester is told that the engine has no owner yet, and
/// uses a share of its slots. Bounded in number. Thread safety: none.
class PendingAcquireQueue {
 public:
  /// Queues a request; false when the queue is full.
  bool Offer(transport::StreamId stream, const AcquireSlot& ask, Time now);
  /// Removes all requests, oldest first.
  std::vector<PendingAcquire> TakeAll();
  /// Removes the requests that have waited for kMaxWait, oldest first.
  std::vector<PendingAcquire> TakeExpired(Time now);
  /// Removes the request of a requester that is gone. False when it is not in
  /// the queue.
  bool Remove(transport::StreamId stream);
  bool Empty() const { return this->waiting.empty(); }

  /// Thirty round trips within a region; half of the time after which the
  /// requester assumes that the owner is frozen.
  static constexpr std::chrono::milliseconds kMaxWait{60};
  /// Far more than the requests for one engine in that time.
  static constexpr std::size_t kMaxPending = 256;

 private:
  std::vector<PendingAcquire> waiting;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_PENDINGACQUIREQUEUE_H_
