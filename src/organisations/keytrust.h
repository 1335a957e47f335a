#ifndef PAPAYARACK_ORGANISATIONS_KEYTRUST_H_
#define PAPAYARACK_ORGANISATIONS_KEYTRUST_H_

#include <chrono>

#include "global/timepoint.h"

namespace papayarack::organisations {

/// Whether the keys in a route table may be relied on.
enum class KeyTrust {
  kCurrent,    ///< Confirmed by a leader lately.
  kKnownOnly,  ///< Outdated; keys that it holds are still accepted.
  kNone,       ///< Outdated; no key is accepted.
};

/// How soon a removed key must be refused, after the removal is acknowledged.
struct RevocationBound {
  std::chrono::milliseconds time{0};  ///< Zero: not bounded.
  /// It binds processes that are cut off, too: without a confirmation they
  /// refuse all keys.
  bool binds_cut_off = false;
};

/// Part of the bound that is left for the rates of two clocks.
inline constexpr std::chrono::milliseconds kRevocationMargin{100};

/// Whether the keys of a table may be relied on for a request that was read
/// before `now`, if the table holds everything that was acknowledged up to
/// `confirmed`. It is a lease: a key that was removed later was removed less
/// than the bound ago. Load pattern: keys are removed while a leader or an
/// entry is cut off or stands still. Thread safety: any thread.
KeyTrust TrustInKeys(const RevocationBound& bound, Time confirmed, Time now);

}  // namespace papayarack::organisations

#endif  // PAPAYARACK_ORGANISATIONS_KEYTRUST_H_
