#include "storage/segmentedlog.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

#include "global/hash.h"
#include "global/resultcode.h"
#include "storage/checkedfile.h"
#include "storage/internal/littleendian.h"

namespace papayarack::storage {
namespace {

constexpr std::size_t kSegmentHeaderBytes = sizeof(std::uint32_t);
constexpr std::size_t kLengthOffset = 0;
constexpr std::size_t kNumberOffset = 4;
constexpr std::size_t kBatchOffset = 12;
constexpr std::size_t kChecksumOffset = 20;
constexpr std::size_t kRecordHeaderBytes = 28;
constexpr std::uint32_t kMaxRecordBytes = 64U << 20U;

/// A record parsed from the bytes of a segment.
struct ParsedRecord {
  bool valid = false;
  std::uint64_t number = 0;
  std::uint64_t batch_first = 0;  ///< First record of the same sync.
  std::string_view record;
};

std::uint64_t ChecksumOf(std::string_view record, std::uint64_t number,
                         std::uint64_t batch_first) {
  return Hash64(record, number ^ (batch_first << 1U));
}

ParsedRecord ParseRecord(std::string_view bytes, std::size_t offset) {
  if (bytes.size() - offset < kRecordHeaderBytes) {
    return {};
  }
  const auto length = GetInteger<std::uint32_t>(bytes, offset + kLengthOffset);
  if (length > kMaxRecordBytes ||
      bytes.size() - offset - kRecordHeaderBytes < length) {
    return {};
  }
  const auto number = GetInteger<std::uint64_t>(bytes, offset + kNumberOffset);
  const std::string_view record =
      bytes.substr(offset + kRecordHeaderBytes, length);
  const auto batch = GetInteger<std::uint64_t>(bytes, offset + kBatchOffset);
  const bool checksum_matches =
      GetInteger<std::uint64_t>(bytes, offset + kChecksumOffset) ==
      ChecksumOf(record, number, batch);
  return {checksum_matches, number, batch, record};
}

/// Whether an intact record of a later sync follows the unreadable record at
/// `offset`. The disk keeps or loses each unsynced write independently, so an
/// intact record of the same sync may follow a hole: then the rest is a torn
/// tail and may be truncated. An intact record of a later sync proves that the
/// bytes at `offset` had been synced and were damaged later; truncating there
/// would lose acknowledged entries. Each record stores the number of the first
/// record of its sync. Without this check a member either refuses to start
/// after a power loss or loses acknowledged entries.
bool SyncedRecordAfter(std::string_view bytes, std::size_t offset,
                       std::uint64_t last_number) {
  constexpr std::uint64_t kMaxNumberGap = 1U << 20U;
  for (std::size_t at = offset; at + kRecordHeaderBytes <= bytes.size(); ++at) {
    const auto number = GetInteger<std::uint64_t>(bytes, at + kNumberOffset);
    if (number <= last_number || number > last_number + kMaxNumberGap) {
      continue;
    }
    const ParsedRecord parsed = ParseRecord(bytes, at);
    if (parsed.valid && parsed.batch_first > last_number + 1) {
      return true;
    }
  }
  return false;
}

}  // namespace

SegmentedLog::SegmentedLog(FileSystem& files, std::string prefix,
                           std::uint64_t segment_bytes)
    : files(files), prefix(std::move(prefix)), segment_bytes(segment_bytes) {}

std::string SegmentedLog::SegmentName(std::uint64_t first) const {
  return fmt::format("{}-{:020}.log", this->prefix, first);
}

LogOpenReport SegmentedLog::Open(const Visitor& visitor) {
  LogOpenReport report;
  for (const std::string& name : this->files.List()) {
    if (name.starts_with(this->prefix + "-") && name.ends_with(".log")) {
      const std::uint64_t first = std::stoull(name.substr(
          this->prefix.size() + 1, name.size() - 5 - this->prefix.size()));
      this->segments[first].name = name;
    }
  }
  const std::size_t count = this->segments.size();
  std::size_t position = 0;
  for (auto& [first, segment] : this->segments) {
    ++position;
    if (this->last_number != 0 && first != this->last_number + 1) {
      throw ResultError(ResultCode::kStorageDamaged,
                        segment.name + ": a segment is missing before");
    }
    this->ReadSegment(segment, position == count, visitor, report);
  }
  report.last = this->last_number;
  this->SyncWhatWasRead();
  return report;
}

/// A process that was killed may leave records that it had not synced; they are
/// read from the page cache, and the owner counts them as durable. Without this
/// sync a member would acknowledge them once more without a write, and a power
/// loss would take them after all. Earlier segments were synced before the last
/// one was begun.
void SegmentedLog::SyncWhatWasRead() {
  if (!this->segments.empty()) {
    this->files.SyncFile(this->segments.rbegin()->second.name);
  }
  this->files.SyncFolder();
}

void SegmentedLog::ReadSegment(Segment& segment, bool is_last,
                               const Visitor& visitor, LogOpenReport& report) {
  const std::string bytes =
      this->files.Read(segment.name, 0, this->files.Size(segment.name));
  std::size_t offset = kSegmentHeaderBytes;
  const bool header_valid =
      bytes.size() >= kSegmentHeaderBytes &&
      GetInteger<std::uint32_t>(bytes, 0) == kFormatVersion;
  // The header is synced before any record, so only a segment whose creation
  // was interrupted can lack it, and that segment is empty.
  const bool is_empty = is_last && !SyncedRecordAfter(bytes, 0, 0);
  if (!header_valid && bytes.size() >= kSegmentHeaderBytes && !is_empty) {
    throw ResultError(ResultCode::kStorageDamaged,
                      segment.name + ": unknown format version");
  }
  while (header_valid && offset < bytes.size()) {
    const ParsedRecord parsed = ParseRecord(bytes, offset);
    if (!parsed.valid ||
        (this->last_number != 0 && parsed.number != this->last_number + 1)) {
      break;
    }
    report.first = report.first == 0 ? parsed.number : report.first;
    this->last_number = parsed.number;
    segment.last = parsed.number;
    visitor(parsed.number, parsed.record);
    offset += kRecordHeaderBytes + parsed.record.size();
  }
  segment.bytes = offset;
  if (header_valid && offset == bytes.size()) {
    return;
  }
  if (!is_last || SyncedRecordAfter(bytes, offset, this->last_number)) {
    throw ResultError(
        ResultCode::kStorageDamaged,
        fmt::format("{}: damaged at byte {}", segment.name, offset));
  }
  report.cut_bytes += bytes.size() - (header_valid ? offset : 0);
  if (header_valid) {
    this->files.Truncate(segment.name, offset);
  } else {
    std::string header;
    PutInteger(header, kFormatVersion);
    this->files.Truncate(segment.name, 0);
    this->files.Append(segment.name, header);
  }
  this->files.SyncFile(segment.name);
}

void SegmentedLog::StartSegment(std::uint64_t first) {
  Segment segment;
  segment.name = this->SegmentName(first);
  std::string header;
  PutInteger(header, kFormatVersion);
  if (this->files.Exists(segment.name)) {
    this->files.Truncate(segment.name, 0);
  }
  this->files.Append(segment.name, header);
  this->files.SyncFile(segment.name);
  this->files.SyncFolder();
  segment.bytes = kSegmentHeaderBytes;
  this->segments[first] = std::move(segment);
  this->folder_dirty = false;
}

void SegmentedLog::Append(std::uint64_t number, std::string_view record) {
  if (this->last_number != 0 && number != this->last_number + 1) {
    throw ResultError(ResultCode::kInternal,
                      "log numbers must follow each other");
  }
  if (this->segments.empty() ||
      this->segments.rbegin()->second.bytes >= this->segment_bytes) {
    if (this->file_dirty) {
      this->files.SyncFile(this->segments.rbegin()->second.name);
    }
    this->StartSegment(number);
  }
  Segment& segment = this->segments.rbegin()->second;
  if (this->batch_first == 0) {
    this->batch_first = number;
  }
  std::string bytes;
  bytes.reserve(kRecordHeaderBytes + record.size());
  PutInteger(bytes, static_cast<std::uint32_t>(record.size()));
  PutInteger(bytes, number);
  PutInteger(bytes, this->batch_first);
  PutInteger(bytes, ChecksumOf(record, number, this->batch_first));
  bytes.append(record);
  try {
    this->files.Append(segment.name, bytes);
  } catch (const ResultError&) {
    // A full disk may have accepted a part of the record: truncate it, so that
    // later records stay readable.
    this->files.Truncate(segment.name, segment.bytes);
    throw;
  }
  segment.bytes += bytes.size();
  segment.last = number;
  this->last_number = number;
  this->file_dirty = true;
}

void SegmentedLog::Sync() {
  if (this->file_dirty) {
    this->files.SyncFile(this->segments.rbegin()->second.name);
    this->file_dirty = false;
  }
  this->batch_first = 0;
  if (this->folder_dirty) {
    this->files.SyncFolder();
    this->folder_dirty = false;
  }
}

/// A power loss keeps or undoes each removal since the last sync independently,
/// so at most one may be unsynced: of two, the disk could keep the one between
/// segments that stay, and a log with such a gap does not open.
void SegmentedLog::RemoveSegment(SegmentMap::iterator segment) {
  if (this->folder_dirty) {
    this->files.SyncFolder();
  }
  this->files.Remove(segment->second.name);
  this->segments.erase(segment);
  this->folder_dirty = true;
}

/// The removal of later segments is durable before the last one that stays is
/// cut, so that no segment follows a cut one after a power loss.
void SegmentedLog::TruncateFrom(std::uint64_t from) {
  while (!this->segments.empty() && this->segments.rbegin()->first >= from) {
    this->RemoveSegment(std::prev(this->segments.end()));
  }
  if (this->folder_dirty) {
    this->files.SyncFolder();
    this->folder_dirty = false;
  }
  this->last_number = 0;
  if (!this->segments.empty()) {
    Segment& segment = this->segments.rbegin()->second;
    const std::string bytes = this->files.Read(segment.name, 0, segment.bytes);
    std::size_t offset = kSegmentHeaderBytes;
    segment.last = 0;
    while (offset < bytes.size()) {
      const ParsedRecord parsed = ParseRecord(bytes, offset);
      if (!parsed.valid || parsed.number >= from) {
        break;
      }
      segment.last = parsed.number;
      offset += kRecordHeaderBytes + parsed.record.size();
    }
    this->files.Truncate(segment.name, offset);
    segment.bytes = offset;
    this->last_number = segment.last;
    this->file_dirty = true;
  }
  this->Sync();
}

void SegmentedLog::DropBefore(std::uint64_t below) {
  while (this->segments.size() > 1 &&
         this->segments.begin()->second.last < below) {
    this->RemoveSegment(this->segments.begin());
  }
}

void SegmentedLog::Clear() {
  while (!this->segments.empty()) {
    this->RemoveSegment(std::prev(this->segments.end()));
  }
  this->last_number = 0;
  this->batch_first = 0;
  this->file_dirty = false;
  this->files.SyncFolder();
  this->folder_dirty = false;
}

std::uint64_t SegmentedLog::Bytes() const {
  std::uint64_t total = 0;
  for (const auto& [first, segment] : this->segments) {
    total += segment.bytes;
  }
  return total;
}

}  // namespace papayarack::storage
