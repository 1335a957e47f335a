#include "placement/enginehosts.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <numeric>

#include "global/hash.h"

namespace papayarack::placement {
namespace {

/// Room of a host beyond an equal share, as a divisor of that share.
constexpr std::size_t kExtraShare = 4;

using HostIndex = std::size_t;

/// The hosts of one choice with what each owns so far.
class Hosts {
 public:
  explicit Hosts(std::span<const HostOption> hosts)
      : all(hosts.size()), owned(hosts.size()) {
    std::iota(this->all.begin(), this->all.end(), HostIndex{0});
    for (HostIndex host = 0; host < hosts.size(); ++host) {
      this->keys.push_back(Hash64(hosts[host].address));
      this->by_zone[hosts[host].zone].push_back(host);
    }
  }

  std::span<const HostIndex> All() const { return this->all; }
  std::span<const HostIndex> Of(const std::string& zone) const {
    const auto found = this->by_zone.find(zone);
    return found != this->by_zone.end() ? std::span(found->second)
                                        : std::span<const HostIndex>();
  }

  /// Gives the engine to the first in its order that owns less than `most`.
  std::optional<HostIndex> Give(const std::string& engine,
                                std::span<const HostIndex> among,
                                std::size_t most) {
    std::optional<HostIndex> best;
    std::uint64_t best_weight = 0;
    for (const HostIndex host : among) {
      const std::uint64_t weight = Hash64(engine, this->keys[host]);
      const bool has_room = this->owned[host] < most;
      if (has_room && (!best.has_value() || weight > best_weight)) {
        best = host;
        best_weight = weight;
      }
    }
    if (best.has_value()) {
      ++this->owned[*best];
    }
    return best;
  }

 private:
  std::vector<HostIndex> all;
  std::vector<std::size_t> owned;
  std::vector<std::uint64_t> keys;
  std::map<std::string, std::vector<HostIndex>> by_zone;
};

/// Most engines of a host where `engines` are spread over `hosts`.
std::size_t BoundOf(std::size_t engines, std::size_t hosts,
                    std::size_t most_each) {
  if (hosts == 0) {
    return 0;
  }
  const std::size_t with_extra = engines * (kExtraShare + 1);
  const std::size_t shares = hosts * kExtraShare;
  return std::min(most_each, (with_extra + shares - 1) / shares);
}

/// The same order in every process: whoever comes first gets the room.
std::vector<std::size_t> OrderOf(std::span<const HostedEngine> engines) {
  std::vector<std::size_t> order;
  order.resize(engines.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::sort(order, [&engines](std::size_t one, std::size_t other) {
    return engines[one].address < engines[other].address;
  });
  return order;
}

}  // namespace

std::vector<std::optional<std::size_t>> ChooseHosts(
    std::span<const HostedEngine> engines, std::span<const HostOption> hosts,
    std::size_t most_each) {
  std::vector<std::optional<std::size_t>> chosen(engines.size());
  std::map<std::string, std::size_t> engines_of_zone;
  for (const HostedEngine& engine : engines) {
    ++engines_of_zone[engine.zone];
  }
  Hosts room(hosts);
  const std::vector<std::size_t> order = OrderOf(engines);
  for (const std::size_t index : order) {
    const HostedEngine& engine = engines[index];
    const auto near = room.Of(engine.zone);
    chosen[index] = room.Give(
        engine.address, near,
        BoundOf(engines_of_zone.at(engine.zone), near.size(), most_each));
  }
  const std::size_t bound = BoundOf(engines.size(), hosts.size(), most_each);
  for (const std::size_t index : order) {
    const std::string& address = engines[index].address;
    if (!chosen[index].has_value()) {
      chosen[index] = room.Give(address, room.All(), bound);
    }
    if (!chosen[index].has_value()) {
      chosen[index] = room.Give(address, room.All(), most_each);
    }
  }
  return chosen;
}

std::size_t ShareOfSlots(const std::string& entry, const std::string& engine,
                         std::size_t slots, std::size_t entries) {
  if (entries == 0) {
    return 1;  // Nobody has said how many share it.
  }
  const std::size_t whole = slots / entries;
  const double rest =
      static_cast<double>(slots % entries) / static_cast<double>(entries);
  const double place =
      static_cast<double>(Hash64(engine, Hash64(entry))) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return whole + (place < rest ? 1 : 0);
}

}  // namespace papayarack::placement
