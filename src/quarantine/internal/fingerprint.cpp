#include "quarantine/fingerprint.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <array>
#include <memory>
#include <span>

namespace papayarack::quarantine {
namespace {

Fingerprint HashOf(std::span<const std::string_view> fields) {
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
      XXH3_createState(), XXH3_freeState);
  XXH3_128bits_reset(state.get());
  for (const std::string_view field : fields) {
    // The length prefix keeps different fields from joining to the same bytes.
    const std::uint64_t size = field.size();
    XXH3_128bits_update(state.get(), &size, sizeof(size));
    XXH3_128bits_update(state.get(), field.data(), field.size());
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  return {hash.high64, hash.low64};
}

}  // namespace

std::string Fingerprint::ToString() const {
  return fmt::format("{:016x}{:016x}", this->high, this->low);
}

Fingerprint FingerprintOf(const RequestContent& content) {
  const std::array<std::string_view, 4> fields = {content.method, content.host,
                                                  content.target, content.body};
  return HashOf(fields);
}

Fingerprint PartFingerprint(std::string_view service, std::string_view part) {
  const std::array<std::string_view, 2> fields = {service, part};
  return HashOf(fields);
}

}  // namespace papayarack::quarantine
