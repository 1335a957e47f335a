#include "routes/fleetconfiguration.h"

#include <algorithm>
#include <numeric>
#include <set>

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

}  // namespace

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
}

}  // namespace papayarack::routes
