#ifndef PAPAYARACK_NODES_LOOPDELAYMONITOR_H_
#define PAPAYARACK_NODES_LOOPDELAYMONITOR_H_

#include <asio.hpp>
#include <chrono>

#include "global/metrics.h"
#include "global/timepoint.h"

namespace papayarack::nodes {

/// Detects a blocked event loop, which in the log looks like an idle one: logs
/// `loop_delayed` and counts it when a timer runs late. Thread safety: none,
/// the loop's thread.
class LoopDelayMonitor {
 public:
  /// Interval of the checks.
  static constexpr std::chrono::milliseconds kInterval{100};
  /// Delays of at least this are logged: a third of the shortest election.
  static constexpr std::chrono::milliseconds kLongDelay{200};

  /// Precondition: both arguments outlive the monitor. Checks only while the
  /// loop runs.
  LoopDelayMonitor(asio::io_context& context, Metrics& metrics);

  /// Evaluates one check: the timer ran `delay` late, and the loop's thread
  /// used `used` of processor time since it was set.
  void Check(Duration delay, std::chrono::nanoseconds used);

 private:
  void Wait();

  Metrics& metrics;
  asio::steady_timer timer;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_LOOPDELAYMONITOR_H_
