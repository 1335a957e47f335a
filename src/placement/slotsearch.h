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

/// Ask the gate of `engine` for a slot.
struct AskGate {
  EngineOption engine;
  /// How long the request may queue there; zero wants an answer at once.
  std::chrono::milliseconds longest_wait{0};
};

/// Send to `engine` without a slot: nobody owns its slots at the moment.
struct SendUngated {
  EngineOption engine;
};

/// No engine can serve the request in time.
struct NoSlot {
  const char* reason = "";
};

using SearchStep = std::variant<AskGate, SendUngated, NoSlot>;

/// Where one request looks for a slot, and when it stops looking.
///
/// Load pattern: at a wave's edge some gates are full while others have room,
/// so a few are asked for a free slot at once, a round trip each. At its peak
/// all are full; then the request queues once, at the gate that named the
/// shortest wait, if that is within what its caller can wait, and is refused
/// at once otherwise. Thread safety: none.
class SlotSearch {
 public:
  SlotSearch(std::string service, std::string own_zone)
      : service(std::move(service)), own_zone(std::move(own_zone)) {}

  /// What to do next; `budget` is how long the request may still queue.
  SearchStep Next(EngineChooser& chooser, std::chrono::milliseconds budget,
                  Time now);
  /// The gate asked last has no slot; a new request would wait this long.
  void Busy(std::chrono::milliseconds expected_wait);
  /// The gate asked last gives no slots at the moment: its engine is gone or
  /// leaves. A request that queued there looks for a slot elsewhere.
  void Closed();
  /// The gate asked last did not answer, so nothing was sent to its engine.
  void Unanswered();
  /// The process asked last does not own the engine, or is a host that did not
  /// answer: the engine may be used without a slot.
  void NoOwner();
  /// Whether the gate asked last is frozen or cut off: it answers an ask within
  /// a round trip, and one that queues at the end of its wait. Symptom guarded
  /// against: a request queued at a gate whose VM froze waits until its
  /// deadline, where its caller could come back at once.
  bool Silent(Duration asked_ago) const {
    return asked_ago > this->longest_wait + kAskSilence;
  }
  /// Begins anew after a run that failed at `failed`: engines not tried yet go
  /// first; once every one was tried, all may be tried again, it last. A
  /// replica that started again meanwhile counts as not tried.
  void Restart(const EngineChooser& chooser, const EngineStart& failed);

  /// The shortest wait that a gate named; nothing before one did.
  std::optional<std::chrono::milliseconds> LeastWait() const {
    return this->least_wait;
  }
  std::size_t Asks() const { return this->asks; }

  /// Gates asked for a free slot before the request queues at the least busy
  /// one. An ask takes a round trip within a region. An entry hears of each
  /// gate about once a second, so at a wave's edge it asks nearly blindly, and
  /// fewer asks leave free slots unfound.
  static constexpr std::size_t kQuickAsks = 6;
  /// Sixty times a round trip within a region.
  static constexpr std::chrono::milliseconds kAskSilence{120};

 private:
  /// Asks for a free slot again; what was tried stays tried.
  void BeginAnew();
  SearchStep QueueAtLeastBusy(std::chrono::milliseconds budget);

  std::string service;
  std::string own_zone;
  std::vector<EngineStart> tried;          ///< Asked or sent to, this round.
  std::optional<EngineOption> asked;       ///< Whose gate was asked last.
  std::optional<EngineOption> least_busy;  ///< Whose wait was the shortest.
  std::optional<std::chrono::milliseconds> least_wait;
  std::size_t asks = 0;
  bool queueing = false;
  std::chrono::milliseconds longest_wait{0};  ///< At the gate asked last.
};

}  // namespace papayarack::placement

#endif  // PAPAYARACK_PLACEMENT_SLOTSEARCH_H_
