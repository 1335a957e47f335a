#include <asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "nodes/loopdelaymonitor.h"

namespace papayarack::nodes {

// Guards against a leader whose blocked event loop looks like an idle one in
// the log.
TEST_CASE("a blocked loop is distinguished from an idle one") {
  asio::io_context context;
  Metrics metrics;
  LoopDelayMonitor watch(context, metrics);
  const auto delays = [&metrics] {
    return metrics.Exposition().find("loop_delays_total") != std::string::npos;
  };
  SECTION("a slow handler counts as a delay") {
    asio::post(context, [] {
      std::this_thread::sleep_for(2 * LoopDelayMonitor::kInterval +
                                  LoopDelayMonitor::kLongDelay);
    });
    context.run_for(4 * LoopDelayMonitor::kInterval +
                    LoopDelayMonitor::kLongDelay);
    CHECK(delays());
  }
  SECTION("a timer that runs a little late does not") {
    watch.Check(LoopDelayMonitor::kLongDelay / 2, LoopDelayMonitor::kInterval);
    CHECK_FALSE(delays());
  }
}

}  // namespace papayarack::nodes
