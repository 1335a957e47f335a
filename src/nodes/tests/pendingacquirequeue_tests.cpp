#include <catch2/catch.hpp>

#include "nodes/pendingacquirequeue.h"

namespace papayarack::nodes {

// Load: every 5 ms a request for a slot reaches the new owner of an engine.
// Refusing at once would turn all of them away; if held, those of the last 60
// ms get a slot when the report comes.
TEST_CASE("slot requests wait for the first report of an engine") {
  const auto at = [](int ms) { return Time(std::chrono::milliseconds(ms)); };
  PendingAcquireQueue held;
  std::size_t refused = 0;
  for (int ms = 0; ms < 100; ms += 5) {
    refused += held.TakeExpired(at(ms)).size();
    REQUIRE(held.Offer(static_cast<transport::StreamId>(ms) + 1, {}, at(ms)));
  }
  SECTION("for at most kMaxWait") {
    CHECK(refused == 8);
    const auto released = held.TakeAll();
    REQUIRE(released.size() == 12);
    CHECK(released.front().asked == at(40));
    CHECK(released.back().asked == at(95));
    CHECK(held.Empty());
  }
  SECTION("unless the requester is gone") {
    CHECK(held.Remove(91));
    CHECK_FALSE(held.Remove(91));
    CHECK(held.TakeAll().size() == 11);
  }
  SECTION("in bounded number") {
    while (held.Offer(1000, {}, at(100))) {
    }
    CHECK(held.TakeAll().size() == PendingAcquireQueue::kMaxPending);
  }
}

}  // namespace papayarack::nodes
