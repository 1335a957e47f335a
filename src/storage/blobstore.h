#ifndef PAPAYARACK_STORAGE_BLOBSTORE_H_
#define PAPAYARACK_STORAGE_BLOBSTORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "storage/filesystem.h"

namespace papayarack::storage {

/// Where a blob lies: a logical offset in the store and a length in bytes.
struct BlobRef {
  std::uint64_t offset = 0;
  std::uint32_t length = 0;
};

/// Where bytes that another thread writes will lie.
struct AppendPlan {
  std::string file;
  std::uint64_t inside = 0;  ///< Offset in the file.
  BlobRef ref;
  bool new_file = false;
};

/// Append-only bytes in segment files: job inputs and results, which are never
/// held in memory. Offsets are logical and only grow, so members that apply the
/// same log hold the same bytes at the same offsets, and one that is behind
/// needs only the part it lacks. Thread safety: none, one owner; ReadAt is
/// const and may run beside other readers.
class BlobStore {
 public:
  BlobStore(FileSystem& files, std::string prefix,
            std::uint64_t segment_bytes = kDefaultSegmentBytes);

  /// Finds the segments and cuts everything at or beyond `length`, which the
  /// replayed log will append again. Throws ResultError(kStorageDamaged) when
  /// fewer bytes are there.
  void Open(std::uint64_t length);
  /// Bytes on disk, before any Open; what a replaced member can keep.
  std::uint64_t LengthOnDisk() const;
  BlobRef Append(std::string_view bytes);
  /// An append in two steps, so that the owner does not wait for the disk: any
  /// one thread carries the plan out, then the owner takes it over. Nothing
  /// else is appended meanwhile.
  AppendPlan PlanAppend(std::uint32_t length) const;
  /// Writes and syncs. What an attempt before a crash left is cut off first.
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
  /// Names of files with bytes that no Sync covered; the caller takes over
  /// syncing them.
  std::vector<std::string> TakeDirtyFiles();
  /// Removes whole segments that end at or before `offset`.
  void DropBefore(std::uint64_t offset);
  std::uint64_t length() const { return this->total; }
  /// Removes everything and starts at logical offset `start`.
  void Reset(std::uint64_t start);
  /// Goes on at logical offset `start`, beyond what is here; a gap is left.
  void SkipTo(std::uint64_t start) { this->total = start; }
  /// Logical offset of the first byte that is kept.
  std::uint64_t FirstKept() const;

  static constexpr std::uint64_t kDefaultSegmentBytes = 32U << 20U;

 private:
  std::string NameFor(std::uint64_t start) const;
  void FindSegments();
  bool NeedsSegment() const;

  FileSystem& files;
  std::string prefix;
  std::uint64_t segment_bytes;
  std::map<std::uint64_t, std::uint64_t> segments;  ///< Start offset to length.
  std::uint64_t total = 0;
  bool dirty = false;
  bool folder_dirty = false;
};

}  // namespace papayarack::storage

#endif  // PAPAYARACK_STORAGE_BLOBSTORE_H_
