#ifndef PAPAYARACK_PLACEMENT_ENGINECHOOSER_H_
#define PAPAYARACK_PLACEMENT_ENGINECHOOSER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "global/timepoint.h"
#include "placement/enginestart.h"

namespace papayarack::placement {

/// One replica that a request could go to.
struct EngineOption {
  std::string address;  ///< Names it; new for another machine.
  std::string id;       ///< Of the replica that runs there now.
  /// Address of the process that owns its slots: beside it or a host; empty
  /// where none does.
  std::string gate;
  std::string zone;
  std::uint32_t slots = 0;
  std::uint64_t started_ms = 0;  ///< As in EngineStart.
  /// Requests that may be sent at once while nobody owns its slots.
  std::size_t unowned_share = 0;
  /// Its owner runs on another VM, so the engine may serve while the owner does
  /// not answer.
  bool hosted = false;

  EngineStart Start() const {
    return {this->address, this->id, this->started_ms};
  }
};

/// What a gate last said of its engine.
struct ReportedLoad {
  std::uint32_t online = 0;
  std::uint32_t waiting = 0;
};

/// Chooses where an entry asks for a slot first. The gate decides, so a wrong
/// choice costs one more round trip and no caller's time in a queue.
///
/// Load pattern: a few entries each see a part of one wave. What a gate last
/// said ages, so it is blended with what this entry itself has there since; a
/// random part of a slot keeps entries with equal knowledge from all choosing
/// the same engine after a change. Thread safety: none.
class EngineChooser {
 public:
  explicit EngineChooser(std::uint64_t seed) : random(seed) {}

  /// Replaces the options; what is known of those that stay is kept, but what
  /// was known of a replica's former start is forgotten. Returns the replicas
  /// that started again.
  std::vector<EngineRestart> SetOptions(const std::string& service,
                                        std::vector<EngineOption> options);
  /// The gate of the replica at `address` says when that started; as in
  /// SetOptions.
  std::optional<EngineRestart> SawStart(const std::string& address,
                                        std::uint64_t started_ms);
  /// The best option whose present start is not in `tried`; nothing when none
  /// is left.
  std::optional<EngineOption> Choose(const std::string& service,
                                     const std::string& own_zone,
                                     std::span<const EngineStart> tried,
                                     Time now);
  /// Whether Choose would find one.
  bool HasUntried(const std::string& service,
                  std::span<const EngineStart> tried) const;
  /// A request starts or ends its use of an engine from this entry.
  void Started(const std::string& address);
  void Ended(const std::string& address);
  void Reported(const std::string& address, const ReportedLoad& load, Time now);
  /// An answer came in whole.
  void Succeeded(const std::string& address);
  /// The engine or its gate failed a request: set aside, doubled at each
  /// failure in a row up to kLongestAside.
  void Failed(const std::string& address, Time now);
  /// Its gate gives no slots at the moment: set aside for kFirstAside, which is
  /// not doubled, as an ask costs a round trip only.
  void Closed(const std::string& address, Time now);
  /// The process asked for a slot of the engine does not own it: there is no
  /// owner for kUnownedFor.
  void NotOwned(const std::string& address, Time now);
  /// A host did not answer: the same for each engine that it owns.
  void HostSilent(const std::string& host, Time now);
  /// Moment at which a set-aside engine is tried again; past when it is not.
  Time AsideUntil(const std::string& address) const;
  std::size_t OptionCount(const std::string& service) const;
  std::uint32_t OwnUse(const std::string& address) const;

  /// First time of being set aside: longer than a crash takes to show in the
  /// platform's list would set aside half a fleet after one burst of resets.
  static constexpr std::chrono::milliseconds kFirstAside{300};
  static constexpr std::chrono::milliseconds kLongestAside{4000};
  /// An engine whose host is not there is used without a slot for this long
  /// before the host is asked again: an ask in vain costs its caller up to
  /// SlotSearch::kAskSilence.
  static constexpr std::chrono::milliseconds kUnownedFor{600};

 private:
  struct Known {
    std::string id;                ///< Empty before it was an option.
    std::uint64_t started_ms = 0;  ///< As in EngineStart.
    std::uint32_t own = 0;         ///< Requests of this entry there now.
    std::uint32_t own_at_report = 0;
    ReportedLoad load;
    Time reported{};
    std::uint32_t failures = 0;  ///< In a row.
    Time aside_until{};
    Time unowned_until{};
  };
  std::optional<EngineRestart> TakeStart(const EngineStart& told);
  EngineStart StartOf(const EngineOption& option) const;
  double CostOf(const EngineOption& option, const std::string& own_zone,
                Time now);

  std::map<std::string, std::vector<EngineOption>> options;  ///< By service.
  std::map<std::string, Known> known;                        ///< By address.
  std::mt19937_64 random;
};

}  // namespace papayarack::placement

#endif  // PAPAYARACK_PLACEMENT_ENGINECHOOSER_H_
