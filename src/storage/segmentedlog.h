#ifndef PAPAYARACK_STORAGE_SEGMENTEDLOG_H_
#define PAPAYARACK_STORAGE_SEGMENTEDLOG_H_

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "storage/filesystem.h"

namespace papayarack::storage {

/// The result of opening a log.
struct LogOpenReport {
  std::uint64_t first = 0;  ///< Number of the first record; 0 if there is none.
  std::uint64_t last = 0;   ///< Number of the last record; 0 if there is none.
  std::uint64_t cut_bytes = 0;  ///< Bytes of a torn tail that were truncated.
};

/// Numbered records in segment files. Each record is stored with its length,
/// its number, the number of the first record of its sync, and an XXH3
/// checksum. Records become durable by Sync. On opening, remains of a last sync
/// that a power loss interrupted are truncated, since nothing unsynced was ever
/// acknowledged; damage before that tail throws ResultError(kStorageDamaged),
/// since truncating there would lose acknowledged records. Thread safety: none,
/// one owner.
class SegmentedLog {
 public:
  /// Called for each record in order while the log is opened.
  using Visitor =
      std::function<void(std::uint64_t number, std::string_view record)>;

  SegmentedLog(FileSystem& files, std::string prefix,
               std::uint64_t segment_bytes = kDefaultSegmentBytes);

  /// Reads all records; call once before any other method. What was read, and
  /// each name in the folder, is durable on return.
  LogOpenReport Open(const Visitor& visitor);
  /// Appends a record. Precondition: `number` is last + 1, or any number if the
  /// log is empty.
  void Append(std::uint64_t number, std::string_view record);
  /// Makes everything durable. The folder is synced only if a segment was added
  /// or removed.
  void Sync();
  /// Removes every record with a number of at least `from`; durable on return.
  void TruncateFrom(std::uint64_t from);
  /// Removes whole segments whose records are all below `below`.
  void DropBefore(std::uint64_t below);
  /// Removes all records; the next one may have any number.
  void Clear();
  std::uint64_t last() const { return this->last_number; }
  /// Bytes in all segments.
  std::uint64_t Bytes() const;

  static constexpr std::uint64_t kDefaultSegmentBytes = 8U << 20U;

 private:
  struct Segment {
    std::string name;
    std::uint64_t bytes = 0;
    std::uint64_t last = 0;
  };
  /// By the number of the first record.
  using SegmentMap = std::map<std::uint64_t, Segment>;

  std::string SegmentName(std::uint64_t first) const;
  void ReadSegment(Segment& segment, bool is_last, const Visitor& visitor,
                   LogOpenReport& report);
  void SyncWhatWasRead();
  void StartSegment(std::uint64_t first);
  void RemoveSegment(SegmentMap::iterator segment);

  FileSystem& files;
  std::string prefix;
  std::uint64_t segment_bytes;
  SegmentMap segments;
  std::uint64_t last_number = 0;
  /// Number of the first record since the last sync; zero if all is synced.
  std::uint64_t batch_first = 0;
  bool folder_dirty = false;
  bool file_dirty = false;
};

}  // namespace papayarack::storage

#endif  // PAPAYARACK_STORAGE_SEGMENTEDLOG_H_
