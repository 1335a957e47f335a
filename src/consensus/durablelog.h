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

/// The member that a data folder belongs to. Written once, when the folder is
/// formatted.
struct FolderIdentity {
  MemberId member = 0;
  std::string cluster;
  MSGPACK_DEFINE(member, cluster)
};

/// Writes the identity and the initial member list of each of `groups` groups.
/// A member that joins later passes an empty list. Throws
/// ResultError(kConflict) when the folder already has an identity, so that a
/// wiped or foreign disk never votes under an old member id.
void FormatFolder(storage::FileSystem& files, const FolderIdentity& identity,
                  const MemberList& initial_members, GroupId groups);

/// Writes the identity of a folder that holds no group yet. Throws
/// ResultError(kConflict) when it has one.
void WriteIdentity(storage::FileSystem& files, const FolderIdentity& identity);

/// Creates a group with these initial members. Precondition: the group never
/// existed before. Throws ResultError(kConflict) when the folder already holds
/// it.
void CreateGroup(storage::FileSystem& files, GroupId group,
                 const MemberList& initial_members);

/// Whether the folder holds state of the group.
bool HasGroup(const storage::FileSystem& files, GroupId group);

/// The identity; empty if the folder was never formatted.
std::optional<FolderIdentity> ReadIdentity(const storage::FileSystem& files);

/// State that a member reads from its disk at start-up.
struct RecoveredState {
  HardState hard_state;
  SnapshotMeta snapshot;
  std::string state;           ///< Serialised state machine as of the snapshot.
  std::vector<Entry> entries;  ///< After the snapshot.
  /// Bytes of an incomplete last record that were cut off.
  std::uint64_t cut_bytes = 0;
};

/// Durable storage of one group member: hard state, log and snapshot files.
/// Thread safety: none, one owner (the write-and-sync thread).
class DurableLog {
 public:
  DurableLog(storage::FileSystem& files, GroupId group,
             std::uint64_t segment_bytes =
                 storage::SegmentedLog::kDefaultSegmentBytes);

  /// Reads the stored state. Call once, before any other method. Throws
  /// ResultError(kStorageDamaged).
  RecoveredState Recover();
  /// Writes and syncs. Nothing may be acknowledged before this returns.
  void Write(std::optional<Index> truncate_from, std::span<const Entry> entries,
             const std::optional<HardState>& hard_state);
  /// Makes a snapshot of this member's state durable, then drops the log before
  /// it.
  void SaveSnapshot(const SnapshotMeta& meta, std::string_view state);
  /// Makes a fetched snapshot durable, then clears the log.
  void InstallSnapshot(const SnapshotMeta& meta, std::string_view state);
  std::uint64_t LogBytes() const { return this->log.Bytes(); }

  /// Reads the current snapshot file of a group; empty if there is none.
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
