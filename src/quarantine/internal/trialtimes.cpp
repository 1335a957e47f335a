#include "quarantine/trialtimes.h"

#include <algorithm>

namespace papayarack::quarantine {

Time NextTrial(Time since, std::span<const CrashUnderTrait> crashes) {
  Duration wait = kFirstTrialWait;
  Time next = since + wait;
  for (const CrashUnderTrait& crash : crashes) {
    if (crash.when <= since) {
      continue;
    }
    // Earlier crashes are of runs that began before the quarantine.
    const bool was_trial = crash.when >= next;
    if (was_trial && crash.is_isolated) {
      wait = std::min<Duration>(wait * kTrialWaitFactor, kMaxTrialWait);
    }
    const Duration pause =
        was_trial ? std::max<Duration>(wait, kSharedCrashWait) : wait;
    next = std::max(next, crash.when + pause);
  }
  return next;
}

}  // namespace papayarack::quarantine
