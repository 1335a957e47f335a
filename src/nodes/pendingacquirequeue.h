#ifndef PAPAYARACK_NODES_PENDINGACQUIREQUEUE_H_
#define PAPAYARACK_NODES_PENDINGACQUIREQUEUE_H_

#include <chrono>
#include <vector>

#include "global/timepoint.h"
#include "nodes/slotmessages.h"
#include "transport/peerdispatch.h"

namespace papayarack::nodes {

/// An ask for a slot that came before its engine's owner could answer it.
struct PendingAcquire {
  transport::StreamId stream = 0;
  AcquireSlot ask;
  /// Its wait counts from here, not from when it is let on.
  Time asked{};
};

/// Asks that wait for the first report of an engine on another VM.
///
/// Load pattern: a process takes engines over, in the middle of a wave, from an
/// owner that is lost. Until the engine's first report nobody can tell which
/// slots are free: granted then, an engine is filled twice; refused, callers
/// are turned away beside engines that are idle. A report takes one round trip,
/// so asks wait for it; when it does not come, whoever asks is told that nobody
/// owns the engine yet, and uses a share of its slots. Bounded in number.
/// Thread safety: none.
class PendingAcquireQueue {
 public:
  /// Takes an ask; false when too many wait.
  bool Offer(transport::StreamId stream, const AcquireSlot& ask, Time now);
  /// Everything that waits, oldest first.
  std::vector<PendingAcquire> TakeAll();
  /// What has waited long enough, oldest first.
  std::vector<PendingAcquire> TakeExpired(Time now);
  /// Its requester is gone. True when it waited here.
  bool Remove(transport::StreamId stream);
  bool Empty() const { return this->waiting.empty(); }

  /// Thirty round trips within a region; half of the time after which whoever
  /// asks takes the owner for frozen.
  static constexpr std::chrono::milliseconds kMaxWait{60};
  /// Far more than one engine's callers ask in that time.
  static constexpr std::size_t kMaxPending = 256;

 private:
  std::vector<PendingAcquire> waiting;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_PENDINGACQUIREQUEUE_H_
