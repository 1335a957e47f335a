#include "origins/originlookup.h"

namespace papayarack::origins {

void OriginLookup::Answered(const std::string& home,
                            const ReplicaSoftware& software) {
  const bool asked = this->waiting.erase(home) > 0;
  if (asked && !this->found.Known()) {
    this->found = software;
  }
}

std::optional<ReplicaSoftware> OriginLookup::Result(Time now) const {
  if (this->found.Known() || this->waiting.empty() || now >= this->until) {
    return this->found;
  }
  return std::nullopt;
}

}  // namespace papayarack::origins
