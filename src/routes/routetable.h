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

/// The routes in force, for lookup by host and path. Immutable, so that a
/// request keeps the table with which it was accepted. Thread safety: any
/// thread.
class RouteTable {
 public:
  explicit RouteTable(FleetConfiguration configuration);

  /// Returns the route of `host` with the longest prefix that matches `path`;
  /// null if there is none. `host` may include a port.
  const Route* Find(std::string_view host, std::string_view path) const;
  /// Returns the route with that Route::Key; null if there is none.
  const Route* FindKey(std::string_view key) const;
  /// Returns the batch route with that Route::Key; null if there is none, or if
  /// the route is no longer one for batches.
  const Route* FindBatchRoute(std::string_view key) const;
  /// Returns the organisation that holds this key of a caller; null if none
  /// does.
  const Organisation* FindByApiKey(std::string_view key) const;
  const Organisation* FindOrganisation(std::string_view name) const;
  /// Whether a batch route of `host` allows anonymous callers.
  bool AllowsAnonymousBatches(std::string_view host) const;
  const FleetConfiguration& configuration() const { return this->config; }

 private:
  FleetConfiguration config;
  /// The routes of one host.
  struct HostRoutes {
    /// Index into config.routes by path prefix.
    std::map<std::string, std::size_t, std::less<>> by_prefix;
    /// Distinct lengths of the prefixes, longest first.
    std::set<std::size_t, std::greater<>> lengths;
  };
  std::unordered_map<std::string, HostRoutes> by_host;
  std::unordered_map<std::string, std::size_t> by_key;  ///< Route::Key.
  /// Indexes into config.organisations.
  std::unordered_map<std::string, std::size_t> by_api_key;
  std::unordered_map<std::string, std::size_t> by_organisation;
  std::set<std::string, std::less<>> anonymous_batch_hosts;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// Selects a target by weight; `draw` is uniform in [0, 1).
const std::string& PickService(const Route& route, double draw);

}  // namespace papayarack::routes

#endif  // PAPAYARACK_ROUTES_ROUTETABLE_H_
