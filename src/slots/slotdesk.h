#ifndef PAPAYARACK_SLOTS_SLOTDESK_H_
#define PAPAYARACK_SLOTS_SLOTDESK_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "global/timepoint.h"

namespace papayarack::slots {

/// Names one online request that wants or has a slot.
using TicketId = std::uint64_t;

/// What a request says of itself when it asks for a slot.
struct SlotRequest {
  TicketId ticket = 0;
  int priority = 0;     ///< Zero is the most urgent.
  Time latest_start{};  ///< A slot after this is of no use to the caller.
};

enum class SlotAnswer { kGranted, kQueued, kRefused };

/// The state of one engine as others may use it.
struct SlotLoad {
  std::uint32_t slots = 0;
  std::uint32_t online = 0;   ///< Slots held by online requests.
  std::uint32_t waiting = 0;  ///< Online requests in the queue.
  std::uint32_t batch = 0;    ///< Slots held by batch items.
};

/// Decides who gets the slots of one engine. The engine knows no priorities and
/// admits what arrives, so nothing is sent to it without a slot here.
///
/// Load pattern: online work comes in waves of about three seconds whose peaks
/// fill most slots, so batch must fill each trough at once and be off within
/// one first-token target when a peak comes. Hence batch may take every free
/// slot, and an online request takes a batch item's slot without waiting for
/// the cancel to arrive: preempting costs the batch item about 30 ms of reading
/// its text again, while a slot kept free for online work would be idle for
/// seconds.
///
/// The queue is bounded by time, not by length: a request that would not get a
/// slot before its latest start is refused at once, so that its caller can be
/// told when to come back while that still helps. Thread safety: none.
class SlotDesk {
 public:
  /// How long a slot is held by an online request, before the first one ended.
  static constexpr std::chrono::milliseconds kFirstHoldEstimate{700};

  void SetSlots(std::uint32_t slots) { this->slots = slots; }
  /// Slots held by runs that this desk did not admit. Symptom guarded against:
  /// after all processes were killed at once every engine refuses for seconds,
  /// because it still runs what the processes before had sent, and the desk
  /// believes it empty.
  void SetForeign(std::uint32_t foreign) { this->foreign = foreign; }
  /// Whether the engine takes new work at all.
  void SetOpen(bool open) { this->open = open; }
  bool Open() const { return this->open; }

  SlotAnswer Ask(const SlotRequest& request, Time now);
  /// The request ended, or gave up waiting.
  void Leave(TicketId ticket, Time now);
  /// Queued requests that got a slot, most urgent and oldest first.
  std::vector<TicketId> TakeGranted(Time now);
  /// Queued requests that can no longer be served in time.
  std::vector<TicketId> TakeExpired(Time now);

  /// Slots that batch items may take now.
  std::uint32_t BatchRoom() const;
  void StartBatch() { ++this->batch; }
  void EndBatch() { this->batch -= this->batch > 0 ? 1 : 0; }
  /// Batch items that must leave now, as online requests hold their slots.
  std::uint32_t BatchToPreempt() const;

  SlotLoad Load() const;
  /// How long the next request would wait for a slot.
  Duration ExpectedWait() const;
  Duration HoldEstimate() const { return this->hold_estimate; }

 private:
  struct Waiting {
    SlotRequest request;
    std::uint64_t order = 0;
  };
  std::map<TicketId, Waiting>::iterator MostUrgent();
  /// Slots that are this desk's to give.
  std::size_t Usable() const {
    return this->slots - std::min(this->slots, this->foreign);
  }

  std::uint32_t slots = 0;
  std::uint32_t foreign = 0;
  bool open = true;
  std::uint32_t batch = 0;
  std::map<TicketId, Time> running;  ///< Since when.
  std::map<TicketId, Waiting> queue;
  std::uint64_t last_order = 0;
  Duration hold_estimate = kFirstHoldEstimate;
};

}  // namespace papayarack::slots

#endif  // PAPAYARACK_SLOTS_SLOTDESK_H_
