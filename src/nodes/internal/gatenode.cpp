#include "nodes/gatenode.h"

namespace papayarack::nodes {

GateNode::GateNode(NodeRuntime& runtime) : host(runtime) {
  runtime.Watch([this](const coordination::FleetChange& change) {
    if (change.Any()) {
      this->host.OnFleet();
    }
  });
}

}  // namespace papayarack::nodes
