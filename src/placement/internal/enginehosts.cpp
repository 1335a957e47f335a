#include "placement/enginehosts.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <numeric>

#include "global/hash.h"

namespace papayarack::placement {
namespace {

/// A host may own its equal share plus that share divided by this.
constexpr std::size_t kExtraShareDivisor = 4;

using HostIndex = std::size_t;

/// The hosts and the number of engines assigned to each so far.
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
  std::span<const HostIndex> InZone(const std::string& zone) const {
    const auto found = this->by_zone.find(zone);
    return found != this->by_zone.end() ? std::span(found->second)
                                        : std::span<const HostIndex>();
  }

  /// Assigns the engine to the host with the highest hash weight among those
  /// that own fewer than `limit` engines.
  std::optional<HostIndex> Assign(const std::string& engine,
                                  std::span<const HostIndex> among,
                                  std::size_t limit) {
    std::optional<HostIndex> best;
    std::uint64_t best_weight = 0;
    for (const HostIndex host : among) {
      const std::uint64_t weight = Hash64(engine, this->keys[host]);
      const bool below_limit = this->owned[host] < limit;
      if (below_limit && (!best.has_value() || weight > best_weight)) {
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

/// Maximum number of engines per host.
std::size_t MaxPerHost(std::size_t engines, std::size_t hosts,
                       std::size_t max_per_host) {
  if (hosts == 0) {
    return 0;
  }
  const std::size_t with_extra = engines * (kExtraShareDivisor + 1);
  const std::size_t shares = hosts * kExtraShareDivisor;
  return std::min(max_per_host, (with_extra + shares - 1) / shares);
}

/// Indexes of the engines sorted by address, so that every process assigns them
/// in the same order.
std::vector<std::size_t> AddressOrder(std::span<const HostedEngine> engines) {
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
    std::size_t max_per_host) {
  std::vector<std::optional<std::size_t>> chosen(engines.size());
  std::map<std::string, std::size_t> engines_of_zone;
  for (const HostedEngine& engine : engines) {
    ++engines_of_zone[engine.zone];
  }
  Hosts assignment(hosts);
  const std::vector<std::size_t> order = AddressOrder(engines);
  for (const std::size_t index : order) {
    const HostedEngine& engine = engines[index];
    const auto local_hosts = assignment.InZone(engine.zone);
    chosen[index] =
        assignment.Assign(engine.address, local_hosts,
                          MaxPerHost(engines_of_zone.at(engine.zone),
                                     local_hosts.size(), max_per_host));
  }
  const std::size_t bound =
      MaxPerHost(engines.size(), hosts.size(), max_per_host);
  for (const std::size_t index : order) {
    const std::string& address = engines[index].address;
    if (!chosen[index].has_value()) {
      chosen[index] = assignment.Assign(address, assignment.All(), bound);
    }
    if (!chosen[index].has_value()) {
      chosen[index] =
          assignment.Assign(address, assignment.All(), max_per_host);
    }
  }
  return chosen;
}

std::size_t SlotShare(const std::string& entry, const std::string& engine,
                      std::size_t slots, std::size_t entries) {
  if (entries == 0) {
    return 1;  // The number of processes is unknown.
  }
  const std::size_t guaranteed = slots / entries;
  const double remainder =
      static_cast<double>(slots % entries) / static_cast<double>(entries);
  const double hash_fraction =
      static_cast<double>(Hash64(engine, Hash64(entry))) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return guaranteed + (hash_fraction < remainder ? 1 : 0);
}

}  // namespace papayarack::placement
