#include "origins/continuation.h"

#include <algorithm>

namespace papayarack::origins {

Continuation DecideContinuation(const OriginEvidence& evidence,
                                std::span<const std::string> services) {
  const ReplicaSoftware& software =
      evidence.recorded.Recorded() ? evidence.recorded.software : evidence.sole;
  if (!software.Known()) {
    return OriginUnknown{};
  }
  if (std::ranges::find(services, software.service) == services.end()) {
    return OriginNotOnRoute{software};
  }
  return ContinueWith{software};
}

}  // namespace papayarack::origins
