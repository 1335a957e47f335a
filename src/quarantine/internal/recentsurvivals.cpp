#include "quarantine/recentsurvivals.h"

#include <algorithm>
#include <span>

namespace papayarack::quarantine {

/// Replaces the trait's own entry, or the one of its set that is the oldest.
void RecentSurvivals::Add(const Fingerprint& trait, Time when) {
  const std::span<Entry> set(this->entries.data() + FirstOf(trait), kWays);
  auto place = std::ranges::find(set, trait, &Entry::trait);
  if (place == set.end()) {
    place = std::ranges::min_element(set, {}, &Entry::when);
  }
  *place = {trait, when};
}

std::optional<Time> RecentSurvivals::Find(const Fingerprint& trait) const {
  const std::span<const Entry> set(this->entries.data() + FirstOf(trait),
                                   kWays);
  const auto found = std::ranges::find(set, trait, &Entry::trait);
  const bool known = found != set.end() && found->when != Time{};
  return known ? std::optional(found->when) : std::nullopt;
}

}  // namespace papayarack::quarantine
