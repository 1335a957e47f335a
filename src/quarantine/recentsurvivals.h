#ifndef PAPAYARACK_QUARANTINE_RECENTSURVIVALS_H_
#define PAPAYARACK_QUARANTINE_RECENTSURVIVALS_H_

#include <cstddef>
#include <vector>

#include "quarantine/fingerprint.h"

namespace papayarack::quarantine {

/// Requests that a replica has recently completed, which shows that they do not
/// crash every replica that runs them. A direct-mapped cache of constant size
/// (16 KB); eviction only means that a request is no longer known to be
/// harmless. Thread safety: none.
class RecentSurvivals {
 public:
  void Add(const Fingerprint& request) { this->EntryOf(request) = request; }
  bool Has(const Fingerprint& request) const {
    return this->entries[request.low % kEntries] == request;
  }

 private:
  static constexpr std::size_t kEntries = 1024;
  Fingerprint& EntryOf(const Fingerprint& request) {
    return this->entries[request.low % kEntries];
  }

  std::vector<Fingerprint> entries = std::vector<Fingerprint>(kEntries);
};

}  // namespace papayarack::quarantine

#endif  // PAPAYARACK_QUARANTINE_RECENTSURVIVALS_H_
