#ifndef PAPAYARACK_BATCHES_LEASESCHEDULER_H_
#define PAPAYARACK_BATCHES_LEASESCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "batches/batchmessages.h"
#include "batches/dueload.h"
#include "batches/gatespeeds.h"
#include "batches/organisationturns.h"
#include "batches/slotsupply.h"
#include "global/timepoint.h"
#include "quarantine/fingerprint.h"

namespace papayarack::batches {

/// Service names, sorted.
using Services = std::vector<std::string>;
/// Traits of an item that are quarantined, sorted.
using Traits = std::vector<quarantine::Fingerprint>;

/// Where an item may run.
struct Eligibility {
  Services services;
  /// Services that may run it only as a trial of `quarantined`: there is no
  /// other.
  Services trial_services;
  Traits quarantined;

  bool NeedsTrial() const {
    return this->services.empty() && !this->trial_services.empty();
  }
  bool operator<(const Eligibility& other) const {
    return std::tie(this->services, this->trial_services, this->quarantined) <
           std::tie(other.services, other.trial_services, other.quarantined);
  }
};

/// Who submitted an item.
struct ItemOwner {
  std::string organisation;  ///< Empty: submitted anonymously.
  int priority = 0;          ///< Of the organisation; zero is the highest.
};

/// Leases by the reason why their item came next, and how many led to a result.
struct LeaseCounts {
  std::uint64_t by_due_time = 0;  ///< In time at the gate.
  std::uint64_t by_turn = 0;      ///< As well, at its organisation's turn.
  std::uint64_t late = 0;
  std::uint64_t trials = 0;
  std::uint64_t results = 0;
  std::uint64_t runs = 0;  ///< Leases of the items with these results.
};

/// Leases waiting items to gates and decides which comes next. This state
/// exists only on the job group's leader and is not replicated: an item may run
/// twice if its lease expires early, but only its first result is recorded.
///
/// For minutes at a time, more items may arrive than can run in the slots that
/// online work leaves free. First come, first served would then finish every
/// item just after it was due. So items that can still finish in time go first,
/// by due time; the others run when there are slots to spare.
///
/// One organisation may submit more than can be in time, and others a little.
/// Where not all items that are due by some time can be in time, organisations
/// take turns with those that still can (see OrganisationTurns). A single
/// organisation, or none, changes nothing.
///
/// Replicas may crash under an item, which its traits are then blamed for,
/// rightly or not. An item that only quarantined traits keep from running is
/// leased as a trial: one item with a trait at a time in the whole fleet, not
/// before the trait's time. So every item that a service may run is leased, may
/// be leased, or has a time from which on it may be. Thread safety: none.
class LeaseScheduler {
 public:
  /// The leases of a gate expire after this time without a pull. It covers one
  /// long pull (1 s) and a reconnection.
  static constexpr std::chrono::milliseconds kLeaseTime{2500};
  /// After a leader change no items are leased for this time, so that the gates
  /// can report what they hold. Otherwise running items would be run twice.
  static constexpr std::chrono::milliseconds kSettleTime{1500};
  /// Time from a trial of a trait to the next one at least. A failed one is
  /// known by then, so that the next may have to wait for longer.
  static constexpr std::chrono::milliseconds kMinTrialInterval{2000};
  /// Estimated time from lease to result before the first result is known.
  static constexpr std::chrono::milliseconds kInitialRunEstimate{5000};

  /// Clears all state when this member becomes leader. Call Add for each
  /// waiting item afterwards.
  void Reset(Time now);
  /// Adds an item that is due at `due`. Ignored if it was added before.
  void Add(const ItemRef& item, Time due, const Eligibility& eligibility,
           const ItemOwner& owner = {});
  /// Updates where every item may run with `eligibility_of(item)`.
  template <typename EligibilityOf>
  void Reassign(const EligibilityOf& eligibility_of) {
    for (auto& [item, entry] : this->items) {
      this->MoveTo(this->QueueFor(eligibility_of(item)), item, entry);
    }
  }
  /// Sets from when on each quarantined trait may be tried. One without a time
  /// may be at once.
  void SetTrialTimes(std::map<quarantine::Fingerprint, Time> times);
  /// Removes an item that has a result or whose batch ended. The gate that
  /// holds it must stop it.
  void Remove(const ItemRef& item, Time now);
  /// Renews the leases of a gate for the items in `holding`. Items that it held
  /// and no longer reports are queued again.
  void Renew(const std::string& gate, std::uint64_t incarnation,
             const std::vector<ItemRef>& holding, Time now);
  /// Returns an item from a gate, with the output of its run.
  void Return(const std::string& gate, const ReturnedItem& returned);
  /// A gate of `service` states the time that a whole item takes there now
  /// (zero: not known), for how many items it has room, and how many it holds.
  void SetRunTime(const std::string& gate, const std::string& service,
                  std::chrono::milliseconds run_time, std::size_t room,
                  std::size_t held, Time now);
  /// Whether items should go to other gates of its service first.
  bool IsSlow(const std::string& gate, const std::string& service) const {
    return this->FactorOf(gate, service) > 1;
  }
  /// Leases up to `room` items to a gate of `service`: one as a trial if it may
  /// be tried now, then those that can still finish in time there, then others.
  /// A slow gate gets no item that is in time at the others only.
  std::vector<ItemRef> Take(const std::string& gate, const std::string& service,
                            std::size_t room, Time now);
  /// Whether a waiting item may run on replicas of `service` now, and Take
  /// would lease it to `gate`.
  bool HasWaitingFor(const std::string& service, Time now,
                     const std::string& gate = {}) const;
  /// Whether the item was added, not removed, and no gate holds it.
  bool IsWaiting(const ItemRef& item) const {
    const auto found = this->items.find(item);
    return found != this->items.end() && found->second.holder.empty();
  }
  /// Whether quarantined traits keep the item from all services but as a trial.
  /// Precondition: it was added and not removed.
  bool NeedsTrial(const ItemRef& item) const;
  /// From when on a waiting item may be leased to a gate of `service`, as far
  /// as is known now; nullopt: it is leased, or this service may not run it.
  /// Precondition: it was added and not removed.
  std::optional<Time> NextLease(const ItemRef& item,
                                const std::string& service) const;
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
  /// Returns what was counted since the last call.
  LeaseCounts TakeCounts() { return std::exchange(this->counts, {}); }
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
    ItemOwner owner;
    std::string holder;      ///< Name of the gate; empty while the item waits.
    Time first_leased{};     ///< Time of its first lease, by any gate.
    bool is_trial = false;   ///< Its lease is a trial.
    std::uint32_t runs = 0;  ///< Leases that this leader gave.
    PartialText partial;
  };
  /// Sorted by due time, then by order of arrival.
  using QueueKey = std::tuple<Time, std::uint64_t, ItemRef>;
  /// Waiting items that may run at the same places. One queue for each such
  /// set, so that a pull does not scan items that its service cannot run.
  struct Queue {
    Eligibility eligibility;
    std::set<QueueKey> waiting;
    DueLoad due_load;         ///< Of `waiting`.
    OrganisationTurns turns;  ///< Of `waiting`.
    std::size_t items = 0;    ///< Waiting or leased.

