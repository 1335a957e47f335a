#include <sys/resource.h>

#include <catch2/catch.hpp>

#include "nodes/callerroom.h"

namespace papayarack::nodes {

// Guards against a process whose callers take every descriptor: it reaches no
// replica, no peer and none of its files.
TEST_CASE("callers leave descriptors to the process") {
  SECTION("the smallest supported entry has room for the usual number") {
    const CallerRoom room = RoomFor({110'000'000, 3900});
    CHECK(room.front_connections > 2800);
    CHECK(room.other_connections == 128);
    CHECK(room.request_bytes == 27'500'000);
  }
  SECTION("a process without known limits has the defaults") {
    const CallerRoom room = RoomFor({});
    CHECK(room.front_connections == http::HttpServerLimits{}.max_connections);
    CHECK(room.request_bytes == http::RequestMemory::kDefaultMaxBytes);
  }
  SECTION("however few there are") {
    for (const std::size_t descriptors : {200, 300, 500, 1000, 5000, 100000}) {
      const CallerRoom room = RoomFor({0, descriptors});
      CAPTURE(descriptors);
      CHECK(room.front_connections > 0);
      CHECK(room.other_connections > 0);
      CHECK(room.front_connections + 3 * room.other_connections + 128 <=
            descriptors);
    }
  }
  SECTION("the system's limit holds where it is lower") {
    rlimit process{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &process) == 0);
    const auto allowed = static_cast<std::size_t>(process.rlim_cur);
    CHECK(WithProcessLimits({0, 0}).descriptors == allowed);
    CHECK(WithProcessLimits({0, allowed + 1}).descriptors == allowed);
    CHECK(WithProcessLimits({7, 100}).descriptors == 100);
    CHECK(WithProcessLimits({7, 100}).memory_bytes == 7);
  }
}

}  // namespace papayarack::nodes
