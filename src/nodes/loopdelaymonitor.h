#ifndef PAPAYARACK_NODES_LOOPDELAYMONITOR_H_
#define PAPAYARACK_NODES_LOOPDELAYMONITOR_H_

#include <asio.hpp>
#include <chrono>

#include "global/metrics.h"
#include "global/timepoint.h"

namespace papayarack::nodes {

/// Tells a loop that stands still from one that has nothing to do: logs
/// `loop_delayed` and counts it when a timer is taken late. Thread safety:
/// none, the loop's thread.
class LoopDelayMonitor {
 public:
  /// The loop is looked at this often.
  static constexpr std::chrono::milliseconds kInterval{100};
  /// A delay from here on is logged: a third of the shortest election.
  static constexpr std::chrono::milliseconds kLongDelay{200};

  /// Precondition: both outlive the watch. Looks only while the loop runs.
  LoopDelayMonitor(asio::io_context& context, Metrics& metrics);

  /// Takes one look: the timer came `delay` late, and the loop's thread used
  /// `used` of the processor since it was set.
  void Check(Duration delay, std::chrono::nanoseconds used);

 private:
  void Wait();

  Metrics& metrics;
  asio::steady_timer timer;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_LOOPDELAYMONITOR_H_
