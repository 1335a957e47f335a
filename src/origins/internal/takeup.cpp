#include "origins/takeup.h"

#include <algorithm>

namespace papayarack::origins {

TakeUpStep DecideTakeUp(const OriginEvidence& evidence, Time list_read_after,
                        std::span<const std::string> services,
                        const TakeUpTiming& timing, Time now) {
  const Time needed = timing.arrived + timing.list_lag;
  const bool by_list = !evidence.recorded.Recorded() && evidence.sole.Known();
  if (!by_list || list_read_after >= needed) {
    return DecideContinuation(evidence, services);
  }
  const Duration wait = std::clamp<Duration>(timing.list_lag + kListReadingTime,
                                             kMinListWait, kMaxListWait);
  const Time until = std::min<Time>(timing.arrived + wait, timing.deadline);
  if (now < until && needed < until) {
    return AwaitListReading{needed};
  }
  return Continuation(OriginUnknown{});
}

}  // namespace papayarack::origins
