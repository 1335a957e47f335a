#ifndef PAPAYARACK_QUARANTINE_TRIALTIMES_H_
#define PAPAYARACK_QUARANTINE_TRIALTIMES_H_

#include <chrono>
#include <span>

#include "global/timepoint.h"

namespace papayarack::quarantine {

/// A crash of a replica that ran a request with a certain quarantined trait.
struct CrashUnderTrait {
  Time when{};
  /// No replica that ran neither this nor another quarantined trait crashed at
  /// about the same time.
  bool is_isolated = false;
};

/// Wait before the first trial of a quarantined trait.
inline constexpr std::chrono::milliseconds kFirstTrialWait{1500};
/// Wait after a trial in whose crash other replicas share, at least.
inline constexpr std::chrono::milliseconds kSharedCrashWait{3000};
/// The wait grows by this factor with each trial that failed on its own.
inline constexpr int kTrialWaitFactor = 5;
inline constexpr std::chrono::minutes kMaxTrialWait{10};
/// Crashes closer together than this may have a common cause.
inline constexpr std::chrono::milliseconds kCommonCauseWindow{1000};

/// When a trait that is quarantined since `since` may be run again, by one
/// request at a time, to find out whether it still crashes replicas (the
/// half-open state of a circuit breaker). `crashes` are sorted by time.
///
/// Load pattern: replicas crash in waves for another reason, and what was sent
/// again each time is quarantined though it is sound; owed work must not wait
/// for the quarantine to end. A trait that does crash its replicas must cost
/// only a few of them. As it runs in one place only, a crash in which other
/// replicas share says little about it and does not lengthen the later waits.
/// Thread safety: any thread.
Time NextTrial(Time since, std::span<const CrashUnderTrait> crashes);

}  // namespace papayarack::quarantine

#endif  // PAPAYARACK_QUARANTINE_TRIALTIMES_H_
