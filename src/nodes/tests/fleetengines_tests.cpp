#include <catch2/catch.hpp>

#include "nodes/fleetengines.h"

namespace papayarack::nodes {
namespace {

coordination::EngineInstance Engine(const std::string& id,
                                    const std::string& service,
                                    const std::string& address) {
  return {id, service, address, "z", 8, false};
}

}  // namespace

// Symptom: a request runs at a replica that no route leads to. Sequence: the
// platform lists a replica of a service that the configuration does not name.
// Cause: the replica is among the options of some service of a route.
TEST_CASE("only listed engines of the configuration's services are options") {
  routes::FleetConfiguration configuration;
  configuration.services.resize(2);
  configuration.services[0].name = "llm";
  configuration.services[1].name = "idle";
  coordination::FleetKnowledge fleet;
  fleet.engines = {Engine("i-1", "llm", "10.0.0.1:80"),
                   Engine("i-2", "other", "10.0.0.2:80"),
                   Engine("i-3", "llm", "10.0.0.3:80"),
                   Engine("i-4", "llm", "10.0.0.4:80")};
  fleet.engines[2].started_ms = 1700000000123;
  fleet.engines[3].draining = true;
  coordination::NodeReport gate;
  gate.role = static_cast<std::uint8_t>(coordination::NodeRole::kGate);
  gate.address = "10.0.0.3:7720";
  gate.engine_address = "10.0.0.3:80";
  fleet.nodes = {gate};
  const auto options = OptionsByService(fleet, configuration);
  CHECK(options.size() == 2);
  REQUIRE(options.count("llm") == 1);
  REQUIRE(options.count("idle") == 1);
  CHECK(options.at("idle").empty());
  REQUIRE(options.at("llm").size() == 2);
  CHECK(options.at("llm")[0].id == "i-1");
  CHECK(options.at("llm")[0].gate.empty());
  CHECK(options.at("llm")[1].id == "i-3");
  CHECK(options.at("llm")[1].started_ms == 1700000000123);
  CHECK(options.at("llm")[1].gate == "10.0.0.3:7720");
}

// Symptom: a batch item runs at a replica of a service that its route does not
// lead to. Sequence: a replica is gone, a replica of another service gets its
// address, and the list shows both for a while. Cause: the gate takes whatever
// is listed at the address for the engine beside it.
TEST_CASE("the engine beside a gate is one of the gate's service") {
  const std::vector<coordination::EngineInstance> engines = {
      Engine("i-1", "other", "10.0.0.1:80"),
      Engine("i-2", "llm", "10.0.0.2:80"), Engine("i-3", "llm", "10.0.0.1:80")};
  REQUIRE(FindEngine(engines, "10.0.0.1:80", "llm") != nullptr);
  CHECK(FindEngine(engines, "10.0.0.1:80", "llm")->id == "i-3");
  CHECK(FindEngine(engines, "10.0.0.2:80", "other") == nullptr);
  CHECK(FindEngine(engines, "10.0.0.9:80", "llm") == nullptr);
  CHECK(FindEngine(engines, "10.0.0.1:80", "")->id == "i-1");
}

// Symptom: a gate refuses everybody though its engine runs. Sequence: the
// engine crashes and another start takes its address; the list shows both for
// some seconds, the former first. Cause: the first at the address was taken.
TEST_CASE("of two replicas at one address the one that runs is found") {
  const auto replica = [](const std::string& id, bool draining,
                          std::uint64_t started_ms) {
    coordination::EngineInstance engine;
    engine.id = id;
    engine.service = "llm";
    engine.address = "10.0.0.1:80";
    engine.draining = draining;
    engine.started_ms = started_ms;
    return engine;
  };
  SECTION("not the one that drains") {
    const std::vector<coordination::EngineInstance> engines = {
        replica("i-1", true, 2000), replica("i-2", false, 1000)};
    CHECK(FindEngine(engines, "10.0.0.1:80", "llm")->id == "i-2");
  }
  SECTION("and the one that started last, in any order") {
    std::vector<coordination::EngineInstance> engines = {
        replica("i-1", false, 1000), replica("i-2", false, 2000)};
    CHECK(FindEngine(engines, "10.0.0.1:80", "llm")->id == "i-2");
    std::swap(engines[0], engines[1]);
    CHECK(FindEngine(engines, "10.0.0.1:80", "llm")->id == "i-2");
  }
}

}  // namespace papayarack::nodes
