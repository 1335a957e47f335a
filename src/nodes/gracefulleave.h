#ifndef PAPAYARACK_NODES_GRACEFULLEAVE_H_
#define PAPAYARACK_NODES_GRACEFULLEAVE_H_

#include <asio.hpp>
#include <functional>

#include "global/timepoint.h"
#include "nodes/entrynode.h"
#include "nodes/gatenode.h"
#include "nodes/noderuntime.h"
#include "nodes/storenode.h"

namespace papayarack::nodes {

/// What a node does when it leaves.
struct LeavingSteps {
  /// Given the time by which everything has to be answered.
  std::function<void(Time)> begin;
  /// Called once the balancer no longer sends new callers.
  std::function<void()> refuse_new;
  /// Answers what is still open, shortly before the process must end.
  std::function<void()> answer_open;
  /// Given the time since `begin`, whether the process may end.
  std::function<bool(Duration)> may_end;
};

/// Precondition: the node outlives the steps. Thread safety: the loop's thread.
LeavingSteps StepsOf(EntryNode& entry);
LeavingSteps StepsOf(GateNode& gate);
LeavingSteps StepsOf(StoreNode& store);

/// Ends the loop of one node: once its work is done, or shortly before the end
/// of the grace time. Thread safety: none, the loop's thread.
class GracefulLeave {
 public:
  /// Precondition: `runtime` outlives it.
  GracefulLeave(NodeRuntime& runtime, LeavingSteps steps);

  void Begin();

 private:
  void Await();
  bool Done(Duration waited) const;

  NodeRuntime& runtime;
  LeavingSteps steps;
  asio::steady_timer timer;
  Time began{};
  bool answered_open = false;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_GRACEFULLEAVE_H_
