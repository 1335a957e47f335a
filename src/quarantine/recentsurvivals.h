#ifndef PAPAYARACK_QUARANTINE_RECENTSURVIVALS_H_
#define PAPAYARACK_QUARANTINE_RECENTSURVIVALS_H_

#include <cstddef>
#include <vector>

#include "quarantine/fingerprint.h"

namespace papayarack::quarantine {

/// Requests that a replica has lately run to the end: they do not crash each
/// replica that runs them. A cache with one place for each hash value, so that
/// it costs 16 KB whatever comes; a request that lost its place is only not
/// known to be harmless. Thread safety: none.
class RecentSurvivals {
 public:
  void Add(const Fingerprint& request) { this->PlaceOf(request) = request; }
  bool Has(const Fingerprint& request) const {
    return this->places[request.low % kPlaces] == request;
  }

 private:
  static constexpr std::size_t kPlaces = 1024;
  Fingerprint& PlaceOf(const Fingerprint& request) {
    return this->places[request.low % kPlaces];
  }

  std::vector<Fingerprint> places = std::vector<Fingerprint>(kPlaces);
};

}  // namespace papayarack::quarantine

#endif  // PAPAYARACK_QUARANTINE_RECENTSURVIVALS_H_
