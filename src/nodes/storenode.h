#ifndef PAPAYARACK_NODES_STORENODE_H_
#define PAPAYARACK_NODES_STORENODE_H_

#include <set>

#include "batches/batchstore.h"
#include "nodes/enginehost.h"
#include "nodes/noderuntime.h"

namespace papayarack::nodes {

/// A process with a disk for batches: a member of the job group. Thread safety:
/// none, the loop's thread.
class StoreNode {
 public:
  explicit StoreNode(NodeRuntime& runtime);
  StoreNode(const StoreNode&) = delete;
  StoreNode& operator=(const StoreNode&) = delete;

  /// Transfers leadership and releases engines.
  void BeginLeave() {
    this->store.TransferLeadership();
    this->host.BeginLeave();
  }
  /// True when no slot is in use or requested.
  bool Drained() const { return this->host.Drained(); }

 private:
  /// Keeps items from running that have a quarantined trait.
  void ApplyQuarantine();

  NodeRuntime& runtime;
  batches::BatchStore store;
  EngineHost host;
  std::set<quarantine::Fingerprint> quarantined;  ///< As last applied.
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_STORENODE_H_
