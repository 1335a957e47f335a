#ifndef PAPAYARACK_NODES_SLOTFINDER_H_
#define PAPAYARACK_NODES_SLOTFINDER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "global/replicasoftware.h"
#include "global/timepoint.h"
#include "nodes/slotmessages.h"
#include "nodes/speedlearner.h"
#include "placement/admission.h"
#include "placement/enginechooser.h"
#include "placement/slotsearch.h"
#include "transport/peerclient.h"

namespace papayarack::nodes {

/// A request that needs a slot.
struct SlotRequest {
  std::string id;  ///< For logs and gates.
  std::string service;
  speeds::SpeedObjectives objectives = {};
  std::string organisation = {};  ///< Empty: its caller is anonymous.
  int organisation_priority = 0;
  int route_priority = 0;
};

/// A replica that may run a request now.
struct FoundSlot {
  placement::EngineOption engine;
  /// A gate granted a slot. False: the replica has no owner.
  bool granted = false;
  /// Until then any replica at the engine's address is of the request's
  /// service.
  Time service_holds_until{};
};

/// Finds a replica and its slot for each request of an entry: asks gates in the
/// order that placement::SlotSearch decides, passes what they reply on to the
/// chooser, and holds a granted slot until it is released. Thread safety: none,
/// the loop's thread.
class SlotFinder {
 public:
  using RequestId = std::uint64_t;
  struct Handlers {
    /// The gate of `engine` is asked, at `asked`; or more has become known of
    /// the engine whose gate was asked. Must not call the finder.
    std::function<void(RequestId, const placement::EngineOption& engine,
                       Time asked)>
        on_asked;
    std::function<void(RequestId, const FoundSlot&)> on_found;
    /// The request cannot run now.
    std::function<void(RequestId, const placement::NoSlot&)> on_none;
    /// A reply shows that a replica has restarted. Must not call the finder.
    std::function<void(const placement::EngineRestart&)> on_restart;
  };

  /// Precondition: the reference arguments outlive this.
  SlotFinder(transport::PeerClient& peers, placement::EngineChooser& chooser,
             SpeedLearner& speed_learner, std::string own_zone,
             Handlers handlers);
  ~SlotFinder();
  SlotFinder(const SlotFinder&) = delete;
  SlotFinder& operator=(const SlotFinder&) = delete;

  /// Adds a request, or replaces what is known of it. Precondition: nothing is
  /// asked or held for it.
  void Set(RequestId id, SlotRequest request);
  /// From now on only replicas of `began` are considered.
  void ContinueOnly(RequestId id, const ReplicaSoftware& began);
  /// Searches for a slot, and calls on_found or on_none once, unless the
  /// request is released before. Either may be called before this returns.
  /// Precondition: nothing is asked or held for the request.
  void Find(RequestId id, const placement::RequestTiming& timing);
  /// Makes the next Find start a new search, after a run failed at `failed`.
  void Restart(RequestId id, const placement::EngineStart& failed);
  /// Keeps the slot held while Find looks for one elsewhere. Precondition: the
  /// request was found a replica, and nothing is set aside for it.
  void SetAside(RequestId id);
  /// Ends the search, and holds again what was set aside. Precondition:
  /// SetAside was called before.
  void TakeBack(RequestId id);
  /// Gives back the slot that was set aside; ignored if none was.
  void ReleaseSetAside(RequestId id);
  /// Gives back the slots of the request, or stops asking for one.
  void Release(RequestId id);
  /// Releases and forgets the request; ignored when it is not known.
  void Remove(RequestId id);
  /// Treats the gate asked as lost when its reply is overdue.
  void CheckReply(RequestId id, Time now);
  /// Leaves `time`, in which this process read nothing, out of the time that
  /// gates have taken so far.
  void Excuse(Duration time, Time now);

  /// Whether a granted slot is held. False after its gate was lost.
  bool Holds(RequestId id) const;
  /// Gates asked by the search.
  std::size_t Asks(RequestId id) const;
  /// As placement::SlotSearch::ShortestWait.
  std::optional<std::chrono::milliseconds> ShortestWait(RequestId id) const;

 private:
  /// A replica, and the slot held there.
  struct Held {
    placement::EngineOption engine;
    transport::CallId slot = 0;
    bool granted = false;
  };
  struct Search {
    SlotRequest request;
    placement::SlotSearch decisions;
    std::optional<ReplicaSoftware> began;
    placement::RequestTiming timing;
    placement::EngineOption engine;  ///< Whose gate was asked last.
    transport::CallId slot = 0;      ///< Asked for or held.
    bool granted = false;            ///< The last ask was.
    std::uint64_t ask = 0;           ///< Identifies late callbacks.
    Time asked{};
    std::optional<Held> set_aside = std::nullopt;
  };

  void Advance(RequestId id);
  void ReleaseHeld(Search& search);
  void Perform(RequestId id, const placement::AskGate& step);
  void Perform(RequestId id, const placement::SendUngated& step);
  void Perform(RequestId id, const placement::NoSlot& step);
  void OnReply(RequestId id, std::uint64_t ask, const std::string& bytes);
  /// Handles a reply other than a grant that the request can use.
  void OnRejected(RequestId id, const SlotReply& reply);
  void OnLost(RequestId id, std::uint64_t ask);
  /// Passes on what the reply says about the engine.
  void Learn(RequestId id, const SlotReply& reply);
  /// The request if `ask` is its current one, null otherwise.
  Search* Current(RequestId id, std::uint64_t ask);

  transport::PeerClient& peers;
  placement::EngineChooser& chooser;
  SpeedLearner& speed_learner;
  std::string own_zone;
  Handlers handlers;
  std::unordered_map<RequestId, Search> searches;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_SLOTFINDER_H_
