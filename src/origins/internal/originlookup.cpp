#include "origins/originlookup.h"

namespace papayarack::origins {

void OriginLookup::Answered(const std::string& home, const FoundOrigin& reply) {
  const bool asked = this->waiting.erase(home) > 0;
  if (asked && !this->found.Recorded()) {
    this->found = reply;
  }
}

std::optional<FoundOrigin> OriginLookup::Result(Time now) const {
  if (this->found.Recorded() || this->waiting.empty() || now >= this->until) {
    return this->found;
  }
  return std::nullopt;
}

}  // namespace papayarack::origins
