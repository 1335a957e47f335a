#ifndef PAPAYARACK_NODES_SPEEDLEARNER_H_
#define PAPAYARACK_NODES_SPEEDLEARNER_H_

#include <string>

#include "global/metrics.h"
#include "global/timepoint.h"
#include "nodes/engineresponse.h"
#include "nodes/slotmessages.h"
#include "placement/enginechooser.h"

namespace papayarack::nodes {

/// Learns the speed of replicas from what gates state and from streams that
/// ended, for the choice of replicas. Logs and counts replicas that become slow
/// or are no longer. Thread safety: none.
class SpeedLearner {
 public:
  /// Precondition: both arguments outlive this.
  SpeedLearner(placement::EngineChooser& chooser, Metrics& metrics)
      : chooser(chooser), metrics(metrics) {}

  /// The gate of the replica of `service` at `address` replied at `now`.
  void GateReplied(const std::string& service, const std::string& address,
                   const SlotReply& reply, Time now);
  /// The response of the replica of `service` at `address` to a request sent at
  /// `sent` ended completely at `now`. Nothing is learned from what is no event
  /// stream or has few events.
  void ResponseEnded(const std::string& service, const std::string& address,
                     Time sent, const EngineResponse& response, Time now);

 private:
  void NoteSpeed(const std::string& service, const std::string& address,
                 Time now);

  placement::EngineChooser& chooser;
  Metrics& metrics;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_SPEEDLEARNER_H_
