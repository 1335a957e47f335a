#include "quotas/quotalimits.h"

#include <algorithm>

namespace papayarack::quotas {

QuotaFloat FloatOf(const QuotaLimit& limit, const QuotaTolerance& tolerance) {
  constexpr double kStandingShare = 0.6;
  constexpr double kRestartShare = 0.04;
  constexpr double kSettlingShare = 0.15;
  constexpr double kReserveShare = 0.3;
  constexpr double kFewest = 1;  // Where nothing may be exceeded.
  const double window = ToSeconds(tolerance.window);
  const double slack =
      tolerance.requests +
      tolerance.share * (limit.requests_per_second * window + limit.burst);
  const double standing =
      std::max(kFewest, limit.burst + kStandingShare * slack);
  return {standing, kReserveShare * standing,
          std::max(kFewest, kRestartShare * slack),
          std::max(kFewest, kSettlingShare * slack)};
}

}  // namespace papayarack::quotas
