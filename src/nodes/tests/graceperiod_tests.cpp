#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "nodes/graceperiod.h"

namespace papayarack::nodes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(1000)};
constexpr Time kEnd = kStart + seconds(5);

}  // namespace

// Guards against a request whose run is cut as its process ends, and against
// refusing those that end in time.
TEST_CASE("a request is taken if it ends before its process") {
  RunBound request;
  SECTION("its deadline comes before the end") {
    request.deadline = kEnd;
    CHECK(EndsBefore(kEnd, request, kStart));
  }
  SECTION("its deadline comes after the end") {
    request.deadline = kEnd + milliseconds(1);
    SECTION("and it may not be repeated") {
      request.longest_run = milliseconds(10);
      CHECK_FALSE(EndsBefore(kEnd, request, kStart));
    }
    SECTION("and it may be repeated") {
      request.may_repeat = true;
      SECTION("and nothing is known of its route") {
        CHECK(EndsBefore(kEnd, request, kStart));
      }
      SECTION("and the runs of its route are short enough") {
        request.longest_run = seconds(5);
        CHECK(EndsBefore(kEnd, request, kStart));
      }
      SECTION("and some runs of its route take longer") {
        request.longest_run = milliseconds(5001);
        CHECK_FALSE(EndsBefore(kEnd, request, kStart));
      }
      SECTION("and the process ends already") {
        CHECK_FALSE(EndsBefore(kEnd, request, kEnd + milliseconds(1)));
      }
    }
  }
}

// Guards against an estimate that one long run keeps high, and against one of
// the last second only.
TEST_CASE("the longest run of a route is that of the last half minute or so") {
  RunDurations durations;
  const std::string route = "r";
  CHECK_FALSE(durations.Longest(route, kStart).has_value());
  durations.Add(route, milliseconds(300), kStart);
  durations.Add(route, milliseconds(200), kStart + seconds(1));
  CHECK(durations.Longest(route, kStart + seconds(2)) == milliseconds(300));
  CHECK_FALSE(durations.Longest("another", kStart + seconds(2)).has_value());

  SECTION("it is known for one more window") {
    durations.Add(route, milliseconds(100), kStart + seconds(31));
    CHECK(durations.Longest(route, kStart + seconds(59)) == milliseconds(300));
  }
  SECTION("it is forgotten after two windows") {
    durations.Add(route, milliseconds(100), kStart + seconds(31));
    durations.Add(route, milliseconds(110), kStart + seconds(62));
    CHECK(durations.Longest(route, kStart + seconds(63)) == milliseconds(110));
  }
  SECTION("nothing is known after a long pause") {
    CHECK_FALSE(durations.Longest(route, kStart + seconds(90)).has_value());
  }
}

}  // namespace papayarack::nodes
