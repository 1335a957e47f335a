#include <catch2/catch.hpp>

#include "nodes/partialevents.h"

namespace papayarack::nodes {

// Guards against a sound stream that is ended because others hold too much.
TEST_CASE("the stream with most bytes of an incomplete event ends") {
  PartialEvents events;
  events.Set(1, 10);
  events.Set(2, 60);
  events.Set(3, 30);
  CHECK_FALSE(events.LargestBeyond(100).has_value());
  CHECK(events.LargestBeyond(99) == 2);

  SECTION("what a stream holds now counts") {
    events.Set(2, 5);
    CHECK_FALSE(events.LargestBeyond(45).has_value());
    CHECK(events.LargestBeyond(44) == 3);
  }
  SECTION("a stream that has ended holds nothing") {
    events.Remove(2);
    events.Remove(2);
    CHECK_FALSE(events.LargestBeyond(40).has_value());
    events.Remove(1);
    events.Remove(3);
    CHECK_FALSE(events.LargestBeyond(0).has_value());
  }
}

}  // namespace papayarack::nodes
