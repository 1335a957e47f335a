#include <algorithm>
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
  const auto options =
      OptionsByService(fleet, configuration, "entry", MonotonicNow());
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

namespace {

coordination::NodeReport Node(const std::string& name,
                              coordination::NodeRole role) {
  coordination::NodeReport node;
  node.name = name;
  node.role = static_cast<std::uint8_t>(role);
  node.address = name + ":7720";
  node.zone = "z";
  return node;
}

/// Two engines, no process beside either, two stores, a leader just heard.
coordination::FleetKnowledge FleetWithoutGates(Time now) {
  coordination::FleetKnowledge fleet;
  fleet.engines = {Engine("i-1", "llm", "10.0.0.1:80"),
                   Engine("i-2", "llm", "10.0.0.2:80")};
  fleet.nodes = {Node("store-1", coordination::NodeRole::kStore),
                 Node("store-2", coordination::NodeRole::kStore)};
  fleet.hosts_known = true;
  fleet.entries = 2;
  fleet.heard = now;
  return fleet;
}

std::size_t OwnedBy(const coordination::FleetKnowledge& fleet,
                    const std::string& name, Time now) {
  return EnginesOwnedBy(fleet, name + ":7720", now).size();
}

}  // namespace

// Symptom: accepted batch items are never run, and callers are late, on a fleet
// whose engines run where papayarack has no process. Cause: only a process
// beside an engine owned its slots.
TEST_CASE("an engine without a process beside it has a host") {
  const Time now = Time(std::chrono::seconds(100));
  auto fleet = FleetWithoutGates(now);
  routes::FleetConfiguration configuration;
  configuration.services.resize(1);
  configuration.services[0].name = "llm";
  const auto options = [&](Time at) {
    return OptionsByService(fleet, configuration, "entry-1", at).at("llm");
  };

  SECTION("stores own the engines, and entries know which") {
    CHECK(OwnedBy(fleet, "store-1", now) + OwnedBy(fleet, "store-2", now) == 2);
    for (const placement::EngineOption& option : options(now)) {
      const auto owned = EnginesOwnedBy(fleet, option.gate, now);
      CHECK(std::ranges::any_of(owned, [&option](const EngineAt& engine) {
        return engine.address == option.address && engine.service == "llm";
      }));
    }
  }
  SECTION("a gate owns its engine, unless it is away") {
    auto gate = Node("gate-1", coordination::NodeRole::kGate);
    gate.engine_address = "10.0.0.1:80";
    fleet.nodes.push_back(gate);
    CHECK(OwnedBy(fleet, "store-1", now) + OwnedBy(fleet, "store-2", now) == 1);
    CHECK(options(now)[0].gate == gate.address);
    fleet.nodes.back().away = true;
    CHECK(OwnedBy(fleet, "store-1", now) + OwnedBy(fleet, "store-2", now) == 2);
    CHECK(options(now)[0].gate != gate.address);
  }
  SECTION("a store that is away or is being emptied owns none") {
    fleet.nodes[0].away = true;
    CHECK(OwnedBy(fleet, "store-2", now) == 2);
    fleet.leaving = {"store-2"};
    CHECK(OwnedBy(fleet, "store-2", now) == 0);
  }
  SECTION("entries own engines where no store is there") {
    fleet.nodes = {Node("entry-1", coordination::NodeRole::kEntry)};
    CHECK(OwnedBy(fleet, "entry-1", now) == 2);
  }
  SECTION("an engine that drains keeps its host and moves no other") {
    const auto before = EnginesOwnedBy(fleet, "store-1:7720", now);
    fleet.engines[0].draining = true;
    CHECK(EnginesOwnedBy(fleet, "store-1:7720", now).size() == before.size());
  }
  // Symptom: two processes fill one engine. Sequence: a host is cut off from
  // the others, which hear of its silence and name another. Cause: it goes on
  // by a list that nobody confirms any more.
  SECTION("no host owns an engine by a list that is too old, or not whole") {
    const Time late = now + kHostsHold + std::chrono::milliseconds(1);
    CHECK(OwnedBy(fleet, "store-1", late) == 0);
    CHECK(OwnedBy(fleet, "store-2", late) == 0);
    SECTION("then entries share its slots") {
      for (const placement::EngineOption& option : options(late)) {
        CHECK(option.gate.empty());
        CHECK(option.unowned_share == 4);
      }
    }
    fleet.hosts_known = false;
    CHECK(OwnedBy(fleet, "store-1", now) == 0);
  }
  // Symptom: an entry refuses everybody beside idle engines. Sequence: no
  // process owns an engine, and there are many more entries than slots. Cause:
  // none of the slots is this entry's.
  SECTION("each entry may use some engine") {
    fleet.nodes.clear();
    fleet.entries = 100000;
    std::size_t all = 0;
    for (const placement::EngineOption& option : options(now)) {
      all += option.unowned_share;
    }
    CHECK(all == 1);
  }
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
