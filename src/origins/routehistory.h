#ifndef PAPAYARACK_ORIGINS_ROUTEHISTORY_H_
#define PAPAYARACK_ORIGINS_ROUTEHISTORY_H_

#include <map>
#include <string>
#include <vector>

#include "global/timepoint.h"

namespace papayarack::origins {

/// The services to which each route has led lately. A stream of a route may
/// have begun at a service that the route has left since, of which the list of
/// replicas tells nothing. Thread safety: none.
class RouteHistory {
 public:
  /// Services by Route::Key, in any order.
  using Services = std::map<std::string, std::vector<std::string>>;

  /// The routes in force lead to `services`.
  void SetRoutes(const Services& services, Time now);
  /// Whether the route has been known for the last `window` and led to the same
  /// services all the time.
  bool SameSince(const std::string& route, Duration window, Time now) const;

 private:
  struct Entry {
    std::vector<std::string> services;
    Time since{};
  };
  std::map<std::string, Entry> routes;
};

}  // namespace papayarack::origins

#endif  // PAPAYARACK_ORIGINS_ROUTEHISTORY_H_
