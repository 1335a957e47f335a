#ifndef PAPAYARACK_STORAGE_BLOBSTORE_H_
#define PAPAYARACK_STORAGE_BLOBSTORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "storage/filesystem.h"

namespace papayarack::storage {

/// Location of a blob: a logical offset in the store and a length in bytes.
struct BlobRef {
  std::uint64_t offset = 0;
  std::uint32_t length = 0;
};

/// A planned append, whose bytes another thread writes.
struct AppendPlan {
  std::string file;
  std::uint64_t file_offset = 0;
  BlobRef ref;
  bool new_file = false;
};

/// Append-only store of bytes in segment files: job inputs and results, which
/// are never held in memory. Offsets are logical and only grow, so members that
/// apply the same log hold the same bytes at the same offsets, and a member
/// that is behind fetches only the missing part. Thread safety: none, one
/// owner; ReadAt is const and may run concurrently with other readers.
class BlobStore {
 public:
  BlobStore(FileSystem& files, std::string prefix,
            std::uint64_t segment_bytes = kDefaultSegmentBytes);

  /// Truncates the store at `length`; the replayed log appends the rest again.
  /// Of the bytes before `length` only those from offset `first_needed` on have
  /// to be on disk: a member that was sent a state may never have had the
  /// others. Throws ResultError(kStorageDamaged) if the files end before them.
  void Open(std::uint64_t length, std::uint64_t first_needed = 0);
  /// Logical end of the bytes on disk, also before Open; a replaced member can
  /// keep the bytes up to there.
  std::uint64_t LengthOnDisk() const;
  BlobRef Append(std::string_view bytes);
  /// Plans an append that does not block the owner: any one thread calls
  /// WriteAppend, then the owner calls CommitAppend. Nothing else may be
  /// appended in between.
  AppendPlan PlanAppend(std::uint32_t length) const;
  /// Writes and syncs the bytes, after truncating what an attempt before a
  /// crash left behind.
  static void WriteAppend(FileSystem& files, const AppendPlan& plan,
                          std::string_view bytes);
  void CommitAppend(const AppendPlan& plan);
  /// Throws ResultError(kNotFound) for a range that was dropped or never
  /// written.
  std::string ReadAt(std::uint64_t offset, std::size_t length) const;
  std::string Read(const BlobRef& ref) const {
    return this->ReadAt(ref.offset, ref.length);
  }
  void Sync();
  /// Returns the names of files with unsynced bytes, and marks them as synced;
  /// the caller must sync them.
  std::vector<std::string> TakeDirtyFiles();
  /// Removes whole segments that end at or before `offset`.
  void DropBefore(std::uint64_t offset);
  std::uint64_t length() const { return this->total; }
  /// Continues at logical offset `start`, beyond the current length; leaves a
  /// gap. Durable on return, so that a store without further bytes opens at
  /// `start`, too; keeps the files before.
  void SkipTo(std::uint64_t start);
  /// Logical offset of the first retained byte.
  std::uint64_t FirstKept() const;

  static constexpr std::uint64_t kDefaultSegmentBytes = 32U << 20U;

 private:
  std::string SegmentName(std::uint64_t start) const;
  void LoadSegments();
  bool NeedsSegment() const;
  /// Adds an empty segment; durable on return.
  void AddSegment(std::uint64_t start);

  FileSystem& files;
  std::string prefix;
  std::uint64_t segment_bytes;
  std::map<std::uint64_t, std::uint64_t> segments;  ///< Length by start offset.
  std::uint64_t total = 0;
  bool dirty = false;
  bool folder_dirty = false;
};

}  // namespace papayarack::storage

#endif  // PAPAYARACK_STORAGE_BLOBSTORE_H_
