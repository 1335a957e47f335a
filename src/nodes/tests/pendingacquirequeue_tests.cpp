#include <catch2/catch.hpp>

#include "nodes/pendingacquirequeue.h"

namespace papayarack::nodes {

// Load: a request every 5 ms asks the new owner of an engine. Refused at once
// all of them are turned away; held, those of the last 60 ms get a slot when
// the report comes.
TEST_CASE("asks wait for the first report of an engine") {
  const auto at = [](int ms) { return Time(std::chrono::milliseconds(ms)); };
  PendingAcquireQueue held;
  std::size_t refused = 0;
  for (int ms = 0; ms < 100; ms += 5) {
    refused += held.TakeExpired(at(ms)).size();
    REQUIRE(held.Offer(static_cast<transport::StreamId>(ms) + 1, {}, at(ms)));
  }
  SECTION("as long as whoever asked does not take the owner for frozen") {
    CHECK(refused == 8);
    const auto released = held.TakeAll();
    REQUIRE(released.size() == 12);
    CHECK(released.front().asked == at(40));
    CHECK(released.back().asked == at(95));
    CHECK(held.Empty());
  }
  SECTION("unless their caller leaves") {
    CHECK(held.Remove(91));
    CHECK_FALSE(held.Remove(91));
    CHECK(held.TakeAll().size() == 11);
  }
  SECTION("in a bounded number") {
    while (held.Offer(1000, {}, at(100))) {
    }
    CHECK(held.TakeAll().size() == PendingAcquireQueue::kMaxPending);
  }
}

}  // namespace papayarack::nodes
