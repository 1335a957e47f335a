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

// Guards against a request that runs at a replica of a service that no route
// uses: the platform also lists replicas of services that the configuration
// does not name.
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

/// Two engines without a local process, two stores, and a leader heard just
/// now.
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

// Guards against batch items that never run, and late online requests, in a
// fleet whose engines run on VMs without a papayarack process: only a local
// process could own an engine's slots.
TEST_CASE("an engine without a local process has a host") {
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
      CHECK(std::ranges::any_of(owned, [&option](const EngineLocation& engine) {
        return engine.address == option.address && engine.service == "llm";
      }));
    }
  }
  SECTION("a gate owns its engine, unless it is leaving") {
    auto gate = Node("gate-1", coordination::NodeRole::kGate);
    gate.engine_address = "10.0.0.1:80";
    fleet.nodes.push_back(gate);
    CHECK(OwnedBy(fleet, "store-1", now) + OwnedBy(fleet, "store-2", now) == 1);
    CHECK(options(now)[0].gate == gate.address);
    fleet.nodes.back().away = true;
    CHECK(OwnedBy(fleet, "store-1", now) + OwnedBy(fleet, "store-2", now) == 2);
    CHECK(options(now)[0].gate != gate.address);
  }
  SECTION("a store that is leaving or being emptied owns none") {
    fleet.nodes[0].away = true;
    CHECK(OwnedBy(fleet, "store-2", now) == 2);
    fleet.leaving = {"store-2"};
    CHECK(OwnedBy(fleet, "store-2", now) == 0);
  }
  SECTION("entries own engines where there is no store") {
    fleet.nodes = {Node("entry-1", coordination::NodeRole::kEntry)};
    CHECK(OwnedBy(fleet, "entry-1", now) == 2);
  }
  SECTION("a draining engine keeps its host and moves no other") {
    const auto before = EnginesOwnedBy(fleet, "store-1:7720", now);
    fleet.engines[0].draining = true;
    CHECK(EnginesOwnedBy(fleet, "store-1:7720", now).size() == before.size());
  }
  // Guards against two processes that fill one engine: a host is cut off, the
  // others assign its engine to another host, and it continues with a list that
  // no leader confirms.
  SECTION("no host owns an engine while the list is too old or incomplete") {
    const Time late = now + kHostListValidity + std::chrono::milliseconds(1);
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
  // Guards against an entry that refuses all requests while engines are idle:
  // no process owns an engine, and there are more entries than slots, so that
  // this entry's share is zero.
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

// Guards against a batch item that runs at a replica of another service: that
// replica gets the address of a former one, and the list shows both for a
// while.
TEST_CASE("a gate's engine belongs to the gate's service") {
  const std::vector<coordination::EngineInstance> engines = {
      Engine("i-1", "other", "10.0.0.1:80"),
      Engine("i-2", "llm", "10.0.0.2:80"), Engine("i-3", "llm", "10.0.0.1:80")};
  REQUIRE(FindEngine(engines, "10.0.0.1:80", "llm") != nullptr);
  CHECK(FindEngine(engines, "10.0.0.1:80", "llm")->id == "i-3");
  CHECK(FindEngine(engines, "10.0.0.2:80", "other") == nullptr);
  CHECK(FindEngine(engines, "10.0.0.9:80", "llm") == nullptr);
  CHECK(FindEngine(engines, "10.0.0.1:80", "")->id == "i-1");
}

// Guards against a gate that refuses all requests although its engine runs: the
// engine crashed and restarted at the same address, and the list shows both for
// some seconds, the former first.
TEST_CASE("of two replicas at one address the running one is found") {
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
  SECTION("the one that is not draining") {
    const std::vector<coordination::EngineInstance> engines = {
        replica("i-1", true, 2000), replica("i-2", false, 1000)};
    CHECK(FindEngine(engines, "10.0.0.1:80", "llm")->id == "i-2");
  }
  SECTION("the one started last, in any order") {
    std::vector<coordination::EngineInstance> engines = {
        replica("i-1", false, 1000), replica("i-2", false, 2000)};
    CHECK(FindEngine(engines, "10.0.0.1:80", "llm")->id == "i-2");
    std::swap(engines[0], engines[1]);
    CHECK(FindEngine(engines, "10.0.0.1:80", "llm")->id == "i-2");
  }
}

}  // namespace papayarack::nodes
