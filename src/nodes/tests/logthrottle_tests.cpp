#include <catch2/catch.hpp>

#include "nodes/logthrottle.h"

namespace papayarack::nodes {
namespace {

Time At(int seconds) {
  return Time(std::chrono::seconds(100) + std::chrono::seconds(seconds));
}

}  // namespace

// Guards against a log filled by one line: an entry of a list that is read
// twice a second cannot be parsed, and each read writes the line.
TEST_CASE("a lasting condition is logged once") {
  LogThrottle throttle;
  CHECK(throttle.Due("1 Slots", At(0)));
  for (int i = 1; i < 1000; ++i) {
    CHECK_FALSE(throttle.Due("1 Slots", At(i)));
  }
  SECTION("another condition is logged after the minimum interval") {
    CHECK(throttle.Due("2 Slots", At(1000)));
    CHECK_FALSE(throttle.Due("1 Slots", At(1001)));
    CHECK(throttle.Due("1 Slots", At(1031)));
  }
  SECTION("it is logged again after a time without errors") {
    CHECK_FALSE(throttle.Due("", At(1000)));
    CHECK(throttle.Due("1 Slots", At(1001)));
    CHECK_FALSE(throttle.Due("", At(1002)));
    CHECK_FALSE(throttle.Due("1 Slots", At(1003)));
  }
}

}  // namespace papayarack::nodes
