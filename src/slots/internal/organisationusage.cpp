#include "slots/organisationusage.h"

#include <algorithm>
#include <cmath>

namespace papayarack::slots {
namespace {

/// Ended runs that weigh less than this no longer count: three retention times
/// after a single run.
constexpr double kNegligible = 0.05;

}  // namespace

double OrganisationUsage::EndedWeight(const Use& use, Time now) const {
  if (this->retention == Duration(0)) {
    return 0;
  }
  const double age = static_cast<double>((now - use.updated).count()) /
                     static_cast<double>(this->retention.count());
  return use.ended * std::exp(-std::max(0.0, age));
}

void OrganisationUsage::Granted(const std::string& organisation, Time now) {
  Use& use = this->uses[organisation];
  use.ended = this->EndedWeight(use, now);
  use.updated = now;
  ++use.held;
}

void OrganisationUsage::Released(const std::string& organisation, Time now) {
  const auto found = this->uses.find(organisation);
  if (found == this->uses.end() || found->second.held == 0) {
    return;
  }
  Use& use = found->second;
  use.ended = this->EndedWeight(use, now) + 1;
  use.updated = now;
  --use.held;
  this->BoundIdle(now);
}

double OrganisationUsage::Of(std::string_view organisation, Time now) const {
  const auto found = this->uses.find(organisation);
  if (found == this->uses.end()) {
    return 0;
  }
  const Use& use = found->second;
  return static_cast<double>(use.held) + this->EndedWeight(use, now);
}

void OrganisationUsage::DropIdle(Time now) {
  std::erase_if(this->uses, [this, now](const auto& entry) {
    const Use& use = entry.second;
    return use.held == 0 && this->EndedWeight(use, now) < kNegligible;
  });
}

void OrganisationUsage::BoundIdle(Time now) {
  const auto idle = static_cast<std::size_t>(std::ranges::count_if(
      this->uses, [](const auto& entry) { return entry.second.held == 0; }));
  if (idle <= kMaxIdle) {
    return;
  }
  auto least = this->uses.end();
  for (auto use = this->uses.begin(); use != this->uses.end(); ++use) {
    const bool less =
        least == this->uses.end() || this->EndedWeight(use->second, now) <
                                         this->EndedWeight(least->second, now);
    if (use->second.held == 0 && less) {
      least = use;
    }
  }
  this->uses.erase(least);
}

}  // namespace papayarack::slots
