#ifndef PAPAYARACK_SLOTS_SLOTALLOCATOR_H_
#define PAPAYARACK_SLOTS_SLOTALLOCATOR_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "global/timepoint.h"
#include "slots/organisationusage.h"

namespace papayarack::slots {

/// Identifies an online request that waits for or holds a slot.
using TicketId = std::uint64_t;

/// A request for a slot.
struct SlotRequest {
  TicketId ticket = 0;
  int priority = 0;     ///< Lower is more urgent, from zero.
  Time latest_start{};  ///< The caller cannot use a slot after this.
  /// Empty: the caller names none, or the entry is of an earlier release.
  std::string organisation = {};
};

enum class SlotAnswer { kGranted, kQueued, kRefused };

/// Load of one engine, as reported to other processes.
struct SlotLoad {
  std::uint32_t slots = 0;
  std::uint32_t online = 0;   ///< Slots held by online requests.
  std::uint32_t waiting = 0;  ///< Online requests in the queue.
  std::uint32_t batch = 0;    ///< Slots held by batch items.
};

/// Allocates the slots of one engine. The engine has no priorities and admits
/// all requests, so nothing may be sent to it without a slot.
///
/// Load pattern: online work comes in waves of about three seconds whose peaks
/// fill most slots, so batch must fill each trough at once and be preempted
/// within one first-token target at a peak. Hence batch may take every free
/// slot, and an online request takes the slot of a batch item without waiting
/// for its cancellation: a preempted item costs about 30 ms to process its
/// prompt again, while a slot reserved for online work would be idle for
/// seconds.
///
/// The queue is bounded by time, not by length: a request that would not get a
/// slot before its latest start is refused at once, while its caller can still
/// retry.
///
/// Organisations of equal priority share the queue by max-min fairness: the
/// next slot goes to the one that uses the least. Otherwise one that sends
/// seven times its usual load takes the slots of all others, as whoever sends
/// most is most often the oldest in the queue. No slot is left idle for this.
/// Thread safety: none.
class SlotAllocator {
 public:
  /// About one wave of load with its trough: the time over which slots are
  /// shared.
  static constexpr std::chrono::milliseconds kUsageRetention{6000};

  explicit SlotAllocator(Duration usage_retention = kUsageRetention)
      : usage(usage_retention) {}

  /// Initial estimate of the time for which an online request holds a slot.
  static constexpr std::chrono::milliseconds kInitialHoldEstimate{700};

  void SetSlots(std::uint32_t slots) { this->slots = slots; }
  /// Sets the number of slots held by runs that were not admitted here. Guards
  /// against engines that refuse requests for seconds after all processes were
  /// killed at once: they still run requests of the former processes, while the
  /// new ones would consider them empty.
  void SetForeign(std::uint32_t foreign) { this->foreign = foreign; }
  /// Whether the engine accepts new work.
  void SetOpen(bool open) { this->open = open; }
  bool Open() const { return this->open; }

  /// A request that is queued may take the place of another organisation's, see
  /// TakeDisplaced.
  SlotAnswer Acquire(const SlotRequest& request, Time now);
  /// The request ended, or stopped waiting.
  void Release(TicketId ticket, Time now);
  /// Grants free slots to queued requests and returns those, the most urgent
  /// first, of these the organisation that uses least, then the oldest.
  std::vector<TicketId> TakeGranted(Time now);
  /// Removes and returns queued requests that can no longer start in time.
  std::vector<TicketId> TakeExpired(Time now);
  /// Returns requests that left the full queue as an organisation that uses
  /// less took their place.
  std::vector<TicketId> TakeDisplaced();

  /// Slots that batch items may take now.
  std::uint32_t FreeBatchSlots() const;
  void StartBatch() { ++this->batch; }
  void EndBatch() { this->batch -= this->batch > 0 ? 1 : 0; }
  /// Whether a request would be granted a slot now, and a batch item preempted
  /// for it.
  bool WouldPreempt() const;
  /// Batch items to preempt now, as online requests took their slots.
  std::uint32_t BatchToPreempt() const;

  SlotLoad Load() const;
  /// Estimated wait of a new request of the organisation for a slot.
  Duration ExpectedWait(std::string_view organisation, int priority,
                        Time now) const;
  /// Number of organisations that state is kept for.
  std::size_t KnownOrganisations() const { return this->usage.Known(); }
  Duration HoldEstimate() const { return this->hold_estimate; }

 private:
  struct Waiting {
    SlotRequest request;
    std::uint64_t order = 0;
  };
  struct Running {
    Time started{};
    std::string organisation;
  };
  using Queue = std::map<TicketId, Waiting>;

  Queue::iterator MostUrgent(Time now);
  void Grant(const SlotRequest& request, Time now);
  /// Number of queued requests that get a slot before a new one.
  std::size_t Ahead(std::string_view organisation, int priority,
                    Time now) const;
  /// Use of the organisation at which a new request would get a slot.
  double TurnOfNew(std::string_view organisation, int priority, Time now) const;
  Duration WaitBehind(std::size_t ahead) const;
  /// Makes room for a request where the queue is full.
  void Displace(const SlotRequest& by, Time now);
  /// The queued request of the same priority that is served last; end() if the
  /// new one would be.
  Queue::iterator ServedLast(const SlotRequest& by, Time now);
  /// Slots that are not held by foreign runs.
  std::size_t Usable() const {
    return this->slots - std::min(this->slots, this->foreign);
  }

  std::uint32_t slots = 0;
  std::uint32_t foreign = 0;
  bool open = true;
  std::uint32_t batch = 0;
  std::map<TicketId, Running> running;
  Queue queue;
  std::vector<TicketId> displaced;
  OrganisationUsage usage;
  std::uint64_t last_order = 0;
  Duration hold_estimate = kInitialHoldEstimate;
};

}  // namespace papayarack::slots

#endif  // PAPAYARACK_SLOTS_SLOTALLOCATOR_H_
