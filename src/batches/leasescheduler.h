#ifndef PAPAYARACK_BATCHES_LEASESCHEDULER_H_
#define PAPAYARACK_BATCHES_LEASESCHEDULER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "batches/batchmessages.h"
#include "global/timepoint.h"

namespace papayarack::batches {

/// Service names, sorted.
using Services = std::vector<std::string>;

/// Leases waiting items to gates and decides which comes next. This state
/// exists only on the job group's leader and is not replicated: an item may run
/// twice if its lease expires early, but only its first result is recorded.
///
/// For minutes at a time, more items may arrive than can run in the slots that
/// online work leaves free. First come, first served would then finish every
/// item just after it was due. So items that can still finish in time go first,
/// by due time; the others run when there are slots to spare. Thread safety:
/// none.
class LeaseScheduler {
 public:
  /// The leases of a gate expire after this time without a pull. It covers one
  /// long pull (1 s) and a reconnection.
  static constexpr std::chrono::milliseconds kLeaseTime{2500};
  /// After a leader change no items are leased for this time, so that the gates
  /// can report what they hold. Otherwise running items would be run twice.
  static constexpr std::chrono::milliseconds kSettleTime{1500};
  /// Estimated time from lease to result before the first result is known.
  static constexpr std::chrono::milliseconds kInitialRunEstimate{5000};

  /// Clears all state when this member becomes leader. Call Add for each
  /// waiting item afterwards.
  void Reset(Time now);
  /// Adds an item that may run on replicas of `services`, which are sorted.
  /// Ignored if the item was added before.
  void Add(const ItemRef& item, Time due, const Services& services);
  /// Updates the services of every item with `services_of(item)`.
  template <typename ServicesOf>
  void Reassign(const ServicesOf& services_of) {
    for (auto& [item, entry] : this->items) {
      this->MoveTo(this->QueueFor(services_of(item)), item, entry);
    }
  }
  /// Removes an item that has a result or whose batch ended. The gate that
  /// holds it must stop it.
  void Remove(const ItemRef& item, Time now);
  /// Renews the leases of a gate for the items in `holding`. Items that it held
  /// and no longer reports are queued again.
  void Renew(const std::string& gate, std::uint64_t incarnation,
             const std::vector<ItemRef>& holding, Time now);
  /// Returns an item from a gate, with the output of its run.
  void Return(const std::string& gate, const ReturnedItem& returned);
  /// Leases up to `room` items to a gate of `service`, those that can still
  /// finish in time first.
  std::vector<ItemRef> Take(const std::string& gate, const std::string& service,
                            std::size_t room, Time now);
  /// Whether a waiting item may run on replicas of `service`.
  bool HasWaitingFor(const std::string& service) const;
  /// Expires the leases of gates that did not renew them; their items are
  /// queued again.
  void Expire(Time now);
  /// Items in `holding` that must not run any more.
  std::vector<ItemRef> ToStop(const std::vector<ItemRef>& holding) const;
  /// Returns items removed since the last call. The gates that hold them must
  /// stop them.
  std::set<ItemRef> TakeRemoved() { return std::exchange(this->removed, {}); }
  /// Output of earlier runs of the item.
  PartialText PartialOf(const ItemRef& item) const;
  /// When the item is due. Precondition: it was added and not removed.
  Time DueOf(const ItemRef& item) const { return this->items.at(item).due; }
  std::size_t Waiting() const;
  bool Settled(Time now) const { return now >= this->settled; }
  Duration RunEstimate() const { return this->run_estimate; }

 private:
  struct Gate {
    std::uint64_t incarnation = 0;
    Time last_heard{};
  };
  using QueueId = std::size_t;
  struct Entry {
    QueueId queue = 0;
    Time due{};
    std::uint64_t arrival = 0;
    std::string holder;   ///< Name of the gate; empty while the item waits.
    Time first_leased{};  ///< Time of its first lease, by any gate.
    PartialText partial;
  };
  /// Sorted by due time, then by order of arrival.
  using QueueKey = std::tuple<Time, std::uint64_t, ItemRef>;
  /// Waiting items that the same services may run. One queue per set of
  /// services, so that a pull does not scan items that its service cannot run.
  struct Queue {
    Services services;
    std::set<QueueKey> waiting;

    bool Serves(const std::string& service) const;
  };

  QueueId QueueFor(const Services& services);
  void MoveTo(QueueId queue, const ItemRef& item, Entry& entry);
  /// The first `max_count` items that `service` may run, by due time: with
  /// `in_time` those due at `earliest_end` or later, else those due before.
  std::vector<ItemRef> FirstWaiting(const std::string& service,
                                    std::size_t max_count, Time earliest_end,
                                    bool in_time) const;
  static QueueKey QueueKeyOf(const ItemRef& item, const Entry& entry) {
    return {entry.due, entry.arrival, item};
  }
  void Lease(const ItemRef& item, const std::string& gate, Time now);
  void Requeue(const ItemRef& item);
  /// Ends the lease of an item. Precondition: it is leased.
  void ReleaseLease(const ItemRef& item, Entry& entry);
  void RequeueAllOf(const std::string& gate,
                    const std::set<ItemRef>& still_held);

  std::vector<Queue> queues;  ///< By QueueId.
  std::map<Services, QueueId> queue_ids;
  std::map<ItemRef, Entry> items;  ///< All items, waiting or leased.
  std::map<std::string, std::set<ItemRef>> held_by_gate;  ///< By gate.
  std::set<ItemRef> removed;
  std::map<std::string, Gate> gates;
  std::uint64_t last_arrival = 0;
  Time settled{};
  Duration run_estimate = kInitialRunEstimate;
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_LEASESCHEDULER_H_
