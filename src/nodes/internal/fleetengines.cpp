#include "nodes/fleetengines.h"

#include <algorithm>
#include <utility>

#include "placement/enginehosts.h"

namespace papayarack::nodes {
namespace {

/// Whether `one` rather than `other` runs at the address that both are listed
/// with.
bool Outranks(const coordination::EngineInstance& one,
              const coordination::EngineInstance& other) {
  return one.draining != other.draining ? other.draining
                                        : one.started_ms > other.started_ms;
}

/// The processes that may own engines on other VMs: stores, or entries where
/// there are no stores.
std::vector<placement::HostOption> HostsOf(
    const coordination::FleetKnowledge& fleet) {
  std::vector<placement::HostOption> stores;
  std::vector<placement::HostOption> entries;
  for (const coordination::NodeReport& node : fleet.nodes) {
    const bool leaves =
        std::ranges::find(fleet.leaving, node.name) != fleet.leaving.end();
    if (node.away || leaves) {
      continue;
    }
    if (node.Role() == coordination::NodeRole::kStore) {
      stores.push_back({node.address, node.zone});
    } else if (node.Role() == coordination::NodeRole::kEntry) {
      entries.push_back({node.address, node.zone});
    }
  }
  return stores.empty() ? entries : stores;
}

/// Owners of slots: from engine address to process address.
using Owners = std::map<std::string, std::string>;

Owners GatesOf(const coordination::FleetKnowledge& fleet) {
  Owners gates;
  for (const coordination::NodeReport& node : fleet.nodes) {
    if (node.Role() == coordination::NodeRole::kGate && !node.away) {
      gates[node.engine_address] = node.address;
    }
  }
  return gates;
}

/// Assigns one engine per address to a host. Draining engines are included, so
/// that an engine that starts to drain moves no other.
Owners HostedOf(const coordination::FleetKnowledge& fleet,
                const Owners& gates) {
  std::map<std::string, std::string> zones;
  for (const coordination::EngineInstance& engine : fleet.engines) {
    if (gates.count(engine.address) == 0) {
      zones.emplace(engine.address, engine.zone);
    }
  }
  std::vector<placement::HostedEngine> engines;
  engines.reserve(zones.size());
  for (const auto& [address, zone] : zones) {
    engines.push_back({address, zone});
  }
  const std::vector<placement::HostOption> hosts = HostsOf(fleet);
  const auto chosen = placement::ChooseHosts(engines, hosts);
  Owners hosted;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    if (chosen[i].has_value()) {
      hosted[engines[i].address] = hosts[*chosen[i]].address;
    }
  }
  return hosted;
}

/// Gives this process one slot if all its shares are zero: otherwise it would
/// refuse all requests while engines without an owner are idle.
void EnsureOneSlot(std::vector<placement::EngineOption>& options) {
  const bool some = std::ranges::any_of(options, [](const auto& option) {
    const bool has_gate = !option.gate.empty() && !option.hosted;
    return has_gate || option.unowned_share > 0;
  });
  if (!some && !options.empty()) {
    std::ranges::max_element(options, {}, &placement::EngineOption::slots)
        ->unowned_share = 1;
  }
}

}  // namespace

bool HostListValid(const coordination::FleetKnowledge& fleet, Time now) {
  return fleet.hosts_known && now - fleet.heard <= kHostListValidity;
}

std::vector<EngineLocation> EnginesOwnedBy(
    const coordination::FleetKnowledge& fleet, std::string_view host,
    Time now) {
  std::vector<EngineLocation> owned;
  if (!HostListValid(fleet, now)) {
    return owned;
  }
  for (const auto& [address, owner] : HostedOf(fleet, GatesOf(fleet))) {
    if (owner == host) {
      owned.push_back(
          {address, FindEngine(fleet.engines, address, "")->service});
    }
  }
  return owned;
}

std::map<std::string, std::vector<placement::EngineOption>> OptionsByService(
    const coordination::FleetKnowledge& fleet,
    const routes::FleetConfiguration& configuration, const std::string& entry,
    Time now) {
  const Owners gates = GatesOf(fleet);
  const Owners hosts =
      HostListValid(fleet, now) ? HostedOf(fleet, gates) : Owners{};
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
    placement::EngineOption option{
        engine->address, engine->id,    {},
        engine->zone,    engine->slots, engine->started_ms};
    option.software = engine->Software();
    const auto gate = gates.find(engine->address);
    const auto host = hosts.find(engine->address);
    option.hosted = host != hosts.end();
    if (gate != gates.end()) {
      option.gate = gate->second;
    } else {
      option.gate = option.hosted ? host->second : std::string();
      option.unowned_share = placement::SlotShare(entry, engine->address,
                                                  engine->slots, fleet.entries);
    }
    options->second.push_back(std::move(option));
  }
  for (auto& [service, options] : by_service) {
    EnsureOneSlot(options);
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
