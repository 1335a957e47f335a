#include "quarantine/fingerprint.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <array>
#include <memory>

namespace papayarack::quarantine {

std::string Fingerprint::ToString() const {
  return fmt::format("{:016x}{:016x}", this->high, this->low);
}

Fingerprint FingerprintOf(const RequestContent& content) {
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
      XXH3_createState(), XXH3_freeState);
  XXH3_128bits_reset(state.get());
  const std::array<std::string_view, 4> parts = {content.method, content.host,
                                                 content.target, content.body};
  for (const std::string_view part : parts) {
    // The length prefix keeps different parts from joining to the same bytes.
    const std::uint64_t size = part.size();
    XXH3_128bits_update(state.get(), &size, sizeof(size));
    XXH3_128bits_update(state.get(), part.data(), part.size());
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  return {hash.high64, hash.low64};
}

}  // namespace papayarack::quarantine
