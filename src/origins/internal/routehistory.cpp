#include "origins/routehistory.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace papayarack::origins {

void RouteHistory::SetRoutes(const Services& services, Time now) {
  std::map<std::string, Entry> updated;
  for (const auto& [route, unordered] : services) {
    std::vector<std::string> targets = unordered;
    std::ranges::sort(targets);
    const auto known = this->routes.find(route);
    const bool same =
        known != this->routes.end() && known->second.services == targets;
    updated[route] = {std::move(targets), same ? known->second.since : now};
  }
  this->routes = std::move(updated);
}

bool RouteHistory::SameSince(const std::string& route, Duration window,
                             Time now) const {
  const auto known = this->routes.find(route);
  return known != this->routes.end() && now - known->second.since >= window;
}

}  // namespace papayarack::origins
