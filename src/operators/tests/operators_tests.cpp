#include <catch2/catch.hpp>

#include "operators/internal/explaincommand.h"

namespace papayarack::operators {

// Guards against an incomplete trace of a refused request that passed through
// an entry and a gate, whose log lines are interleaved by time.
TEST_CASE("a request is traced through several logs in order of time") {
  const std::vector<std::string> lines = {
      R"(  3.1 gate-1 {"time_ms":1004,"role":"gate-1","event":"slot_answered","request":"r1","verdict":"busy","online":8})",
      R"({"time_ms":1001,"role":"entry-1","event":"configuration_in_force","config_version":7})",
      R"({"time_ms":1006,"role":"entry-1","event":"request_refused","request":"r1","reason":"full"})",
      R"({"time_ms":1000,"role":"entry-1","event":"request_done","request":"r0"})",
      R"({"time_ms":1005,"role":"gate-2","event":"engine_changed","engine":"x"})",
      R"({"time_ms":1005,"role":"entry-1","event":"coordination_leader_found","term":2})",
      "not json"};
  const auto shown = ExplainRequest("r1", lines);
  REQUIRE(shown.size() == 3);
  SECTION("lines that contain the id, with all fields") {
    CHECK(shown[0].find("slot_answered") != std::string::npos);
    CHECK(shown[0].find("online=8") != std::string::npos);
    CHECK(shown[2].find("reason=\"full\"") != std::string::npos);
  }
  SECTION("state changes of its processes in between, marked") {
    CHECK(shown[1].find("~  entry-1") != std::string::npos);
  }
  SECTION("nothing for an unknown id") {
    CHECK(ExplainRequest("r9", lines).empty());
  }
}

}  // namespace papayarack::operators
