#ifndef PAPAYARACK_QUARANTINE_FINGERPRINT_H_
#define PAPAYARACK_QUARANTINE_FINGERPRINT_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <tuple>

namespace papayarack::quarantine {

/// Names a request by its content: the same from one attempt of a caller to the
/// next, whatever id the attempt has. 128 bits of XXH3.
struct Fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  MSGPACK_DEFINE(high, low)
  bool operator==(const Fingerprint&) const = default;
  bool operator<(const Fingerprint& other) const {
    return std::tie(this->high, this->low) < std::tie(other.high, other.low);
  }

  /// In hexadecimal, as logs show it.
  std::string ToString() const;
};

/// What makes two attempts the same request.
struct RequestContent {
  std::string_view method;
  std::string_view host;  ///< Names the caller's organisation and service.
  std::string_view target;
  std::string_view body;
};

/// Thread safety: any thread.
Fingerprint FingerprintOf(const RequestContent& content);

}  // namespace papayarack::quarantine

#endif  // PAPAYARACK_QUARANTINE_FINGERPRINT_H_
