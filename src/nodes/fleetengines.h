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

/// An engine of the platform's list, identified by its address.
struct EngineLocation {
  std::string address;
  std::string service;
};

/// How long the assignment of engines to hosts is valid after a leader last
/// confirmed it. Until then only hosts named by a leader can have taken over;
/// afterwards a process that is cut off from the others releases its engines by
/// itself. Longer than an election and the reports after it, so that a change
/// of leader releases no engine.
inline constexpr std::chrono::milliseconds kHostListValidity{6000};

/// Whether the host assignment of engines without a local process is valid at
/// `now`: a leader that knew the processes confirmed it within
/// kHostListValidity. Thread safety: any thread.
bool HostListValid(const coordination::FleetKnowledge& fleet, Time now);

/// The engines without a local process that the process at `host` owns,
/// including draining ones. Thread safety: any thread.
std::vector<EngineLocation> EnginesOwnedBy(
    const coordination::FleetKnowledge& fleet, std::string_view host, Time now);

/// The engines that requests may use, by service of the configuration, each
/// with the process that owns its slots: the gate on its VM, or a host at
/// `now`. `entry` is the name of the process that uses them. Excludes draining
/// engines and services that the configuration does not name. Of several
/// engines at one address only the running one is included: otherwise each
/// change of the fleet would look like a restart and drop its connections and
/// known load. Thread safety: any thread.
std::map<std::string, std::vector<placement::EngineOption>> OptionsByService(
    const coordination::FleetKnowledge& fleet,
    const routes::FleetConfiguration& configuration, const std::string& entry,
    Time now);

/// The engine of `service` at `address`, or null; an empty `service` matches
/// any. Of several, one that is not draining, then the latest started: a
/// crashed replica stays listed for seconds together with its replacement. The
/// service is compared because a replica of another service may have been given
/// the address of a former one, and must not run its batch items. Thread
/// safety: any thread; the result points into `engines`.
const coordination::EngineInstance* FindEngine(
    std::span<const coordination::EngineInstance> engines,
    std::string_view address, std::string_view service);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_FLEETENGINES_H_
