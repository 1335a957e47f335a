#ifndef PAPAYARACK_CONSENSUS_DURABLELOG_H_
#define PAPAYARACK_CONSENSUS_DURABLELOG_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/raftmessages.h"
#include "storage/filesystem.h"
#include "storage/segmentedlog.h"

namespace papayarack::consensus {

/// Who owns a data folder; written once, when the folder is formatted.
struct FolderIdentity {
  MemberId member = 0;
  std::string cluster;
  MSGPACK_DEFINE(member, cluster)
};

/// Writes the identity and, for the first members of a cluster, the members of
/// `groups` groups. A joining member passes an empty list. Throws
/// ResultError(kConflict) when the folder already has an identity: a wiped or
/// foreign disk never votes under an old name.
void FormatFolder(storage::FileSystem& files, const FolderIdentity& identity,
                  const MemberList& first_members, GroupId groups);

/// Writes the identity of a folder that holds no group yet. Throws
/// ResultError(kConflict) when it has one.
void WriteIdentity(storage::FileSystem& files, const FolderIdentity& identity);

/// Makes a group with these first members; only for a group that never existed.
/// Throws ResultError(kConflict) when the folder already holds it.
void CreateGroup(storage::FileSystem& files, GroupId group,
                 const MemberList& first_members);

/// Whether the folder holds state of the group.
bool HasGroup(const storage::FileSystem& files, GroupId group);

/// The identity, or nothing when the folder was never formatted.
std::optional<FolderIdentity> ReadIdentity(const storage::FileSystem& files);

/// What a member finds on its disk when it starts.
struct RecoveredState {
  HardState hard_state;
  SnapshotMeta snapshot;
  std::string state;  ///< The state machine's bytes as of the snapshot.
  std::vector<Entry> entries;   ///< After the snapshot.
  std::uint64_t cut_bytes = 0;  ///< Torn tail that was cut.
};

/// The durable half of one group member: hard state, log and snapshot files.
/// Thread safety: none, one owner (the write-and-sync thread).
class DurableLog {
 public:
  DurableLog(storage::FileSystem& files, GroupId group,
             std::uint64_t segment_bytes =
                 storage::SegmentedLog::kDefaultSegmentBytes);

  /// Reads all; call once, first. Throws ResultError(kStorageDamaged).
  RecoveredState Recover();
  /// Writes and syncs. Nothing may be acknowledged unless it returned.
  void Write(std::optional<Index> truncate_from, std::span<const Entry> entries,
             const std::optional<HardState>& hard_state);
  /// Makes a snapshot of the own state durable, then drops the log before it.
  void SaveSnapshot(const SnapshotMeta& meta, std::string_view state);
  /// Makes a fetched snapshot durable, then removes the whole log.
  void InstallSnapshot(const SnapshotMeta& meta, std::string_view state);
  std::uint64_t LogBytes() const { return this->log.Bytes(); }

  /// The snapshot file of a group as it stands; nothing when there is none.
  static std::optional<std::pair<SnapshotMeta, std::string>> ReadSnapshot(
      const storage::FileSystem& files, GroupId group);

 private:
  void WriteSnapshotFile(const SnapshotMeta& meta, std::string_view state);

  storage::FileSystem& files;
  GroupId group;
  storage::SegmentedLog log;
};

}  // namespace papayarack::consensus

#endif  // PAPAYARACK_CONSENSUS_DURABLELOG_H_
