#ifndef PAPAYARACK_NODES_FLEETENGINES_H_
#define PAPAYARACK_NODES_FLEETENGINES_H_

#include <chrono>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/fleetwatch.h"
#include "global/timepoint.h"
#include "placement/enginechooser.h"
#include "routes/fleetconfiguration.h"

namespace papayarack::nodes {

/// An engine of the platform's list, by where it runs.
struct EngineLocation {
  std::string address;
  std::string service;
};

/// What a process knows of the fleet names hosts of engines for this long after
/// a leader has last confirmed it. Until then no other host can have taken over
/// but those that a leader tells so; afterwards a process that is cut off from
/// the others stops owning engines by itself. Longer than an election and the
/// reports that follow it take, so that a change of leader stops nobody.
inline constexpr std::chrono::milliseconds kHostListValidity{6000};

/// Whether engines without a process beside them have hosts at `now`: a leader
/// that knew of the processes named them within kHostListValidity. Thread
/// safety: any thread.
bool HostListValid(const coordination::FleetKnowledge& fleet, Time now);

/// The engines without a process beside them that the one at `host` owns, with
/// those that drain. Thread safety: any thread.
std::vector<EngineLocation> EnginesOwnedBy(
    const coordination::FleetKnowledge& fleet, std::string_view host, Time now);

/// The engines that requests may go to, for each service of the configuration,
/// with the process that owns its slots: the one beside it, or a host at `now`.
/// `entry` names the process that is to use them. Those that are draining and
/// those of a service that the configuration does not name are left out, and of
/// several at one address all but the one that runs: each change of the fleet
/// would look like a restart, with the loss of its connections and of what is
/// known of its load. Thread safety: any thread.
std::map<std::string, std::vector<placement::EngineOption>> OptionsByService(
    const coordination::FleetKnowledge& fleet,
    const routes::FleetConfiguration& configuration, const std::string& entry,
    Time now);

/// The engine of `service` at `address`, or null; an empty `service` is any. Of
/// several, one that does not drain, then the one that started last: a replica
/// that crashed stays listed for seconds beside its successor.
/// Symptom guarded against: a batch item runs at a replica of another service
/// that was given the address of a former one. Thread safety: any thread; the
/// result points into `engines`.
const coordination::EngineInstance* FindEngine(
    std::span<const coordination::EngineInstance> engines,
    std::string_view address, std::string_view service);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_FLEETENGINES_H_
