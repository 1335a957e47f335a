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

/// Names of services, sorted.
using Services = std::vector<std::string>;

/// Who runs which waiting item, and which comes next: the soft half of the job
/// group's leader. An item may run twice, when a lease is thought lost; it is
/// listed once, so leases need no log entry.
///
/// Load pattern: for minutes more items come than the slots that online work
/// leaves can run. First come first served would then finish every item just
/// after it was due. Items that can still be in time go first, the earliest due
/// of them first; those that cannot any more wait for spare room, and are run
/// then. Thread safety: none.
class LeaseScheduler {
 public:
  /// A gate silent for this long lost its items: one hold of a pull (1 s) and a
  /// reconnection.
  static constexpr std::chrono::milliseconds kLeaseTime{2500};
  /// After a change of leader nothing is handed out until the gates have said
  /// what they hold, or running items would be run twice.
  static constexpr std::chrono::milliseconds kSettleTime{1500};
  /// From lease to result, before the first result came.
  static constexpr std::chrono::milliseconds kFirstRunEstimate{5000};

  /// A new leader: forgets everything; Add what waits.
  void Reset(Time now);
  /// An item became ready to run, at replicas of `services`, which are sorted;
  /// ignored when it is known.
  void Add(const ItemRef& item, Time due, const Services& services);
  /// `services_of` says anew where each item may run.
  template <typename ServicesOf>
  void Reassign(const ServicesOf& services_of) {
    for (auto& [item, entry] : this->known) {
      this->MoveTo(this->QueueFor(services_of(item)), item, entry);
    }
  }
  /// An item is listed or its batch ended: whoever holds it must stop.
  void Remove(const ItemRef& item, Time now);
  /// A gate reports what it holds; renews its leases. Items that it held and no
  /// longer names wait again.
  void Renew(const std::string& gate, std::uint64_t incarnation,
             const std::vector<ItemRef>& holding, Time now);
  /// A gate hands an item back.
  void Return(const std::string& gate, const ReturnedItem& returned);
  /// Takes up to `room` items for a gate of `service`, those that can still be
  /// in time first.
  std::vector<ItemRef> Take(const std::string& gate, const std::string& service,
                            std::size_t room, Time now);
  /// Whether an item waits that may run at replicas of `service`.
  bool WaitsFor(const std::string& service) const;
  /// Items of silent gates wait again.
  void Expire(Time now);
  /// Items that `holding` names and that are no longer to run.
  std::vector<ItemRef> ToStop(const std::vector<ItemRef>& holding) const;
  /// What was removed since the last call: whoever holds it has to stop.
  std::set<ItemRef> TakeRemoved() { return std::exchange(this->removed, {}); }
  /// What earlier runs of the item made.
  PartialText PartialOf(const ItemRef& item) const;
  /// When the item is due. Precondition: it is known.
  Time DueOf(const ItemRef& item) const { return this->known.at(item).due; }
  std::size_t Waiting() const;
  bool Settled(Time now) const { return now >= this->settled; }
  Duration RunEstimate() const { return this->run_estimate; }

 private:
  struct Gate {
    std::uint64_t incarnation = 0;
    Time heard{};
  };
  using QueueId = std::size_t;
  struct Known {
    QueueId queue = 0;
    Time due{};
    std::uint64_t order = 0;
    std::string holder;  ///< Empty while it waits.
    Time leased{};       ///< First time, whoever held it.
    PartialText partial;
  };
  /// By due time, then by order of arrival.
  using Place = std::tuple<Time, std::uint64_t, ItemRef>;
  /// Waiting items that the same services may run. Kept apart from the others,
  /// so that items which nobody can run at the moment cost no gate a look.
  struct Queue {
    Services services;
    std::set<Place> waiting;

    bool Serves(const std::string& service) const;
  };

  QueueId QueueFor(const Services& services);
  void MoveTo(QueueId queue, const ItemRef& item, Known& entry);
  /// The first `most` that `service` may run: those that can be in time at
  /// `soonest`, or the others.
  std::vector<ItemRef> FirstOf(const std::string& service, std::size_t most,
                               Time soonest, bool in_time) const;
  static Place PlaceOf(const ItemRef& item, const Known& known) {
    return {known.due, known.order, item};
  }
  void Lease(const ItemRef& item, const std::string& gate, Time now);
  void PutBack(const ItemRef& item);
  /// Nobody holds the item any more. Precondition: it is held.
  void EndHold(const ItemRef& item, Known& entry);
  void PutBackAllOf(const std::string& gate,
                    const std::set<ItemRef>& still_held);

  std::vector<Queue> queues;  ///< By QueueId.
  std::map<Services, QueueId> queue_ids;
  std::map<ItemRef, Known> known;                 ///< Waiting or held.
  std::map<std::string, std::set<ItemRef>> held;  ///< By gate.
  std::set<ItemRef> removed;
  std::map<std::string, Gate> gates;
  std::uint64_t last_order = 0;
  Time settled{};
  Duration run_estimate = kFirstRunEstimate;
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_LEASESCHEDULER_H_
