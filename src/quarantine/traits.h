#ifndef PAPAYARACK_QUARANTINE_TRAITS_H_
#define PAPAYARACK_QUARANTINE_TRAITS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "quarantine/fingerprint.h"

namespace papayarack::quarantine {

/// Depth of the whole request, which fewer other requests have in common than
/// any part of its prompt.
inline constexpr std::uint8_t kWholeRequestDepth = UINT8_MAX;

/// What requests may have in common that can crash a replica: their whole
/// content, or one part of their prompts.
struct Trait {
  Fingerprint id;
  /// Position of the part in its prompt, from zero, or kWholeRequestDepth. The
  /// deeper, the fewer requests share it.
  std::uint8_t depth = kWholeRequestDepth;
  bool operator==(const Trait&) const = default;
};

/// Parts of one prompt that are considered, from its beginning.
inline constexpr std::size_t kMaxPromptParts = 15;

/// The parts of a prompt that replicas of `service` read, except the last one,
/// which belongs to the request or its session only. A part is a trait within
/// its service, as replicas of another service run other software. Thread
/// safety: any thread.
std::vector<Trait> PartTraitsOf(std::string_view service,
                                std::span<const std::string> prompt_parts);

/// The traits of a request to `service`: itself and PartTraitsOf its prompt.
/// Thread safety: any thread.
std::vector<Trait> TraitsOf(const RequestContent& content,
                            std::string_view service,
                            std::span<const std::string> prompt_parts);

}  // namespace papayarack::quarantine

#endif  // PAPAYARACK_QUARANTINE_TRAITS_H_
