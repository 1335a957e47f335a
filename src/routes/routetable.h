#ifndef PAPAYARACK_ROUTES_ROUTETABLE_H_
#define PAPAYARACK_ROUTES_ROUTETABLE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "routes/fleetconfiguration.h"

namespace papayarack::routes {

/// The routes in force, for look-up by host and path. Immutable, so that a
/// request keeps the table under which it was taken. Thread safety: any thread.
class RouteTable {
 public:
  explicit RouteTable(FleetConfiguration configuration);

  /// The route of that host with the longest prefix that begins `path`; null
  /// when there is none. `host` may carry a port.
  const Route* Find(std::string_view host, std::string_view path) const;
  /// The route with that Route::Key; null when there is none.
  const Route* FindKey(std::string_view key) const;
  const FleetConfiguration& configuration() const { return this->config; }

 private:
  FleetConfiguration config;
  /// The routes of one host.
  struct HostRoutes {
    /// Positions in config.routes.
    std::map<std::string, std::size_t, std::less<>> by_prefix;
    /// Of all prefixes, the longest first, each once.
    std::set<std::size_t, std::greater<>> lengths;
  };
  std::unordered_map<std::string, HostRoutes> by_host;
  std::unordered_map<std::string, std::size_t> by_key;  ///< Route::Key.
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// Picks a target by weight; `draw` is uniform in [0, 1).
const std::string& PickService(const Route& route, double draw);

}  // namespace papayarack::routes

#endif  // PAPAYARACK_ROUTES_ROUTETABLE_H_
