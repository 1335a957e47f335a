#ifndef PAPAYARACK_NODES_NODEOPTIONS_H_
#define PAPAYARACK_NODES_NODEOPTIONS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/coordinationmessages.h"
#include "global/settings.h"
#include "nodes/callerroom.h"
#include "organisations/keytrust.h"
#include "placement/zonepolicy.h"
#include "quotas/quotalimits.h"

namespace papayarack::nodes {

/// The settings of one process on a platform that provides a list of replicas.
struct NodeOptions {
  std::string name;
  coordination::NodeRole role = coordination::NodeRole::kEntry;
  std::string zone;
  Endpoint peer_listen;
  /// Peer addresses of processes that were, or could become, members of the
  /// coordination group when the settings were written.
  std::vector<std::string> seeds;
  /// True only when the whole fleet starts for the first time, on empty disks.
  bool first_start = false;
  std::size_t tolerated_losses = 1;
  std::string data_folder;          ///< Empty: no disk.
  std::optional<Endpoint> front;    ///< Entry: address for callers.
  std::optional<Endpoint> ready;    ///< Entry: readiness check.
  std::optional<Endpoint> control;  ///< Entry: address for operators.
  std::optional<Endpoint> metrics;  ///< Address for metrics.
  std::string engine_address;       ///< Gate.
  std::string engine_service;       ///< Gate.
  /// The platform gives the address of a replica that has ended to a replica of
  /// another service no sooner than after this time; zero: not known.
  std::chrono::milliseconds address_reuse{0};
  std::optional<Endpoint> list;  ///< The platform's list of replicas.
  /// Its rate limit in calls a second for all processes together; zero: not
  /// known.
  double list_calls_per_second = 0;
  /// The list shows a change this long after it happened, at the latest.
  std::chrono::milliseconds list_lag{1000};
  std::chrono::milliseconds grace{8000};  ///< From SIGTERM to SIGKILL.
  std::chrono::milliseconds batch_keep{120000};
  VmLimits limits;
  organisations::RevocationBound revocation;
  quotas::QuotaTolerance quota_tolerance;
  placement::ZoneSettings zones;          ///< Entry: traffic to other zones.
  std::chrono::milliseconds drain{3000};  ///< Draining replicas: no new work
                                          ///< after this.
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_NODEOPTIONS_H_
