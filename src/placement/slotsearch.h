#ifndef PAPAYARACK_PLACEMENT_SLOTSEARCH_H_
#define PAPAYARACK_PLACEMENT_SLOTSEARCH_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "global/timepoint.h"
#include "placement/enginechooser.h"

namespace papayarack::placement {

/// The next step is to ask the gate of `engine` for a slot.
struct AskGate {
  EngineOption engine;
  /// How long the request may queue there; zero asks for an immediate reply.
  std::chrono::milliseconds longest_wait{0};
  /// The gate shall not preempt a batch item for the slot.
  bool spares_items = false;
};

/// The next step is to send to `engine` without a slot, as it has no owner now.
struct SendUngated {
  EngineOption engine;
};

/// No engine can serve the request in time.
struct NoSlot {
  const char* reason = "";
  /// No replica that may take the request is known, so waiting is in vain.
  bool no_replica = false;
};

using SearchStep = std::variant<AskGate, SendUngated, NoSlot>;

/// Decides where one request asks for a slot, and when it gives up.
///
/// Load pattern: at the start of a wave some gates are full and others are not,
/// so a few are asked in turn for an immediate slot, one round trip each. At
/// its peak all are full; then the request queues once, at the gate that
/// reported the shortest wait, if its caller can wait that long, and is refused
/// at once otherwise.
///
/// Batch items fill the slots that online work leaves, most of them at a few
/// gates, and an entry knows little of which. A preempted item waits until a
/// slot comes free at its gate, while others have free slots. So the first asks
/// spare items, and one is preempted where none of these found a free slot.
/// This applies where replicas differ in speed (EngineChooser::SparesItems) and
/// to callers of organisations. Thread safety: none.
class SlotSearch {
 public:
  /// `spares_items`: batch items are spared whatever the replicas' speeds.
  SlotSearch(std::string service, std::string own_zone,
             const speeds::SpeedObjectives& objectives = {},
             bool spares_items = false)
      : query{std::move(service), std::nullopt, objectives},
        own_zone(std::move(own_zone)),
        always_spares(spares_items) {}

  /// From now on only replicas of `began` are considered: an event of it has
  /// reached the caller.
  void ContinueOnly(const ReplicaSoftware& began) { this->query.began = began; }

  /// Returns the next step; `budget` is how long the request may still queue.
  SearchStep Next(EngineChooser& chooser, std::chrono::milliseconds budget,
                  Time now);
  /// The last gate asked has no slot; a new request would wait this long.
  void Busy(std::chrono::milliseconds expected_wait);
  /// The last gate asked has a slot for the request if it preempts an item.
  void WouldPreempt();
  /// The last gate asked grants no slots, as its engine is down or shutting
  /// down. A request that queued there looks for a slot elsewhere.
  void Closed();
  /// The last gate asked did not respond, so nothing was sent to its engine.
  void Unanswered();
  /// The last process asked does not own the engine, or is a host that did not
  /// respond: the engine may be used without a slot.
  void NoOwner();
  /// Whether the reply to the last ask is overdue: a gate replies within a
  /// round trip, or at the end of the wait if the request queues. Without
  /// this check a request queued at a gate whose VM froze waits until its
  /// deadline, although its caller could retry at once.
  bool AskTimedOut(Duration asked_ago) const {
    return asked_ago > this->longest_wait + kAskTimeout;
  }
  /// Restarts the search after a run failed at `failed`. Untried engines come
  /// first; once all were tried, all may be tried again, `failed` last. A
  /// replica that has restarted since counts as untried.
  void Restart(const EngineChooser& chooser, const EngineStart& failed);

  /// The shortest wait reported by a gate; nothing if none has reported one.
  std::optional<std::chrono::milliseconds> ShortestWait() const {
    return this->shortest_wait;
  }
  std::size_t Asks() const { return this->asks; }

  /// Number of gates asked for a free slot before the request queues at the
  /// least busy one. An ask takes a round trip within a region. An entry gets a
  /// report of each gate about once a second, so at the start of a wave it
  /// knows little of their load, and fewer asks would miss free slots.
  static constexpr std::size_t kMaxImmediateAsks = 6;
  /// Number of gates that would preempt an item before one of them is asked to:
  /// where two of three gates are full, less than a third of the requests
  /// preempt one.
  static constexpr std::size_t kMaxSparingAsks = 3;
  /// 60 round trips within a region.
  static constexpr std::chrono::milliseconds kAskTimeout{120};

 private:
  /// Starts asking for a free slot again; keeps `tried`.
  void ResetSearch();
  /// Why no process could be asked for a slot.
  NoSlot NothingAsked(const EngineChooser& chooser,
                      bool unowned_share_used) const;
  SearchStep QueueAtLeastBusy(std::chrono::milliseconds budget);
  /// Asks the first of the gates that would preempt an item.
  SearchStep AskToPreempt();

  EngineQuery query;
  std::string own_zone;
  std::vector<EngineStart> tried;  ///< Asked or sent to; cleared once all were.
  std::optional<EngineOption> asked;       ///< Engine of the last gate asked.
  std::optional<EngineOption> least_busy;  ///< Reported the shortest wait.
  std::optional<std::chrono::milliseconds> shortest_wait;
  /// Engine of the first gate that would preempt an item.
  std::optional<EngineOption> preemptible;
  std::size_t preemptible_gates = 0;
  bool always_spares = false;
  bool may_spare = true;  ///< No gate was asked to preempt an item yet.
  std::size_t asks = 0;
  bool queueing = false;
  std::chrono::milliseconds longest_wait{0};  ///< At the last gate asked.
};

}  // namespace papayarack::placement

#endif  // PAPAYARACK_PLACEMENT_SLOTSEARCH_H_
