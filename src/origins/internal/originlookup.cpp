#include "origins/originlookup.h"

namespace papayarack::origins {

void OriginLookup::Answered(const std::string& home, const FoundOrigin& reply) {
  if (this->waiting.erase(home) == 0) {
    return;
  }
  this->without_record += reply.Recorded() ? 0 : 1;
  if (!this->found.Recorded()) {
    this->found = reply;
  }
}

void OriginLookup::Failed(const std::string& home) {
  this->unreachable += this->waiting.erase(home);
}

std::optional<FoundOrigin> OriginLookup::Result() const {
  if (this->found.Recorded() || this->waiting.empty()) {
    return this->found;
  }
  return std::nullopt;
}

std::optional<FoundOrigin> OriginLookup::Result(Time now) const {
  return now >= this->until ? this->found : this->Result();
}

}  // namespace papayarack::origins
