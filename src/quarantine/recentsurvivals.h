#ifndef PAPAYARACK_QUARANTINE_RECENTSURVIVALS_H_
#define PAPAYARACK_QUARANTINE_RECENTSURVIVALS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "global/timepoint.h"
#include "quarantine/fingerprint.h"

namespace papayarack::quarantine {

/// When replicas have lately run requests with a trait without a crash, which
/// shows that the trait does not crash every replica. A set-associative cache
/// of constant size (192 KB); eviction only means that a trait is no longer
/// known to be harmless. Thread safety: none.
class RecentSurvivals {
 public:
  void Add(const Fingerprint& trait, Time when);
  /// The latest survival, if known.
  std::optional<Time> Find(const Fingerprint& trait) const;

 private:
  struct Entry {
    Fingerprint trait;
    Time when{};
  };
  static constexpr std::size_t kSets = 2048;
  static constexpr std::size_t kWays = 4;

  static std::size_t FirstOf(const Fingerprint& trait) {
    return (trait.low % kSets) * kWays;
  }

  std::vector<Entry> entries = std::vector<Entry>(kSets * kWays);
};

}  // namespace papayarack::quarantine

#endif  // PAPAYARACK_QUARANTINE_RECENTSURVIVALS_H_
