#ifndef PAPAYARACK_COORDINATION_NODETABLE_H_
#define PAPAYARACK_COORDINATION_NODETABLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/changelist.h"
#include "coordination/coordinationmessages.h"
#include "global/timepoint.h"

namespace papayarack::coordination {

/// The processes that report to this leader. Kept in memory only: after a
/// change of leader every process reports anew within kSettleTime. Thread
/// safety: none.
class NodeTable {
 public:
  /// Longest silence before a process is dropped: two holds of a watch and a
  /// reconnection.
  static constexpr std::chrono::milliseconds kForgetAfter{4000};
  /// Silence after which a process is marked as away: others own its engines
  /// before callers have waited for long, while a member of a group keeps its
  /// place. Two holds of a watch.
  static constexpr std::chrono::milliseconds kAwayAfter{2200};
  /// From the start of a term until a missing process counts as gone.
  static constexpr std::chrono::milliseconds kSettleTime{2500};

  /// From the start of a term until engines are given hosts by who has reported
  /// so far: processes that knew no leader report at once, and a gate that
  /// comes later gets its engine back.
  static constexpr std::chrono::milliseconds kHostsTime{800};

  void Clear(Time now);
  /// Takes a report; the latest to arrive counts. True when it changed the
  /// table.
  bool Take(const NodeReport& report, Time now);
  /// Marks silent processes as away, later drops them; true when one was
  /// dropped. The revision also moves
  /// once the table is settled, as from then on a missing process is gone.
  bool DropSilent(Time now);
  /// Names dropped by the last call of DropSilent.
  const std::vector<std::string>& dropped() const { return this->last_dropped; }
  bool Settled(Time now) const { return now - this->since >= kSettleTime; }
  bool NamesHosts(Time now) const { return now - this->since >= kHostsTime; }

  std::uint64_t revision() const { return this->nodes.revision(); }
  /// Whether reports of the roles that `asker` works with changed since then.
  bool ChangedFor(NodeRole asker, std::uint64_t revision) const;
  /// Those changes; since revision zero: all of them, by name.
  ListChanges<NodeReport> ChangesFor(NodeRole asker,
                                     std::uint64_t revision) const;
  std::vector<NodeReport> WithRole(NodeRole role) const;
  std::size_t Count(NodeRole role) const;
  const NodeReport* Find(const std::string& name) const;
  std::optional<Time> LastHeard(const std::string& name) const;

 private:
  void MarkAway(Time now);
  /// Entries own engines only where no store is there, and so need to know of
  /// each other only then.
  void TellWhoHosts();

  ChangeList<NodeReport, &NodeReport::role> nodes;
  bool entries_host = true;  ///< No store has reported.
  std::map<std::string, Time> heard;
  Time since{};
  bool settled_told = false;
  std::vector<std::string> last_dropped;
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_NODETABLE_H_
