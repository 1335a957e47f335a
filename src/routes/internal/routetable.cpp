#include "routes/routetable.h"

namespace papayarack::routes {
namespace {

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

RouteTable::RouteTable(FleetConfiguration configuration)
    : config(std::move(configuration)) {
  for (std::size_t i = 0; i < this->config.routes.size(); ++i) {
    const Route& route = this->config.routes[i];
    HostRoutes& host_routes = this->by_host[route.host];
    host_routes.by_prefix.emplace(route.path_prefix, i);
    host_routes.lengths.insert(route.path_prefix.size());
    this->by_key.emplace(route.Key(), i);
    if (route.kind == RouteKind::kBatch && route.allows_anonymous) {
      this->anonymous_batch_hosts.insert(route.host);
    }
  }
  for (std::size_t i = 0; i < this->config.organisations.size(); ++i) {
    const Organisation& organisation = this->config.organisations[i];
    this->by_organisation.emplace(organisation.name, i);
    for (const std::string& key : organisation.keys) {
      this->by_api_key.emplace(key, i);
    }
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto found = this->by_host.find(std::string(WithoutPort(host)));
  if (found == this->by_host.end()) {
    return nullptr;
  }
  for (const std::size_t length : found->second.lengths) {
    if (length > path.size()) {
      continue;
    }
    const auto route = found->second.by_prefix.find(path.substr(0, length));
    if (route != found->second.by_prefix.end()) {
      return &this->config.routes[route->second];
    }
  }
  return nullptr;
}

const Route* RouteTable::FindKey(std::string_view key) const {
  const auto found = this->by_key.find(std::string(key));
  return found != this->by_key.end() ? &this->config.routes[found->second]
                                     : nullptr;
}

const Route* RouteTable::FindBatchRoute(std::string_view key) const {
  const Route* route = this->FindKey(key);
  return route != nullptr && route->kind == RouteKind::kBatch ? route : nullptr;
}

const Organisation* RouteTable::FindByApiKey(std::string_view key) const {
  const auto found = this->by_api_key.find(std::string(key));
  return found != this->by_api_key.end()
             ? &this->config.organisations[found->second]
             : nullptr;
}

const Organisation* RouteTable::FindOrganisation(std::string_view name) const {
  const auto found = this->by_organisation.find(std::string(name));
  return found != this->by_organisation.end()
             ? &this->config.organisations[found->second]
             : nullptr;
}

bool RouteTable::AllowsAnonymousBatches(std::string_view host) const {
  return this->anonymous_batch_hosts.contains(WithoutPort(host));
}

const std::string& PickService(const Route& route, double draw) {
  double sum = 0;
  for (const WeightedService& target : route.targets) {
    sum += target.weight;
  }
  double remaining = draw * sum;
  for (const WeightedService& target : route.targets) {
    remaining -= target.weight;
    if (remaining < 0) {
      return target.service;
    }
  }
  return route.targets.back().service;
}

}  // namespace papayarack::routes
