#ifndef PAPAYARACK_NODES_FLEETENGINES_H_
#define PAPAYARACK_NODES_FLEETENGINES_H_

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/fleetwatch.h"
#include "placement/enginechooser.h"
#include "routes/fleetconfiguration.h"

namespace papayarack::nodes {

/// The engines that requests may go to, with their gates, for each service of
/// the configuration. Those that are draining and those of a service that the
/// configuration does not name are left out, and of several at one address all
/// but the one that runs: each change of the fleet would look like a restart,
/// with the loss of its connections and of what is known of its load. Thread
/// safety: any thread.
std::map<std::string, std::vector<placement::EngineOption>> OptionsByService(
    const coordination::FleetKnowledge& fleet,
    const routes::FleetConfiguration& configuration);

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
