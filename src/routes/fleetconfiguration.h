#ifndef PAPAYARACK_ROUTES_FLEETCONFIGURATION_H_
#define PAPAYARACK_ROUTES_FLEETCONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "global/resultcode.h"

namespace papayarack::routes {

/// How the requests of a route may be handled.
enum class RouteKind {
  kIdempotent,     ///< Plain answers; may run more than once.
  kNonIdempotent,  ///< Plain answers; may run at most once.
  kStreaming,      ///< Events; may run more than once only if resumable.
  kBatch,          ///< Jobs of items that run asynchronously.
};

/// One target of a route and its share of the requests.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

/// Settings that only batch routes have.
struct BatchSettings {
  std::chrono::milliseconds result_deadline{0};  ///< From the first submission.
  std::chrono::milliseconds max_item_wait{
      0};  ///< After that the item may be given up.
  std::uint64_t max_waiting_tokens = 0;  ///< Zero: no limit.
};

/// A route: the requests it matches, their targets, and their limits and
/// latency targets.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kIdempotent;
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds target_latency{0};
  std::chrono::milliseconds target_gap{
      0};            ///< Between events; zero: no target.
  int priority = 0;  ///< Zero is the highest.
  std::vector<WeightedService> targets;
  std::uint32_t max_attempts = 1;
  bool resumable = false;
  /// Callers need no key, even where the configuration names organisations.
  bool allows_anonymous = false;
  BatchSettings batch;

  /// Identifies the route across configurations.
  std::string Key() const { return this->host + this->path_prefix; }
  /// Whether requests may go to replicas of `service`.
  bool LeadsTo(std::string_view service) const;
  /// Whether a request may be sent to a second replica after it may have run.
  bool MayRepeat() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStreaming && this->resumable);
  }
};

/// The configured properties of a service.
struct ServiceSpec {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;  ///< Per replica, over all callers.
  std::uint32_t slots = 0;            ///< Zero: not a model engine.
};

/// An organisation that sends requests, and what it may send.
struct Organisation {
  std::string name;               ///< Visible ASCII: it is sent as a header.
  std::vector<std::string> keys;  ///< Each identifies this organisation.
  int priority = 0;  ///< Compared before that of a route; zero is the highest.
  double requests_per_second = 0;  ///< Online requests; zero: no limit.
  double burst = 0;                ///< Requests above the rate.
};

/// Size and time limits for requests of callers.
struct CallerLimits {
  std::size_t max_header_bytes = 16U << 10U;
  std::size_t max_body_bytes = 4U << 20U;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// A complete configuration of the fleet, as submitted by an operator.
struct FleetConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceSpec> services;
  /// Callers need a key of an organisation, except on routes that allow
  /// anonymous ones.
  bool requires_keys = false;
  std::vector<Organisation> organisations;
  CallerLimits limits;

  const ServiceSpec* FindService(std::string_view name) const;
};

/// Checks the constraints between the parts: targets exist, no two routes share
/// host and prefix, weights do not add up to zero, timeouts are positive, names
/// and keys of organisations are unique, rates are not negative. Throws
/// ResultError(kBadInput) that names the route or organisation, never a key.
/// Thread safety: any thread.
void Validate(const FleetConfiguration& configuration);

}  // namespace papayarack::routes

#endif  // PAPAYARACK_ROUTES_FLEETCONFIGURATION_H_
