#include "consensus/durablelog.h"

#include <fmt/format.h>

#include <utility>

#include "global/messagecodec.h"
#include "storage/checkedfile.h"

namespace papayarack::consensus {
namespace {

constexpr const char* kIdentityFile = "identity";

std::string HardStateFile(GroupId group) {
  return fmt::format("hardstate-{:04}", group);
}
std::string SnapshotFile(GroupId group) {
  return fmt::format("snapshot-{:04}", group);
}
std::string LogPrefix(GroupId group) {
  return fmt::format("raft-{:04}", group);
}

/// Contents of a snapshot file.
struct SnapshotContent {
  SnapshotMeta meta;
  std::string state;
  MSGPACK_DEFINE(meta, state)
};

}  // namespace

void FormatFolder(storage::FileSystem& files, const FolderIdentity& identity,
                  const MemberList& initial_members, GroupId groups) {
  if (ReadIdentity(files).has_value()) {
    throw ResultError(ResultCode::kConflict, "the folder is already formatted");
  }
  if (!files.List().empty()) {
    throw ResultError(ResultCode::kConflict,
                      "the folder is not empty and has no identity");
  }
  for (GroupId group = 0; group < groups; ++group) {
    CreateGroup(files, group, initial_members);
  }
  WriteIdentity(files, identity);
}

void WriteIdentity(storage::FileSystem& files, const FolderIdentity& identity) {
  if (ReadIdentity(files).has_value()) {
    throw ResultError(ResultCode::kConflict, "the folder already has an owner");
  }
  storage::WriteCheckedFile(files, kIdentityFile, EncodeMessage(identity));
}

bool HasGroup(const storage::FileSystem& files, GroupId group) {
  return files.Exists(SnapshotFile(group)) ||
         files.Exists(HardStateFile(group));
}

void CreateGroup(storage::FileSystem& files, GroupId group,
                 const MemberList& initial_members) {
  if (HasGroup(files, group)) {
    throw ResultError(ResultCode::kConflict,
                      "the folder already holds this group");
  }
  SnapshotContent content;
  content.meta.members = initial_members;
  storage::WriteCheckedFile(files, SnapshotFile(group), EncodeMessage(content));
}

std::optional<FolderIdentity> ReadIdentity(const storage::FileSystem& files) {
  const std::optional<std::string> bytes =
      storage::ReadCheckedFile(files, kIdentityFile);
  if (!bytes.has_value()) {
    return std::nullopt;
  }
  return DecodeMessage<FolderIdentity>(*bytes);
}

DurableLog::DurableLog(storage::FileSystem& files, GroupId group,
                       std::uint64_t segment_bytes)
    : files(files), group(group), log(files, LogPrefix(group), segment_bytes) {}

std::optional<std::pair<SnapshotMeta, std::string>> DurableLog::ReadSnapshot(
    const storage::FileSystem& files, GroupId group) {
  const auto bytes = storage::ReadCheckedFile(files, SnapshotFile(group));
  if (!bytes.has_value()) {
    return std::nullopt;
  }
  auto content = DecodeMessage<SnapshotContent>(*bytes);
  return std::pair(std::move(content.meta), std::move(content.state));
}

RecoveredState DurableLog::Recover() {
  RecoveredState recovered;
  if (const auto bytes =
          storage::ReadCheckedFile(this->files, HardStateFile(this->group))) {
    recovered.hard_state = DecodeMessage<HardState>(*bytes);
  }
  if (auto snapshot = ReadSnapshot(this->files, this->group)) {
    recovered.snapshot = std::move(snapshot->first);
    recovered.state = std::move(snapshot->second);
  }
  const Index base = recovered.snapshot.index;
  bool agrees = true;
  const storage::LogOpenReport report =
      this->log.Open([&](std::uint64_t number, std::string_view record) {
        Entry entry = DecodeMessage<Entry>(record);
        if (number == base && entry.term != recovered.snapshot.term) {
          agrees = false;
        }
        if (number > base) {
          recovered.entries.push_back(std::move(entry));
        }
      });
  recovered.cut_bytes = report.cut_bytes;
  // A crash between installing a snapshot and clearing the log leaves entries
  // that end before the snapshot or conflict with its last term. They must not
  // follow the snapshot.
  const bool gap =
      !recovered.entries.empty() && recovered.entries.front().index != base + 1;
  if (gap && report.first > base + 1) {
    throw ResultError(ResultCode::kStorageDamaged,
                      "the log begins after the snapshot's end");
  }
  if (!agrees || (report.last != 0 && report.last < base)) {
    recovered.entries.clear();
    this->log.Clear();
  }
  return recovered;
}

void DurableLog::Write(std::optional<Index> truncate_from,
                       std::span<const Entry> entries,
                       const std::optional<HardState>& hard_state) {
  if (hard_state.has_value()) {
    storage::WriteCheckedFile(this->files, HardStateFile(this->group),
                              EncodeMessage(*hard_state));
  }
  if (truncate_from.has_value()) {
    this->log.TruncateFrom(*truncate_from);
  }
  for (const Entry& entry : entries) {
    this->log.Append(entry.index, EncodeMessage(entry));
  }
  this->log.Sync();
}

void DurableLog::WriteSnapshotFile(const SnapshotMeta& meta,
                                   std::string_view state) {
  // Encodes a SnapshotContent without another copy of the state, because a
  // small VM lacks the memory for several copies of it.
  SnapshotMeta sized = meta;
  sized.state_bytes = state.size();
  constexpr std::uint32_t kFields = 2;
  constexpr std::size_t kHeaderBytes = 64;
  PackedString packed;
  const std::string packed_meta = EncodeMessage(sized);
  packed.bytes.reserve(packed_meta.size() + state.size() + kHeaderBytes);
  msgpack::packer<PackedString> packer(packed);
  packer.pack_array(kFields);
  packed.write(packed_meta.data(), packed_meta.size());
  packer.pack_str(static_cast<std::uint32_t>(state.size()));
  packer.pack_str_body(state.data(), static_cast<std::uint32_t>(state.size()));
  storage::WriteCheckedFile(this->files, SnapshotFile(this->group),
                            packed.bytes);
}

void DurableLog::SaveSnapshot(const SnapshotMeta& meta,
                              std::string_view state) {
  this->WriteSnapshotFile(meta, state);
  this->log.DropBefore(meta.index + 1);
}

void DurableLog::InstallSnapshot(const SnapshotMeta& meta,
                                 std::string_view state) {
  this->WriteSnapshotFile(meta, state);
  this->log.Clear();
}

}  // namespace papayarack::consensus
