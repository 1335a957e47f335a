#ifndef PAPAYARACK_CONSENSUS_RAFTLOG_H_
#define PAPAYARACK_CONSENSUS_RAFTLOG_H_

#include <deque>
#include <optional>
#include <vector>

#include "consensus/raftmessages.h"

namespace papayarack::consensus {

/// In-memory log entries since the last snapshot; the owner keeps the durable
/// copy. Its size is limited by taking snapshots. Thread safety: none.
class RaftLog {
 public:
  explicit RaftLog(SnapshotMeta snapshot)
      : snapshot_meta(std::move(snapshot)) {}

  Index FirstIndex() const { return this->snapshot_meta.index + 1; }
  Index LastIndex() const {
    return this->snapshot_meta.index + this->entries.size();
  }
  Term LastTerm() const { return *this->TermAt(this->LastIndex()); }
  /// Empty if the index is before the snapshot or past the end of the log.
  std::optional<Term> TermAt(Index index) const;
  /// Precondition: FirstIndex() <= index <= LastIndex().
  std::size_t PayloadBytesAt(Index index) const {
    return this->entries[index - this->FirstIndex()].payload.size();
  }
  /// Precondition: entry.index == LastIndex() + 1.
  void Append(Entry entry);
  /// Removes all entries from index `from` on. Precondition: from >=
  /// FirstIndex().
  void TruncateFrom(Index from);
  /// Entries from `first` to `last`, up to `max_bytes` of payload; always at
  /// least one if any exists.
  std::vector<Entry> Slice(Index first, Index last,
                           std::size_t max_bytes) const;
  /// Removes entries up to the snapshot's index. Precondition: that index is in
  /// the log.
  void Compact(SnapshotMeta snapshot);
  /// Removes all entries and continues from a snapshot.
  void Reset(SnapshotMeta snapshot);
  /// The latest member list in the log, committed or not; the snapshot's if
  /// there is none.
  MemberList LatestMembers() const;
  /// The member list in effect at `index`.
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
