#ifndef PAPAYARACK_ROUTES_CONFIGURATIONFINDINGS_H_
#define PAPAYARACK_ROUTES_CONFIGURATIONFINDINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "routes/fleetconfiguration.h"

namespace papayarack::routes {

/// What is doubtful in a configuration that is valid.
enum class FindingKind {
  kRouteNeverMatches,
  kServiceUnused,
  kServiceRepeated,
  kOrganisationWithoutKeys,
  kNoCallerAdmitted,
  kBurstBelowOneRequest,
  kBurstWithoutRate,
  kCapBelowOneBatch,
  kTimeoutBelowTarget,
  kAttemptsBeyondTimeout,
};

/// The name of a kind in output for programs. Thread safety: any thread.
std::string_view NameOf(FindingKind kind);

/// Place and reason hold names and numbers, never a key.
struct Finding {
  FindingKind kind = FindingKind::kRouteNeverMatches;
  std::string place;
  std::string reason;
};

/// What a configuration does not tell about the load it is for.
struct ExpectedLoad {
  std::uint64_t batch_tokens = 0;  ///< Of one batch; zero: not known.
};

/// Looks for entries that never take effect and for limits that contradict each
/// other. In order of routes, services, organisations. Precondition: Validate()
/// accepts the configuration. Thread safety: any thread.
std::vector<Finding> FindingsOf(const FleetConfiguration& configuration,
                                const ExpectedLoad& load);

}  // namespace papayarack::routes

#endif  // PAPAYARACK_ROUTES_CONFIGURATIONFINDINGS_H_
