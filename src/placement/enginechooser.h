#ifndef PAPAYARACK_PLACEMENT_ENGINECHOOSER_H_
#define PAPAYARACK_PLACEMENT_ENGINECHOOSER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "global/replicasoftware.h"
#include "global/timepoint.h"
#include "placement/enginestart.h"
#include "placement/zonepolicy.h"
#include "speeds/fleetspeeds.h"
#include "speeds/replicaspeed.h"

namespace papayarack::placement {

/// A replica that can serve a request.
struct EngineOption {
  std::string address;  ///< Unique key; differs between machines.
  std::string id;       ///< Id of the replica now at the address.
  /// Address of the process that owns its slots, on the same VM or a host;
  /// empty if it has no owner.
  std::string gate;
  std::string zone;
  std::uint32_t slots = 0;
  std::uint64_t started_ms = 0;  ///< See EngineStart.
  /// Limit of concurrent requests from this entry while it has no owner.
  std::size_t unowned_share = 0;
  /// The owner runs on another VM, so the engine may be up while the owner does
  /// not respond.
  bool hosted = false;
  ReplicaSoftware software = {};  ///< Of the replica `id`.
  /// Id of a replica that has started there since and that the list does not
  /// show yet; empty if none is known.
  std::string unlisted_id = {};

  /// Id of the replica that runs there now, as far as is known.
  const std::string& RunningId() const {
    return this->unlisted_id.empty() ? this->id : this->unlisted_id;
  }

  EngineStart Start() const {
    return {this->address, this->id, this->started_ms};
  }
};

/// The replicas that may take a request.
struct EngineQuery {
  std::string service;
  /// The software that began the request's text, which only it may continue.
  std::optional<ReplicaSoftware> began = {};
  speeds::SpeedObjectives objectives = {};  ///< Of its route.

  /// Thread safety: any thread.
  bool Admits(const ReplicaSoftware& software) const {
    return !this->began.has_value() || software.CanContinue(*this->began);
  }
};

/// Load of an engine as last reported by its gate.
struct ReportedLoad {
  std::uint32_t online = 0;
  std::uint32_t waiting = 0;
  std::uint32_t batch = 0;  ///< Slots held by batch items.
};

/// Chooses the engine where an entry asks for a slot first. The gate decides,
/// so a wrong choice costs one round trip and no time in a queue.
///
/// Load pattern: each of a few entries sees a part of one wave. Reports of
/// gates become stale, so they are blended with the requests that the entry has
/// sent since; random noise of less than a slot keeps entries with the same
/// reports from all choosing the same engine after a change.
///
/// Replicas of one service can differ in speed. A request goes to a replica
/// that would miss its route's objectives only if others are full. Where no
/// batch items run it goes where the work in slots, including its own, times
/// the replica's slowness is least. Where items run it goes by load alone:
/// streams that meet their objectives at a slow replica leave the fast ones to
/// items, which have a due time and take a whole wave of load even there.
/// Thread safety: none.
class EngineChooser {
 public:
  explicit EngineChooser(std::uint64_t seed, const ZoneSettings& zones = {})
      : random(seed), zones(zones) {}

