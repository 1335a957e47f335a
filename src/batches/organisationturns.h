#ifndef PAPAYARACK_BATCHES_ORGANISATIONTURNS_H_
#define PAPAYARACK_BATCHES_ORGANISATIONTURNS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "global/timepoint.h"

namespace papayarack::batches {

/// Decides whose waiting item is leased next where not all can be in time:
/// organisations of the most urgent priority first, and among those the one
/// whose last turn is longest ago.
///
/// Load pattern: organisations with backlogs of very different size compete for
/// too few slots. By due time alone, the largest backlog takes them all. An
/// organisation that submits a few items is served before one that was served a
/// moment ago. Does no I/O. Thread safety: none.
class OrganisationTurns {
 public:
  /// Due time and order of arrival of an item, which identify it.
  using Key = std::pair<Time, std::uint64_t>;
  /// Turns are remembered of up to this number of organisations without a
  /// waiting item, those that were served last. Otherwise one that has a single
  /// item waiting at a time would go first each time.
  static constexpr std::size_t kMaxIdle = 1024;
  /// Next looks at this many organisations at most, so that its cost is bounded
  /// where many have no item that can be in time.
  static constexpr std::size_t kMaxLooks = 64;

  /// Adds a waiting item. The priority holds for all items of the organisation;
  /// lower is more urgent.
  void Add(const std::string& organisation, int priority, const Key& item);
  /// Removes a waiting item; ignored if it was not added.
  void Remove(const std::string& organisation, const Key& item);
  /// An item of the organisation was leased: the others of its priority go
  /// first now.
  void Served(const std::string& organisation, std::uint64_t turn);

  /// An item that could be leased next, and how it compares with those of other
  /// objects: lower goes first.
  struct Candidate {
    int priority = 0;
    std::uint64_t last_turn = 0;
    Key item;
    bool operator<(const Candidate& other) const {
      return std::tie(this->priority, this->last_turn, this->item) <
             std::tie(other.priority, other.last_turn, other.item);
    }
  };
  /// The first item due at `in_time_here` or later and before `until` of the
  /// organisation whose turn it is. Organisations whose items are all due
  /// before `late_everywhere` get no turn until they add another item.
  std::optional<Candidate> Next(Time in_time_here, Time until,
                                Time late_everywhere);
  /// Organisations that have waiting items and get turns.
  std::size_t Waiting() const { return this->turns.size(); }
  /// Organisations that are remembered.
  std::size_t Size() const { return this->organisations.size(); }

 private:
  struct Organisation {
    int priority = 0;
    std::uint64_t last_turn = 0;
    std::set<Key> waiting;
  };
  using Organisations = std::map<std::string, Organisation>;
  /// Priority, last turn, name.
  using Turn = std::tuple<int, std::uint64_t, std::string>;

  static Turn TurnOf(const Organisations::value_type& entry) {
    return {entry.second.priority, entry.second.last_turn, entry.first};
  }
  void ForgetIdle();

  Organisations organisations;
  std::set<Turn> turns;  ///< Of organisations with waiting items.
  /// Last turn and name of organisations without waiting items.
  std::set<std::pair<std::uint64_t, std::string>> idle;
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_ORGANISATIONTURNS_H_
