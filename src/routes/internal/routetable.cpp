#include "routes/routetable.h"

#include <algorithm>
#include <numeric>

namespace papayarack::routes {

RouteTable::RouteTable(FleetConfiguration configuration)
    : config(std::move(configuration)) {
  for (std::size_t i = 0; i < this->config.routes.size(); ++i) {
    this->by_host[this->config.routes[i].host].push_back(i);
    this->by_key.emplace(this->config.routes[i].Key(), i);
  }
  for (auto& [host, positions] : this->by_host) {
    std::ranges::sort(positions, [this](std::size_t one, std::size_t other) {
      return this->config.routes[one].path_prefix.size() >
             this->config.routes[other].path_prefix.size();
    });
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto found =
      this->by_host.find(std::string(host.substr(0, host.find(':'))));
  if (found == this->by_host.end()) {
    return nullptr;
  }
  for (const std::size_t position : found->second) {
    const Route& route = this->config.routes[position];
    if (path.starts_with(route.path_prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const Route* RouteTable::FindKey(std::string_view key) const {
  const auto found = this->by_key.find(std::string(key));
  return found != this->by_key.end() ? &this->config.routes[found->second]
                                     : nullptr;
}

const std::string& PickService(const Route& route, double draw) {
  double sum = 0;
  for (const WeightedService& target : route.targets) {
    sum += target.weight;
  }
  double left = draw * sum;
  for (const WeightedService& target : route.targets) {
    left -= target.weight;
    if (left < 0) {
      return target.service;
    }
  }
  return route.targets.back().service;
}

}  // namespace papayarack::routes
