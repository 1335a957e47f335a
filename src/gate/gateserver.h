#ifndef PAPAYARACK_GATE_GATESERVER_H_
#define PAPAYARACK_GATE_GATESERVER_H_

#include <memory>
#include <nlohmann/json.hpp>

#include "global/metrics.h"
#include "global/settings.h"

namespace papayarack::gate {

/// The role `side`: the gate in front of one upstream. Threads: peer I/O, event
/// loop, one worker for each running upstream call, control (heartbeats and
/// items), health checks of the upstream. Thread safety: any thread.
class GateServer {
 public:
  /// Precondition: settings.upstreams[upstream] exists. Throws
  /// ResultError(kBadInput).
  GateServer(const Settings& settings, std::size_t upstream, Metrics& metrics);
  ~GateServer();
  GateServer(const GateServer&) = delete;
  GateServer& operator=(const GateServer&) = delete;

  /// Refuses new work, returns batch items and finishes online answers.
  void BeginLeave();
  /// True once all work has finished after BeginLeave.
  bool Drained() const;
  nlohmann::json Dump() const;
  bool Healthy() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace papayarack::gate

#endif  // PAPAYARACK_GATE_GATESERVER_H_
