#include "routes/configurationfindings.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "routes/routetable.h"

namespace papayarack::routes {
namespace {

using Findings = std::vector<Finding>;

std::string PlaceOf(const Route& route) { return "route " + route.name; }

std::string PlaceOf(const ServiceSpec& service) {
  return "service " + service.name;
}

std::string PlaceOf(const Organisation& organisation) {
  return "organisation " + organisation.name;
}

/// Looks the route's own host and prefix up as a request of them would be, so
/// that this cannot differ from what an entry does.
void CheckMatches(const RouteTable& table, const Route& route,
                  Findings& findings) {
  const Route* const found = table.Find(route.host, route.path_prefix);
  if (found == nullptr) {
    findings.push_back({FindingKind::kRouteNeverMatches, PlaceOf(route),
                        "no request has its host; hosts are compared without "
                        "a port"});
  } else if (found->Key() != route.Key()) {
    findings.push_back({FindingKind::kRouteNeverMatches, PlaceOf(route),
                        PlaceOf(*found) +
                            " takes all its requests; hosts are compared "
                            "without a port"});
  } else if (route.path_prefix.find_first_of("?#") != std::string::npos) {
    findings.push_back({FindingKind::kRouteNeverMatches, PlaceOf(route),
                        "a path holds neither ? nor #"});
  }
}

void CheckTimes(const Route& route, Findings& findings) {
  const std::int64_t timeout = route.timeout.count();
  const std::int64_t target = route.target_latency.count();
  if (timeout < target) {
    findings.push_back(
        {FindingKind::kTimeoutBelowTarget, PlaceOf(route),
         fmt::format("timeout {} ms, latency target {} ms", timeout, target)});
    return;
  }
  const bool repeats = route.MayRepeat() && route.max_attempts > 1;
  if (repeats && target > timeout / route.max_attempts) {
    findings.push_back(
        {FindingKind::kAttemptsBeyondTimeout, PlaceOf(route),
         fmt::format("{} attempts of {} ms each (latency target) exceed the "
                     "timeout of {} ms",
                     route.max_attempts, target, timeout)});
  }
}

void CheckCap(const Route& route, const ExpectedLoad& load,
              Findings& findings) {
  const std::uint64_t cap = route.batch.max_waiting_tokens;
  if (route.kind == RouteKind::kBatch && cap > 0 && cap < load.batch_tokens) {
    findings.push_back(
        {FindingKind::kCapBelowOneBatch, PlaceOf(route),
         fmt::format("cap of {} waiting tokens, one batch has {}", cap,
                     load.batch_tokens)});
  }
}

void CheckServices(const FleetConfiguration& configuration,
                   Findings& findings) {
  std::set<std::string_view> named;
  for (const Route& route : configuration.routes) {
    for (const WeightedService& target : route.targets) {
      named.insert(target.service);
    }
  }
  std::set<std::string_view> seen;
  for (const ServiceSpec& service : configuration.services) {
    if (!seen.insert(service.name).second) {
      findings.push_back({FindingKind::kServiceRepeated, PlaceOf(service),
                          "an earlier service of this name is in force"});
    } else if (!named.contains(service.name)) {
      findings.push_back(
          {FindingKind::kServiceUnused, PlaceOf(service), "no route names it"});
    }
  }
}

void CheckOrganisation(const Organisation& organisation, Findings& findings) {
  const double rate = organisation.requests_per_second;
  const double burst = organisation.burst;
  if (organisation.keys.empty()) {
    findings.push_back({FindingKind::kOrganisationWithoutKeys,
                        PlaceOf(organisation), "it has no keys"});
  }
  if (rate > 0 && burst < 1) {
    findings.push_back(
        {FindingKind::kBurstBelowOneRequest, PlaceOf(organisation),
         fmt::format("burst {} is below one request, with a rate of {} per "
                     "second",
                     burst, rate)});
  }
  if (rate <= 0 && burst > 0) {
    findings.push_back(
        {FindingKind::kBurstWithoutRate, PlaceOf(organisation),
         fmt::format("burst {} has no effect: a rate of zero means no limit",
                     burst)});
  }
}

void CheckCallers(const FleetConfiguration& configuration, Findings& findings) {
  const bool some_key = std::ranges::any_of(
      configuration.organisations,
      [](const Organisation& one) { return !one.keys.empty(); });
  const auto closed =
      std::ranges::count(configuration.routes, false, &Route::allows_anonymous);
  if (configuration.requires_keys && !some_key && closed > 0) {
    findings.push_back(
        {FindingKind::kNoCallerAdmitted, "organisations",
         fmt::format("there is no key, so {} routes that ask for one reject "
                     "every request",
                     closed)});
  }
}

}  // namespace

std::string_view NameOf(FindingKind kind) {
  switch (kind) {
    case FindingKind::kRouteNeverMatches:
      return "route_never_matches";
    case FindingKind::kServiceUnused:
      return "service_unused";
    case FindingKind::kServiceRepeated:
      return "service_repeated";
    case FindingKind::kOrganisationWithoutKeys:
      return "organisation_without_keys";
    case FindingKind::kNoCallerAdmitted:
      return "no_caller_admitted";
    case FindingKind::kBurstBelowOneRequest:
      return "burst_below_one_request";
    case FindingKind::kBurstWithoutRate:
      return "burst_without_rate";
    case FindingKind::kCapBelowOneBatch:
      return "cap_below_one_batch";
    case FindingKind::kTimeoutBelowTarget:
      return "timeout_below_target";
    case FindingKind::kAttemptsBeyondTimeout:
      return "attempts_beyond_timeout";
  }
  return {};
}

std::vector<Finding> FindingsOf(const FleetConfiguration& configuration,
                                const ExpectedLoad& load) {
  Findings findings;
  const RouteTable table(configuration);
  for (const Route& route : configuration.routes) {
    CheckMatches(table, route, findings);
    CheckTimes(route, findings);
    CheckCap(route, load, findings);
  }
  CheckServices(configuration, findings);
  for (const Organisation& organisation : configuration.organisations) {
    CheckOrganisation(organisation, findings);
  }
  CheckCallers(configuration, findings);
  return findings;
}

}  // namespace papayarack::routes
