#include <asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "nodes/loopdelaymonitor.h"

namespace papayarack::nodes {

// Guards against a leader whose loop stands still and whose log cannot tell
// that from having nothing to say.
TEST_CASE("a loop that stands still is told from one that is idle") {
  asio::io_context context;
  Metrics metrics;
  LoopDelayMonitor watch(context, metrics);
  const auto delays = [&metrics] {
    return metrics.Exposition().find("loop_delays_total") != std::string::npos;
  };
  SECTION("a handler that takes long is a delay") {
    asio::post(context, [] {
      std::this_thread::sleep_for(2 * LoopDelayMonitor::kInterval +
                                  LoopDelayMonitor::kLongDelay);
    });
    context.run_for(4 * LoopDelayMonitor::kInterval +
                    LoopDelayMonitor::kLongDelay);
    CHECK(delays());
  }
  SECTION("a timer that comes a little late is none") {
    watch.Check(LoopDelayMonitor::kLongDelay / 2, LoopDelayMonitor::kInterval);
    CHECK_FALSE(delays());
  }
}

}  // namespace papayarack::nodes
