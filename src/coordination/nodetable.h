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
/// change of leader every process reports again within kSettleTime. Thread
/// safety: none.
class NodeTable {
 public:
  /// Silence after which a process is dropped: two watch timeouts and a
  /// reconnection.
  static constexpr std::chrono::milliseconds kForgetAfter{4000};
  /// Silence after which a process is marked as away: other processes take over
  /// its engines before callers wait for long, while it remains a member of its
  /// group. Two watch timeouts.
  static constexpr std::chrono::milliseconds kAwayAfter{2200};
  /// Time from the start of a term until a process that has not reported counts
  /// as gone.
  static constexpr std::chrono::milliseconds kSettleTime{2500};

  /// Time from the start of a term until engines are assigned to the processes
  /// that have reported: those that knew no leader report at once, and a gate
  /// that reports later gets its engine back.
  static constexpr std::chrono::milliseconds kHostsKnownAfter{800};

  void Clear(Time now);
  /// Stores a report, replacing an earlier one. Returns true if the table
  /// changed.
  bool Take(const NodeReport& report, Time now);
  /// Marks silent processes as away and later drops them; returns true if one
  /// was dropped. The revision also changes when the table becomes settled, as
  /// missing processes count as gone from then on.
  bool DropSilent(Time now);
  /// Names dropped by the last call of DropSilent.
  const std::vector<std::string>& dropped() const { return this->last_dropped; }
  bool Settled(Time now) const { return now - this->since >= kSettleTime; }
  bool HostsKnown(Time now) const {
    return now - this->since >= kHostsKnownAfter;
  }

  std::uint64_t revision() const { return this->nodes.revision(); }
  /// Whether reports of the roles that `asker` needs have changed since
  /// `revision`.
  bool ChangedFor(NodeRole asker, std::uint64_t revision) const;
  /// Those changes; since revision zero the complete list, by name.
  ListChanges<NodeReport> ChangesFor(NodeRole asker,
                                     std::uint64_t revision) const;
  std::vector<NodeReport> WithRole(NodeRole role) const;
  std::size_t Count(NodeRole role) const;
  const NodeReport* Find(const std::string& name) const;
  std::optional<Time> LastHeard(const std::string& name) const;

 private:
  void MarkAway(Time now);
  /// Entries own engines, and so need each other's reports, only while no store
  /// has reported.
  void UpdateEntriesHost();

  ChangeList<NodeReport, &NodeReport::role> nodes;
  bool entries_host = true;  ///< No store has reported.
  std::map<std::string, Time> heard;
  Time since{};
  bool settled_announced = false;
  std::vector<std::string> last_dropped;
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_NODETABLE_H_
