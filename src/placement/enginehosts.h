#ifndef PAPAYARACK_PLACEMENT_ENGINEHOSTS_H_
#define PAPAYARACK_PLACEMENT_ENGINEHOSTS_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace papayarack::placement {

/// A process that can own the slots of engines elsewhere.
struct HostOption {
  std::string address;  ///< Names it.
  std::string zone;
};

/// An engine that has no process of its own beside it.
struct HostedEngine {
  std::string address;  ///< Names it.
  std::string zone;
};

/// Most engines that one host owns: its processor has to pass on the events of
/// all batch items that run there. Engines over it have no owner.
inline constexpr std::size_t kMostHosted = 48;

/// Chooses the owner of each engine: an index into `hosts`, or nothing where
/// all are full, in the order of `engines`. Every process works it out from the
/// list that all share, so no message says who owns what.
///
/// Load pattern: a VM that is lost takes its engines with it while traffic goes
/// on, so only those may move. Rendezvous hashing does that; alone it gives one
/// host twice the engines of another, so a host takes no more than its share
/// and a quarter (Mirrokni, Thorup and Zadimoghaddam, Consistent Hashing with
/// Bounded Loads, 2018), and the engine goes to the next in its order. Hosts of
/// the engine's zone go before all others, as each event of a batch item passes
/// between them. Thread safety: any thread.
std::vector<std::optional<std::size_t>> ChooseHosts(
    std::span<const HostedEngine> engines, std::span<const HostOption> hosts,
    std::size_t most_each = kMostHosted);

/// Requests that `entry` may send at once to an engine with `slots` slots that
/// nobody owns, where `entries` such processes share it without talking.
/// Symptom guarded against: with one request each, many entries overfill an
/// engine and few leave it idle. Zero where the engine is for others. Thread
/// safety: any thread.
std::size_t ShareOfSlots(const std::string& entry, const std::string& engine,
                         std::size_t slots, std::size_t entries);

}  // namespace papayarack::placement

#endif  // PAPAYARACK_PLACEMENT_ENGINEHOSTS_H_
