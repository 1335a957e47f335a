#ifndef PAPAYARACK_QUARANTINE_FINGERPRINT_H_
#define PAPAYARACK_QUARANTINE_FINGERPRINT_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <tuple>

namespace papayarack::quarantine {

/// Identifies a request by its content, so that all attempts of a caller share
/// it regardless of their id, or one part of prompts. A 128-bit XXH3 hash.
struct Fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  MSGPACK_DEFINE(high, low)
  bool operator==(const Fingerprint&) const = default;
  bool operator<(const Fingerprint& other) const {
    return std::tie(this->high, this->low) < std::tie(other.high, other.low);
  }

  /// Hexadecimal form, as in the log.
  std::string ToString() const;
};

/// The parts of a request that its fingerprint covers.
struct RequestContent {
  std::string_view method;
  std::string_view host;  ///< Identifies the caller's organisation and service.
  std::string_view target;
  std::string_view body;
};

/// Thread safety: any thread.
Fingerprint FingerprintOf(const RequestContent& content);

/// Identifies the part `part` of prompts that a service's replicas read. Never
/// equal to that of a request. Thread safety: any thread.
Fingerprint PartFingerprint(std::string_view service, std::string_view part);

}  // namespace papayarack::quarantine

#endif  // PAPAYARACK_QUARANTINE_FINGERPRINT_H_
