#include "origins/originhomes.h"

#include <algorithm>
#include <cstdint>

#include "global/hash.h"

namespace papayarack::origins {
namespace {

using Options = std::span<const HomeOption>;

/// The option with the highest hash weight among those that `admits` accepts,
/// or null.
template <typename Predicate>
const HomeOption* Best(std::uint64_t key, Options options,
                       const Predicate& admits) {
  const HomeOption* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const HomeOption& option : options) {
    const std::uint64_t weight = Hash64(option.address, key);
    if (admits(option) && (best == nullptr || weight > best_weight)) {
      best = &option;
      best_weight = weight;
    }
  }
  return best;
}

/// The homes among all options but the one at `excluded`.
std::vector<std::string> HomesWithout(std::uint64_t key, Options options,
                                      std::string_view excluded) {
  const HomeOption* first =
      Best(key, options, [excluded](const HomeOption& option) {
        return option.address != excluded;
      });
  if (first == nullptr) {
    return {};
  }
  const auto is_other = [first, excluded](const HomeOption& option) {
    return option.address != excluded && option.address != first->address;
  };
  const HomeOption* second = Best(key, options, [&](const HomeOption& option) {
    return is_other(option) && option.zone != first->zone;
  });
  if (second == nullptr) {
    second = Best(key, options, is_other);
  }
  std::vector<std::string> homes = {first->address};
  if (second != nullptr) {
    homes.push_back(second->address);
  }
  return homes;
}

}  // namespace

std::vector<std::string> HomesToRecord(std::string_view request,
                                       Options options) {
  return HomesWithout(Hash64(request), options, {});
}

std::vector<std::string> HomesToAsk(std::string_view request, Options options) {
  const std::uint64_t key = Hash64(request);
  const std::vector<std::string> now = HomesWithout(key, options, {});
  std::vector<std::string> ask = now;
  for (const std::string& joined : now) {
    for (std::string& home : HomesWithout(key, options, joined)) {
      if (std::ranges::find(ask, home) == ask.end()) {
        ask.push_back(std::move(home));
      }
    }
  }
  return ask;
}

}  // namespace papayarack::origins
