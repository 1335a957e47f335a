#include "nodes/fleetengines.h"

#include <algorithm>

namespace papayarack::nodes {

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
  for (const coordination::EngineInstance& engine : fleet.engines) {
    const auto options = by_service.find(engine.service);
    if (engine.draining || options == by_service.end()) {
      continue;
    }
    const auto gate = gates.find(engine.address);
    options->second.push_back(
        {engine.address, engine.id,
         gate != gates.end() ? gate->second : std::string(), engine.zone,
         engine.slots, engine.started_ms});
  }
  return by_service;
}

const coordination::EngineInstance* FindEngine(
    std::span<const coordination::EngineInstance> engines,
    std::string_view address, std::string_view service) {
  const coordination::EngineInstance* best = nullptr;
  const auto better = [&best](const coordination::EngineInstance& engine) {
    return best == nullptr || (best->draining && !engine.draining) ||
           (best->draining == engine.draining &&
            engine.started_ms > best->started_ms);
  };
  for (const coordination::EngineInstance& engine : engines) {
    const bool candidate = engine.address == address &&
                           (service.empty() || engine.service == service);
    if (candidate && better(engine)) {
      best = &engine;
    }
  }
  return best;
}

}  // namespace papayarack::nodes
