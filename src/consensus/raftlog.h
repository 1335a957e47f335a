#ifndef PAPAYARACK_CONSENSUS_RAFTLOG_H_
#define PAPAYARACK_CONSENSUS_RAFTLOG_H_

#include <deque>
#include <optional>
#include <vector>

#include "consensus/raftmessages.h"

namespace papayarack::consensus {

/// The entries since the last snapshot, in memory; the durable copy is the
/// owner's. Its size is bounded by the snapshots, not by the history. Thread
/// safety: none.
class RaftLog {
 public:
  explicit RaftLog(SnapshotMeta snapshot)
      : snapshot_meta(std::move(snapshot)) {}

  Index FirstIndex() const { return this->snapshot_meta.index + 1; }
  Index LastIndex() const {
    return this->snapshot_meta.index + this->entries.size();
  }
  Term LastTerm() const { return *this->TermAt(this->LastIndex()); }
  /// Empty when the index lies before the snapshot or beyond the end.
  std::optional<Term> TermAt(Index index) const;
  /// Precondition: FirstIndex() <= index <= LastIndex().
  std::size_t PayloadBytesAt(Index index) const {
    return this->entries[index - this->FirstIndex()].payload.size();
  }
  /// Precondition: entry.index == LastIndex() + 1.
  void Append(Entry entry);
  /// Removes everything from `from` on. Precondition: from >= FirstIndex().
  void TruncateFrom(Index from);
  /// Entries from `first` on, until `max_bytes` of payload; at least one when
  /// there is one.
  std::vector<Entry> Slice(Index first, Index last,
                           std::size_t max_bytes) const;
  /// Forgets entries up to the snapshot's index. Precondition: that index is in
  /// the log.
  void Compact(SnapshotMeta snapshot);
  /// Replaces everything by a snapshot.
  void Reset(SnapshotMeta snapshot);
  /// The latest members in the log, committed or not, else the snapshot's.
  MemberList LatestMembers() const;
  /// The members as of `index`.
  MemberList MembersAt(Index index) const;
  /// Index of the latest kMembers entry, or the snapshot's index.
  Index LatestMembersIndex() const;
  const SnapshotMeta& snapshot() const { return this->snapshot_meta; }
  std::size_t Bytes() const { return this->payload_bytes; }

 private:
  SnapshotMeta snapshot_meta;
  std::deque<Entry> entries;
  std::size_t payload_bytes = 0;
};

}  // namespace papayarack::consensus

#endif  // PAPAYARACK_CONSENSUS_RAFTLOG_H_
