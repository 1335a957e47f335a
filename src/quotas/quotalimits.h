#ifndef PAPAYARACK_QUOTAS_QUOTALIMITS_H_
#define PAPAYARACK_QUOTAS_QUOTALIMITS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "global/timepoint.h"

namespace papayarack::quotas {

/// What an organisation may send.
struct QuotaLimit {
  double requests_per_second = 0;
  double burst = 0;  ///< Requests above the rate.
  bool operator==(const QuotaLimit&) const = default;
};

/// By how much a limit may be exceeded within any window: in a window of W
/// seconds (rate x W + burst) x (1 + share) + requests may run.
struct QuotaTolerance {
  std::chrono::milliseconds window{5000};
  double share = 0.1;
  double requests = 20;
};

/// Limits by name of organisation; those without a limit are left out.
using QuotaLimits = std::map<std::string, QuotaLimit>;

/// Requests that an organisation's bucket still held when they were committed,
/// by name of organisation. No leader hands them out before a lower number is
/// committed.
using CreditReserves = std::map<std::string, std::uint32_t>;

/// Requests that may be admitted without waiting for the rate, by all processes
/// together. Whatever is admitted in a window is the rate times the window and
/// these, so they are the burst and a part of the tolerance.
struct QuotaFloat {
  double standing = 0;
  /// Part of `standing` that entries get only for requests that wait: what they
  /// hold in advance may lie at the wrong ones, and fills again only once they
  /// report its use.
  double reserve = 0;
  /// What a new leader hands out at once where no reserve is committed, as it
  /// does not know what others handed out. Left out of `standing`, so that as
  /// many changes of leader as fit into one window do.
  double restart = 0;
  /// What entries may hold from a new leader, beside what they held before.
  double settling = 0;
};

/// Thread safety: any thread.
QuotaFloat FloatOf(const QuotaLimit& limit, const QuotaTolerance& tolerance);

/// An entry's credit ends this long after it sent the last report that a leader
/// answered, so that a leader knows when credit that it did not hand out has
/// ended. An entry reports once a second; an election takes 0.6 to 1.2 s.
inline constexpr std::chrono::milliseconds kCreditValidity{3000};
/// A leader hands out credit only while its latest contact with a quorum is
/// younger than this, which is half of an election timeout. After a handover or
/// a restart of a quorum another member may lead sooner: see QuotaAuthority.
inline constexpr std::chrono::milliseconds kMaxContactAge{300};

}  // namespace papayarack::quotas

#endif  // PAPAYARACK_QUOTAS_QUOTALIMITS_H_
