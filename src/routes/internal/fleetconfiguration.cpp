#include "routes/fleetconfiguration.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <set>
#include <string_view>

namespace papayarack::routes {
namespace {

[[noreturn]] void Reject(const Route& route, const std::string& reason) {
  throw ResultError(ResultCode::kBadInput,
                    "route " + route.name + ": " + reason);
}

void ValidateRoute(const FleetConfiguration& configuration,
                   const Route& route) {
  const bool valid_prefix =
      route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/');
  if (!valid_prefix) {
    Reject(route, "the path prefix must begin and end with a slash");
  }
  if (route.timeout <= std::chrono::milliseconds(0)) {
    Reject(route, "the timeout must be above zero");
  }
  const std::uint64_t weights = std::accumulate(
      route.targets.begin(), route.targets.end(), std::uint64_t{0},
      [](std::uint64_t sum, const WeightedService& target) {
        return sum + target.weight;
      });
  if (weights == 0) {
    Reject(route, "the weights of its services add up to zero");
  }
  for (const WeightedService& target : route.targets) {
    if (configuration.FindService(target.service) == nullptr) {
      Reject(route, "unknown service " + target.service);
    }
  }
}

[[noreturn]] void Reject(const Organisation& organisation,
                         const std::string& reason) {
  throw ResultError(ResultCode::kBadInput,
                    "organisation " + organisation.name + ": " + reason);
}

/// Line breaks in a name would allow header injection where it is sent on.
bool IsHeaderToken(std::string_view text) {
  constexpr char kFirstVisible = '!';
  constexpr char kLastVisible = '~';
  return !text.empty() && std::ranges::all_of(text, [](char byte) {
    return byte >= kFirstVisible && byte <= kLastVisible;
  });
}

void ValidateOrganisation(const Organisation& organisation) {
  if (!IsHeaderToken(organisation.name)) {
    throw ResultError(ResultCode::kBadInput,
                      "an organisation's name is not visible ASCII");
  }
  const auto is_limit = [](double value) {
    return std::isfinite(value) && value >= 0;
  };
  if (!is_limit(organisation.requests_per_second) ||
      !is_limit(organisation.burst)) {
    Reject(organisation, "a limit must be a number from zero");
  }
  if (std::ranges::find(organisation.keys, std::string()) !=
      organisation.keys.end()) {
    Reject(organisation, "a key is empty");
  }
}

void ValidateOrganisations(const std::vector<Organisation>& organisations) {
  std::set<std::string_view> names;
  std::map<std::string_view, std::string_view> holders;  // By key.
  for (const Organisation& organisation : organisations) {
    ValidateOrganisation(organisation);
    if (!names.insert(organisation.name).second) {
      Reject(organisation, "another organisation has the same name");
    }
    for (const std::string& key : organisation.keys) {
      const auto [holder, added] = holders.emplace(key, organisation.name);
      if (!added && holder->second != organisation.name) {
        Reject(organisation,
               "shares a key with " + std::string(holder->second));
      }
    }
  }
}

}  // namespace

bool Route::LeadsTo(std::string_view service) const {
  return std::ranges::any_of(
      this->targets, [service](const WeightedService& target) {
        return target.weight > 0 && target.service == service;
      });
}

const ServiceSpec* FleetConfiguration::FindService(
    std::string_view name) const {
  const auto found =
      std::ranges::find(this->services, name, &ServiceSpec::name);
  return found != this->services.end() ? &*found : nullptr;
}

void Validate(const FleetConfiguration& configuration) {
  std::set<std::string> keys;
  for (const Route& route : configuration.routes) {
    ValidateRoute(configuration, route);
    if (!keys.insert(route.Key()).second) {
      Reject(route, "another route has the same host and path prefix");
    }
  }
  ValidateOrganisations(configuration.organisations);
}

}  // namespace papayarack::routes
