#include "routes/configurationdifference.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace papayarack::routes {
namespace {

using Fields = std::vector<std::string>;
template <typename Part>
using ByPlace = std::map<std::string, const Part*>;

void AddIf(bool differs, const char* field, Fields& fields) {
  if (differs) {
    fields.emplace_back(field);
  }
}

/// Weight by service: the order of the targets makes no difference.
std::map<std::string_view, std::uint64_t> WeightsOf(const Route& route) {
  std::map<std::string_view, std::uint64_t> weights;
  for (const WeightedService& target : route.targets) {
    weights[target.service] += target.weight;
  }
  return weights;
}

Fields ChangedFields(const Route& from, const Route& to) {
  Fields fields;
  AddIf(from.host != to.host, "host", fields);
  AddIf(from.path_prefix != to.path_prefix, "path prefix", fields);
  AddIf(from.kind != to.kind, "kind", fields);
  AddIf(from.timeout != to.timeout, "timeout", fields);
  AddIf(from.target_latency != to.target_latency, "latency target", fields);
  AddIf(from.target_gap != to.target_gap, "gap target", fields);
  AddIf(from.priority != to.priority, "priority", fields);
  AddIf(WeightsOf(from) != WeightsOf(to), "services", fields);
  AddIf(from.max_attempts != to.max_attempts, "attempts", fields);
  AddIf(from.resumable != to.resumable, "resumable", fields);
  AddIf(from.allows_anonymous != to.allows_anonymous, "anonymous callers",
        fields);
  AddIf(from.batch.result_deadline != to.batch.result_deadline,
        "result deadline", fields);
  AddIf(from.batch.max_item_wait != to.batch.max_item_wait, "item wait",
        fields);
  AddIf(from.batch.max_waiting_tokens != to.batch.max_waiting_tokens, "cap",
        fields);
  return fields;
}

Fields ChangedFields(const ServiceSpec& from, const ServiceSpec& to) {
  Fields fields;
  AddIf(from.health_path != to.health_path, "health path", fields);
  AddIf(from.max_connections != to.max_connections, "connections", fields);
  AddIf(from.slots != to.slots, "slots", fields);
  return fields;
}

std::set<std::string_view> KeysOf(const Organisation& organisation) {
  return {organisation.keys.begin(), organisation.keys.end()};
}

Fields ChangedFields(const Organisation& from, const Organisation& to) {
  Fields fields;
  AddIf(KeysOf(from) != KeysOf(to), "keys", fields);
  AddIf(from.priority != to.priority, "priority", fields);
  AddIf(from.requests_per_second != to.requests_per_second, "rate", fields);
  AddIf(from.burst != to.burst, "burst", fields);
  return fields;
}

Fields ChangedFields(const CallerLimits& from, const CallerLimits& to) {
  Fields fields;
  AddIf(from.max_header_bytes != to.max_header_bytes, "header bytes", fields);
  AddIf(from.max_body_bytes != to.max_body_bytes, "body bytes", fields);
  AddIf(from.header_timeout != to.header_timeout, "header timeout", fields);
  AddIf(from.idle_timeout != to.idle_timeout, "idle timeout", fields);
  return fields;
}

void AddRepeatedNames(const std::vector<Route>& routes,
                      std::set<std::string_view>& repeated) {
  std::set<std::string_view> names;
  for (const Route& route : routes) {
    if (!names.insert(route.name).second) {
      repeated.insert(route.name);
    }
  }
}

ByPlace<Route> RoutesByPlace(const std::vector<Route>& routes,
                             const std::set<std::string_view>& repeated) {
  ByPlace<Route> by_place;
  for (const Route& route : routes) {
    std::string place = "route " + route.name;
    if (repeated.contains(route.name)) {
      place += " at " + route.Key();
    }
    by_place.emplace(std::move(place), &route);
  }
  return by_place;
}

/// Of several parts with one name, the first one is in force.
template <typename Part>
ByPlace<Part> PartsByPlace(const std::string& what,
                           const std::vector<Part>& parts) {
  ByPlace<Part> by_place;
  for (const Part& part : parts) {
    by_place.emplace(what + " " + part.name, &part);
  }
  return by_place;
}

template <typename Part>
void Compare(const ByPlace<Part>& from, const ByPlace<Part>& to,
             std::vector<Difference>& differences) {
  for (const auto& [place, part] : from) {
    const auto found = to.find(place);
    if (found == to.end()) {
      differences.push_back({ChangeKind::kRemoved, place, {}});
      continue;
    }
    Fields fields = ChangedFields(*part, *found->second);
    if (!fields.empty()) {
      differences.push_back({ChangeKind::kChanged, place, std::move(fields)});
    }
  }
  for (const auto& [place, part] : to) {
    if (!from.contains(place)) {
      differences.push_back({ChangeKind::kAdded, place, {}});
    }
  }
}

}  // namespace

std::string_view NameOf(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kRemoved:
      return "removed";
    case ChangeKind::kChanged:
      return "changed";
  }
  return {};
}

std::vector<Difference> DifferencesOf(const FleetConfiguration& from,
                                      const FleetConfiguration& to) {
  std::vector<Difference> differences;
  std::set<std::string_view> repeated;
  AddRepeatedNames(from.routes, repeated);
  AddRepeatedNames(to.routes, repeated);
  Compare(RoutesByPlace(from.routes, repeated),
          RoutesByPlace(to.routes, repeated), differences);
  Compare(PartsByPlace("service", from.services),
          PartsByPlace("service", to.services), differences);
  Compare(PartsByPlace("organisation", from.organisations),
          PartsByPlace("organisation", to.organisations), differences);
  Fields limits = ChangedFields(from.limits, to.limits);
  if (!limits.empty()) {
    differences.push_back(
        {ChangeKind::kChanged, "limits of callers", std::move(limits)});
  }
  if (from.requires_keys != to.requires_keys) {
    differences.push_back(
        {to.requires_keys ? ChangeKind::kAdded : ChangeKind::kRemoved,
         "list of organisations",
         {}});
  }
  return differences;
}

std::vector<RemovedKey> RemovedKeysOf(const FleetConfiguration& from,
                                      const FleetConfiguration& to) {
  if (!to.requires_keys) {
    return {};
  }
  std::map<std::string_view, std::string_view> holders;  // By key.
  for (const Organisation& organisation : to.organisations) {
    for (const std::string& key : organisation.keys) {
      holders.emplace(key, organisation.name);
    }
  }
  std::vector<RemovedKey> removed;
  for (const Organisation& organisation : from.organisations) {
    for (std::size_t i = 0; i < organisation.keys.size(); ++i) {
      const auto holder = holders.find(organisation.keys[i]);
      if (holder == holders.end()) {
        removed.push_back({organisation.name, i, {}});
      } else if (holder->second != organisation.name) {
        removed.push_back({organisation.name, i, std::string(holder->second)});
      }
    }
  }
  return removed;
}

}  // namespace papayarack::routes
