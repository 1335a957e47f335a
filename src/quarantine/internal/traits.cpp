#include "quarantine/traits.h"

#include <algorithm>

namespace papayarack::quarantine {

std::vector<Trait> PartTraitsOf(std::string_view service,
                                std::span<const std::string> prompt_parts) {
  const std::size_t shared = prompt_parts.empty() ? 0 : prompt_parts.size() - 1;
  const std::size_t considered = std::min(shared, kMaxPromptParts);
  std::vector<Trait> traits;
  traits.reserve(considered);
  for (std::size_t i = 0; i < considered; ++i) {
    traits.push_back({PartFingerprint(service, prompt_parts[i]),
                      static_cast<std::uint8_t>(i)});
  }
  return traits;
}

std::vector<Trait> TraitsOf(const RequestContent& content,
                            std::string_view service,
                            std::span<const std::string> prompt_parts) {
  std::vector<Trait> traits = PartTraitsOf(service, prompt_parts);
  traits.insert(traits.begin(), {FingerprintOf(content), kWholeRequestDepth});
  return traits;
}

}  // namespace papayarack::quarantine
