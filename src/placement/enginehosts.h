#ifndef PAPAYARACK_PLACEMENT_ENGINEHOSTS_H_
#define PAPAYARACK_PLACEMENT_ENGINEHOSTS_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace papayarack::placement {

/// A process that can own the slots of engines on other VMs.
struct HostOption {
  std::string address;  ///< Unique key.
  std::string zone;
};

/// An engine without a gate process on its own VM.
struct HostedEngine {
  std::string address;  ///< Unique key.
  std::string zone;
};

/// Maximum number of engines that one host owns: its processor relays the
/// events of all batch items that run on them. Engines beyond the limit have no
/// owner.
inline constexpr std::size_t kMaxEnginesPerHost = 48;

/// Assigns an owner to each engine: returns, in the order of `engines`, an
/// index into `hosts`, or nothing if all hosts are full. Every process computes
/// the same result from the shared list, so ownership needs no messages.
///
/// Load pattern: when a VM is lost during traffic, only the engines that it
/// owned may change their owner. Rendezvous hashing does that, but alone can
/// give one host twice the engines of another. So a host owns at most its equal
/// share plus a quarter (Mirrokni, Thorup and Zadimoghaddam, Consistent Hashing
/// with Bounded Loads, 2018); an engine over that goes to its next host in hash
/// order. Hosts in the engine's zone are preferred, as each event of a batch
/// item passes between host and engine. Thread safety: any thread.
std::vector<std::optional<std::size_t>> ChooseHosts(
    std::span<const HostedEngine> engines, std::span<const HostOption> hosts,
    std::size_t max_per_host = kMaxEnginesPerHost);

/// Returns how many concurrent requests `entry` may send to an engine without
/// an owner. The engine has `slots` slots, which `entries` processes share
/// without coordination. With one request for each entry, many entries would
/// overload an engine and few would leave it idle. Zero if all slots fall to
/// other entries. Thread safety: any thread.
std::size_t SlotShare(const std::string& entry, const std::string& engine,
                      std::size_t slots, std::size_t entries);

}  // namespace papayarack::placement

#endif  // PAPAYARACK_PLACEMENT_ENGINEHOSTS_H_