  /// Replaces the options. State is kept for replicas that remain, and reset
  /// for those that restarted. Returns the restarted replicas.
  std::vector<EngineRestart> SetOptions(const std::string& service,
                                        std::vector<EngineOption> options);
  /// Records the start time that the gate reports for the replica at `address`.
  /// Returns the restart if it is one, as SetOptions does.
  std::optional<EngineRestart> ObserveStart(const std::string& address,
                                            std::uint64_t started_ms);
  /// The replica now at `address` names itself `id`. It may be used until the
  /// list shows another id. Precondition: it is of the option's service.
  void ObserveId(const std::string& address, const std::string& id);
  /// The best option whose current start is not in `tried`; nothing if none is
  /// left.
  std::optional<EngineOption> Choose(const EngineQuery& query,
                                     const std::string& own_zone,
                                     std::span<const EngineStart> tried,
                                     Time now);
  /// Whether Choose would return an option.
  bool HasUntried(const EngineQuery& query,
                  std::span<const EngineStart> tried) const;
  /// A request of this entry starts or ends at an engine.
  void Started(const std::string& address);
  void Ended(const std::string& address);
  void Reported(const std::string& address, const ReportedLoad& load, Time now);
  /// The gate of the replica of `service` at `address` states its speed.
  void LearnSpeed(const std::string& service, const std::string& address,
                  const speeds::SpeedStatement& statement, Time now);
  /// A stream of this entry ended completely, after `bytes` in both directions.
  void LearnStream(const std::string& service, const std::string& address,
                   const speeds::StreamTimes& times, std::uint64_t bytes,
                   Time now);
  /// The replica reports its pace, see speeds::ReplicaSpeed::Paced.
  void LearnPace(const std::string& address, std::uint32_t percent, Time now);
  /// A request of `service` is sent, to another zone or not.
  void CountZone(const std::string& service, bool other_zone, Time now);
  /// How requests of the service leave the zone; null if it has no replicas.
  const ZonePolicy* ZoneOf(const std::string& service) const;
  /// Whether requests should look for a free slot before a batch item is
  /// preempted for them: replicas of the service differ in speed, so that items
  /// gather at some of them.
  bool SparesItems(const std::string& service, Time now) const;
  /// See speeds::ReplicaSpeed::Slowness; 1 for unknown replicas.
  double SlownessOf(const std::string& service, const std::string& address,
                    Time now) const;
  /// The lasting slowness of a replica if it has become slow, or is no longer,
  /// since the last call; at most once in kSpeedNoteInterval for each replica.
  std::optional<speeds::LastingSlowness> NoteSpeed(const std::string& service,
                                                   const std::string& address,
                                                   Time now);
  /// Replicas that NoteSpeed last returned as slow.
  std::size_t SlowReplicas() const;
  /// A response was received completely.
  void Succeeded(const std::string& address);
  /// The engine or its gate failed a request: backs off, doubling with each
  /// consecutive failure up to kMaxBackoff.
  void Failed(const std::string& address, Time now);
  /// The gate grants no slots at the moment: backs off for kFirstBackoff. Not
  /// doubled, as asking costs only a round trip.
  void Closed(const std::string& address, Time now);
  /// The process asked for a slot does not own the engine: treats the engine as
  /// without an owner for kUnownedFor.
  void NotOwned(const std::string& address, Time now);
  /// A host did not respond: the same as NotOwned for each engine it owns.
  void HostTimedOut(const std::string& host, Time now);
  /// End of the engine's backoff; in the past if it is not backed off.
  Time BackoffUntil(const std::string& address) const;
  std::size_t OptionCount(const EngineQuery& query) const;
  std::uint32_t OwnRequests(const std::string& address) const;

  /// Initial backoff. If it exceeded the time until a crash appears in the
  /// platform's list, one burst of connection resets would put half a fleet in
  /// backoff.
  static constexpr std::chrono::milliseconds kFirstBackoff{300};
  static constexpr std::chrono::milliseconds kMaxBackoff{4000};
  /// An engine whose host is unavailable is used without a slot for this long
  /// before the host is asked again: an ask without a response costs its caller
  /// up to SlotSearch::kAskTimeout.
  static constexpr std::chrono::milliseconds kUnownedFor{600};
  static constexpr std::chrono::seconds kSpeedNoteInterval{30};

 private:
  struct EngineState {
    std::string id;                ///< Empty until it is an option.
    std::string unlisted_id;       ///< As in EngineOption.
    std::uint64_t started_ms = 0;  ///< See EngineStart.
    std::uint32_t own = 0;         ///< This entry's current requests.
    std::uint32_t own_at_report = 0;
    ReportedLoad load;
    Time reported{};
    std::uint32_t failures = 0;  ///< Consecutive.
    Time backoff_until{};
    Time unowned_until{};
    speeds::ReplicaSpeed speed;
    bool noted_slow = false;  ///< See NoteSpeed.
    Time speed_noted{};
  };
  /// The replicas of one service.
  struct ServiceState {
    std::vector<EngineOption> options;
    speeds::FleetSpeeds speeds;
    ZonePolicy zone;
    Time items_seen{};   ///< When a gate last stated that items run.
    Time uneven_seen{};  ///< When a choice last met a slow replica.
  };
  std::optional<EngineRestart> ApplyStart(const EngineStart& reported_start);
  EngineStart StartOf(const EngineOption& option) const;
  /// Unknown after a restart that the list does not show yet: the replica may
  /// have been upgraded under its id.
  ReplicaSoftware SoftwareOf(const EngineOption& option) const;
  /// Slots in use at the engine, and the weight of its last report.
  struct Usage {
    double used = 0;
    double reported = 0;
    double report_weight = 0;
  };
  static Usage UsageOf(const EngineState& state, Time now);
  double CostOf(const EngineOption& option, const EngineQuery& query,
                const std::string& own_zone, ServiceState& service, Time now);
  ServiceState& ServiceOf(const std::string& service);
  /// Updates the zone policy from the replicas that are not backed off.
  void UpdateZone(ServiceState& service, const std::string& own_zone, Time now);

  std::map<std::string, ServiceState> services;
  std::map<std::string, EngineState> states;  ///< By address.
  std::mt19937_64 random;
  ZoneSettings zones;
};

}  // namespace papayarack::placement

#endif  // PAPAYARACK_PLACEMENT_ENGINECHOOSER_H_
