#include "origins/routehistory.h"

#include <algorithm>
#include <utility>

namespace papayarack::origins {

void RouteHistory::SetRoutes(Services services, Time now) {
  std::map<std::string, Entry> updated;
  for (auto& [route, targets] : services) {
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
