#ifndef PAPAYARACK_GLOBAL_REPLICASOFTWARE_H_
#define PAPAYARACK_GLOBAL_REPLICASOFTWARE_H_

#include <msgpack.hpp>
#include <string>
#include <tuple>

namespace papayarack {

/// The software that a replica runs: its service and the version of the
/// program, not of the weights. What two of them write does not fit together,
/// so only the same software continues a text that has begun.
struct ReplicaSoftware {
  std::string service;
  std::string version;  ///< Empty: unknown.
  MSGPACK_DEFINE(service, version)
  bool operator==(const ReplicaSoftware&) const = default;
  bool operator<(const ReplicaSoftware& other) const {
    return std::tie(this->service, this->version) <
           std::tie(other.service, other.version);
  }

  bool Known() const {
    return !this->service.empty() && !this->version.empty();
  }
  /// Whether this software may continue a text that `began` wrote. Unknown
  /// software never matches, not even other unknown software. Thread safety:
  /// any thread.
  bool CanContinue(const ReplicaSoftware& began) const {
    return this->Known() && *this == began;
  }
};

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_REPLICASOFTWARE_H_