    bool Serves(const std::string& service) const;
    bool Tries(const std::string& service) const;
  };

  struct ServiceGates {
    GateSpeeds speeds;
    SlotSupply supply;
  };

  QueueId QueueFor(const Eligibility& eligibility);
  /// Removes the queue if no item is left in it.
  void DropIfUnused(QueueId queue);
  /// Counts an item of the queue as being tried, or no longer.
  void CountTrial(QueueId queue, bool runs);
  /// Makes the item's lease a trial. Precondition: it is leased.
  void MarkTrial(const ItemRef& item, Time now);
  /// From when on an item of the queue may be tried; nullopt while another item
  /// with one of its traits is.
  std::optional<Time> TrialTime(const Queue& queue) const;
  bool MayTry(const Queue& queue, const std::string& service, Time now) const;
  /// The item to try next at `service`, if any: of those with the fewest
  /// quarantined traits, as each of several could be the cause.
  std::optional<ItemRef> NextTrial(const std::string& service, Time now) const;
  void MoveTo(QueueId queue, const ItemRef& item, Entry& entry);
  double FactorOf(const std::string& gate, const std::string& service) const;
  /// What `gate` may be given apart from trials: items due at `in_time_here` or
  /// later, and those due before `late_everywhere`. The items between are left
  /// to faster gates.
  struct DueLimits {
    Time in_time_here{};
    Time late_everywhere{};
  };
  DueLimits DueLimitsOf(const std::string& gate, const std::string& service,
                        Time now) const;
  /// The first `max_count` items that `service` may run, by due time: those due
  /// at `earliest` or later and before `latest`.
  std::vector<ItemRef> FirstWaiting(const std::string& service,
                                    std::size_t max_count, Time earliest,
                                    Time latest) const;
  /// Organisations take turns with the items that wait for `service` and are
  /// due before this, as not all of those can be in time; nullopt: all can.
  std::optional<Time> TurnsUntil(const std::string& service, Time now) const;
  /// Leases up to `room` items that can be in time and are due before `until`,
  /// by turns.
  std::vector<ItemRef> TakeInTurn(const std::string& gate,
                                  const std::string& service, std::size_t room,
                                  const DueLimits& limits, Time until,
                                  Time now);
  /// Adds the item to those that wait in its queue, or removes it.
  void StartWaiting(const ItemRef& item, const Entry& entry);
  bool StopWaiting(const ItemRef& item, const Entry& entry);
  static QueueKey QueueKeyOf(const ItemRef& item, const Entry& entry) {
    return {entry.due, entry.arrival, item};
  }
  void Lease(const ItemRef& item, const std::string& gate, Time now);
  void Requeue(const ItemRef& item);
  /// Ends the lease of an item. Precondition: it is leased.
  void ReleaseLease(const ItemRef& item, Entry& entry);
  void RequeueAllOf(const std::string& gate,
                    const std::set<ItemRef>& still_held);

  std::map<QueueId, Queue> queues;
  std::map<Eligibility, QueueId> queue_ids;
  QueueId last_queue = 0;
  std::map<quarantine::Fingerprint, Time> trial_times;
  /// Trials under way of each quarantined trait.
  std::map<quarantine::Fingerprint, std::size_t> running_trials;
  /// No trial of the trait before this, whatever `trial_times` says.
  std::map<quarantine::Fingerprint, Time> trial_holds;
  std::map<ItemRef, Entry> items;  ///< All items, waiting or leased.
  std::map<std::string, std::set<ItemRef>> held_by_gate;  ///< By gate.
  std::set<ItemRef> removed;
  std::map<std::string, Gate> gates;
  std::map<std::string, ServiceGates> gates_of;  ///< By service.
  std::uint64_t last_arrival = 0;
  std::uint64_t last_turn = 0;
  LeaseCounts counts;
  Time settled{};
  Duration run_estimate = kInitialRunEstimate;
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_LEASESCHEDULER_H_
