#ifndef PAPAYARACK_NODES_GATENODE_H_
#define PAPAYARACK_NODES_GATENODE_H_

#include "nodes/enginehost.h"
#include "nodes/noderuntime.h"

namespace papayarack::nodes {

/// The process on the VM of one engine, whose slots it owns. Thread safety:
/// none, the loop's thread.
class GateNode {
 public:
  explicit GateNode(NodeRuntime& runtime);
  GateNode(const GateNode&) = delete;
  GateNode& operator=(const GateNode&) = delete;

  /// Grants no further slots and returns batch items.
  void BeginLeave() { this->host.BeginLeave(); }
  /// True when no slot is in use or requested.
  bool Drained() const { return this->host.Drained(); }

 private:
  EngineHost host;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_GATENODE_H_
