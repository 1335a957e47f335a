#include "storage/blobstore.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "global/resultcode.h"

namespace papayarack::storage {

BlobStore::BlobStore(FileSystem& files, std::string prefix,
                     std::uint64_t segment_bytes)
    : files(files), prefix(std::move(prefix)), segment_bytes(segment_bytes) {
  this->LoadSegments();
}

std::string BlobStore::SegmentName(std::uint64_t start) const {
  return fmt::format("{}-{:020}.blob", this->prefix, start);
}

void BlobStore::LoadSegments() {
  for (const std::string& name : this->files.List()) {
    if (name.starts_with(this->prefix + "-") && name.ends_with(".blob")) {
      const std::uint64_t start = std::stoull(name.substr(
          this->prefix.size() + 1, name.size() - 6 - this->prefix.size()));
      this->segments[start] = this->files.Size(name);
    }
  }
}

std::uint64_t BlobStore::LengthOnDisk() const {
  if (this->segments.empty()) {
    return 0;
  }
  return this->segments.rbegin()->first + this->segments.rbegin()->second;
}

void BlobStore::Open(std::uint64_t length, std::uint64_t first_needed) {
  if (first_needed < length && this->LengthOnDisk() < length) {
    throw ResultError(ResultCode::kStorageDamaged,
                      fmt::format("{}: {} bytes on disk, the snapshot needs {}",
                                  this->prefix, this->LengthOnDisk(), length));
  }
  // Retention may have removed the files before `length`. Without any file left
  // the end of the store would be unknown at the next start.
  if (!this->segments.empty() && this->segments.begin()->first > length) {
    this->AddSegment(length);
  }
  while (!this->segments.empty() && this->segments.rbegin()->first > length) {
    this->files.Remove(this->SegmentName(this->segments.rbegin()->first));
    this->segments.erase(std::prev(this->segments.end()));
  }
  if (!this->segments.empty()) {
    auto& [start, size] = *this->segments.rbegin();
    if (start + size > length) {
      size = length - start;
      this->files.Truncate(this->SegmentName(start), size);
    }
  }
  this->total = length;
}

BlobRef BlobStore::Append(std::string_view bytes) {
  if (this->NeedsSegment()) {
    if (this->dirty) {
      this->files.SyncFile(this->SegmentName(this->segments.rbegin()->first));
    }
    this->segments[this->total] = 0;
    this->folder_dirty = true;
  }
  auto& [start, size] = *this->segments.rbegin();
  const std::string name = this->SegmentName(start);
  try {
    this->files.Append(name, bytes);
  } catch (const ResultError&) {
    if (this->files.Exists(name)) {
      this->files.Truncate(name, size);
    }
    throw;
  }
  const BlobRef ref{this->total, static_cast<std::uint32_t>(bytes.size())};
  size += bytes.size();
  this->total += bytes.size();
  this->dirty = true;
  return ref;
}

/// A gap starts a new segment too, since the bytes of a segment are contiguous.
bool BlobStore::NeedsSegment() const {
  if (this->segments.empty()) {
    return true;
  }
  const auto& [start, size] = *this->segments.rbegin();
  return size >= this->segment_bytes || start + size != this->total;
}

AppendPlan BlobStore::PlanAppend(std::uint32_t length) const {
  AppendPlan plan;
  plan.new_file = this->NeedsSegment();
  plan.ref = {this->total, length};
  const std::uint64_t start =
      plan.new_file ? this->total : this->segments.rbegin()->first;
  plan.file_offset = this->total - start;
  plan.file = this->SegmentName(start);
  return plan;
}

void BlobStore::WriteAppend(FileSystem& files, const AppendPlan& plan,
                            std::string_view bytes) {
  if (files.Exists(plan.file) && files.Size(plan.file) > plan.file_offset) {
    files.Truncate(plan.file, plan.file_offset);
  }
  files.Append(plan.file, bytes);
  files.SyncFile(plan.file);
  if (plan.new_file) {
    files.SyncFolder();
  }
}

void BlobStore::CommitAppend(const AppendPlan& plan) {
  this->segments[plan.ref.offset - plan.file_offset] =
      plan.file_offset + plan.ref.length;
  this->total = plan.ref.offset + plan.ref.length;
}

std::string BlobStore::ReadAt(std::uint64_t offset, std::size_t length) const {
  std::string bytes;
  while (bytes.size() < length) {
    const std::uint64_t at = offset + bytes.size();
    auto segment = this->segments.upper_bound(at);
    if (segment == this->segments.begin()) {
      throw ResultError(ResultCode::kNotFound,
                        "the bytes were removed by retention");
    }
    --segment;
    const std::uint64_t segment_offset = at - segment->first;
    if (segment_offset >= segment->second) {
      throw ResultError(ResultCode::kNotFound, "no bytes were written there");
    }
    const std::size_t wanted = std::min<std::uint64_t>(
        length - bytes.size(), segment->second - segment_offset);
    const std::string part = this->files.Read(this->SegmentName(segment->first),
                                              segment_offset, wanted);
    if (part.size() != wanted) {
      throw ResultError(ResultCode::kStorageDamaged,
                        this->SegmentName(segment->first) + ": too short");
    }
    bytes += part;
  }
  return bytes;
}

void BlobStore::Sync() {
  if (this->dirty && !this->segments.empty()) {
    this->files.SyncFile(this->SegmentName(this->segments.rbegin()->first));
    this->dirty = false;
  }
  if (this->folder_dirty) {
    this->files.SyncFolder();
    this->folder_dirty = false;
  }
}

std::vector<std::string> BlobStore::TakeDirtyFiles() {
  std::vector<std::string> names;
  if (this->dirty && !this->segments.empty()) {
    names.push_back(this->SegmentName(this->segments.rbegin()->first));
  }
  this->dirty = false;
  this->folder_dirty = false;
  return names;
}

void BlobStore::DropBefore(std::uint64_t offset) {
  while (this->segments.size() > 1) {
    const auto& [start, size] = *this->segments.begin();
    if (start + size > offset) {
      return;
    }
    this->files.Remove(this->SegmentName(start));
    this->segments.erase(this->segments.begin());
    this->folder_dirty = true;
  }
}

void BlobStore::AddSegment(std::uint64_t start) {
  const std::string name = this->SegmentName(start);
  this->files.Append(name, {});
  this->files.SyncFile(name);
  this->files.SyncFolder();
  this->segments[start] = 0;
}

void BlobStore::SkipTo(std::uint64_t start) {
  this->Sync();
  this->AddSegment(start);
  this->total = start;
}

std::uint64_t BlobStore::FirstKept() const {
  return this->segments.empty() ? this->total : this->segments.begin()->first;
}

}  // namespace papayarack::storage
