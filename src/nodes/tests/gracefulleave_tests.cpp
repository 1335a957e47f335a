#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "nodes/gracefulleave.h"

namespace papayarack::nodes {
namespace {

using std::chrono::milliseconds;

}  // namespace

// Guards against a process whose loop stands still shortly before it must end
// and that then ends without answering what is open.
TEST_CASE("a process answers what is open before it ends, also late") {
  NodeOptions options;
  options.name = "gate-1";
  options.role = coordination::NodeRole::kGate;
  options.peer_listen = {"127.0.0.1", 0};
  options.grace = milliseconds(1000);
  const Dialect dialect;
  NodeRuntime runtime(options, dialect);
  int answered = 0;
  LeavingSteps steps{[](Time) {}, [] {}, [&answered] { ++answered; },
                     [](Duration) { return false; }};
  GracefulLeave leave(runtime, std::move(steps));
  SECTION("where its loop is on time") {}
  SECTION("where its loop stands still from before the answers are due") {
    asio::post(runtime.context,
               [] { std::this_thread::sleep_for(milliseconds(900)); });
  }
  leave.Begin();
  runtime.context.run_for(std::chrono::seconds(5));
  CHECK(runtime.context.stopped());
  CHECK(answered == 1);
}

}  // namespace papayarack::nodes
