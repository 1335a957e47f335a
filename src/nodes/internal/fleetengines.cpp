#include "nodes/fleetengines.h"

#include <utility>

namespace papayarack::nodes {
namespace {

/// Which of two replicas that are listed at one address runs there.
bool Outranks(const coordination::EngineInstance& one,
              const coordination::EngineInstance& other) {
  return one.draining != other.draining ? other.draining
                                        : one.started_ms > other.started_ms;
}

}  // namespace

std::map<std::string, std::vector<placement::EngineOption>> OptionsByService(
    const coordination::FleetKnowledge& fleet,
    const routes::FleetConfiguration& configuration) {
  std::map<std::string, std::string> gates;
  for (const coordination::NodeReport& node : fleet.nodes) {
    if (node.Role() == coordination::NodeRole::kGate) {
      gates[node.engine_address] = node.address;
    }
  }
  std::map<std::string, std::vector<placement::EngineOption>> by_service;
  for (const routes::ServiceSpec& service : configuration.services) {
    by_service[service.name];
  }
  std::map<std::pair<std::string_view, std::string_view>,
           const coordination::EngineInstance*>
      present;
  for (const coordination::EngineInstance& engine : fleet.engines) {
    const auto [place, added] =
        present.try_emplace({engine.service, engine.address}, &engine);
    if (!added && Outranks(engine, *place->second)) {
      place->second = &engine;
    }
  }
  for (const auto& [place, engine] : present) {
    const auto options = by_service.find(engine->service);
    if (engine->draining || options == by_service.end()) {
      continue;
    }
    const auto gate = gates.find(engine->address);
    options->second.push_back(
        {engine->address, engine->id,
         gate != gates.end() ? gate->second : std::string(), engine->zone,
         engine->slots, engine->started_ms});
  }
  return by_service;
}

const coordination::EngineInstance* FindEngine(
    std::span<const coordination::EngineInstance> engines,
    std::string_view address, std::string_view service) {
  const coordination::EngineInstance* best = nullptr;
  for (const coordination::EngineInstance& engine : engines) {
    const bool candidate = engine.address == address &&
                           (service.empty() || engine.service == service);
    if (candidate && (best == nullptr || Outranks(engine, *best))) {
      best = &engine;
    }
  }
  return best;
}

}  // namespace papayarack::nodes
