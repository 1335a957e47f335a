#include <catch2/catch.hpp>

#include "nodes/logthrottle.h"

namespace papayarack::nodes {
namespace {

Time At(int seconds) {
  return Time(std::chrono::seconds(100) + std::chrono::seconds(seconds));
}

}  // namespace

// Symptom: a log that holds nothing but one line. Sequence: one entry of a
// list cannot be read, and the list is read twice a second all day. Cause: the
// line is written at each reading.
TEST_CASE("a condition that lasts is logged once") {
  LogThrottle throttle;
  CHECK(throttle.Due("1 Slots", At(0)));
  for (int i = 1; i < 1000; ++i) {
    CHECK_FALSE(throttle.Due("1 Slots", At(i)));
  }
  SECTION("another is logged too, once the pause is over") {
    CHECK(throttle.Due("2 Slots", At(1000)));
    CHECK_FALSE(throttle.Due("1 Slots", At(1001)));
    CHECK(throttle.Due("1 Slots", At(1031)));
  }
  SECTION("it is logged again when all was well in between") {
    CHECK_FALSE(throttle.Due("", At(1000)));
    CHECK(throttle.Due("1 Slots", At(1001)));
    CHECK_FALSE(throttle.Due("", At(1002)));
    CHECK_FALSE(throttle.Due("1 Slots", At(1003)));
  }
}

}  // namespace papayarack::nodes
