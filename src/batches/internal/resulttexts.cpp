#include "batches/resulttexts.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "global/hash.h"
#include "global/resultcode.h"

namespace papayarack::batches {
namespace {

constexpr const char* kPrefix = "results";
/// Files are only deleted as a whole, so one must not hold the results of many
/// minutes.
constexpr std::uint64_t kSegmentBytes = 4U << 20U;

}  // namespace

ResultTexts::ResultTexts(storage::FileSystem& files)
    : files(files), blobs(files, kPrefix, kSegmentBytes) {}

void ResultTexts::Open(std::uint64_t length, std::uint64_t first_needed) {
  this->blobs.Open(length, first_needed);
  this->recent.clear();
  this->plan = {};
  this->files_end = length;
  this->total = length;
}

TextRef ResultTexts::Add(std::string text) {
  const TextRef ref{this->total, static_cast<std::uint32_t>(text.size()),
                    Hash64(text)};
  this->total += text.size();
  if (!text.empty()) {
    this->recent.emplace(ref.offset, std::move(text));
  }
  return ref;
}

std::string ResultTexts::Read(const TextRef& ref) const {
  if (ref.length == 0) {
    return {};
  }
  const auto found = this->recent.find(ref.offset);
  if (found != this->recent.end()) {
    return found->second;
  }
  std::string text = this->blobs.ReadAt(ref.offset, ref.length);
  if (Hash64(text) != ref.hash) {
    throw ResultError(
        ResultCode::kStorageDamaged,
        fmt::format("the result at offset {} is damaged", ref.offset));
  }
  return text;
}

std::function<void()> ResultTexts::Archive() {
  if (this->recent.empty()) {
    return {};
  }
  // Shared with the writing thread, which releases it.
  const auto bytes = std::make_shared<std::string>();
  bytes->reserve(this->InMemory());
  for (const auto& [offset, text] : this->recent) {
    *bytes += text;
  }
  this->plan =
      this->blobs.PlanAppend(static_cast<std::uint32_t>(bytes->size()));
  return [&files = this->files, plan = this->plan, bytes] {
    storage::BlobStore::WriteAppend(files, plan, *bytes);
  };
}

void ResultTexts::Archived() {
  if (this->plan.ref.length == 0) {
    return;
  }
  this->blobs.CommitAppend(this->plan);
  this->files_end = this->blobs.length();
  this->recent.erase(this->recent.begin(),
                     this->recent.lower_bound(this->files_end));
  this->plan = {};
}

bool ResultTexts::MoveIsWritten() const {
  return this->plan.ref.length > 0 && this->files.Exists(this->plan.file) &&
         this->files.Size(this->plan.file) >=
             this->plan.file_offset + this->plan.ref.length;
}

void ResultTexts::DropBefore(std::uint64_t offset) {
  this->blobs.DropBefore(std::min(offset, this->files_end));
}

std::string ResultTexts::Export(std::uint64_t first) const {
  std::string bytes;
  bytes.reserve(this->total - first);
  if (first < this->files_end) {
    bytes = this->blobs.ReadAt(first, this->files_end - first);
  }
  for (auto text = this->recent.lower_bound(first); text != this->recent.end();
       ++text) {
    bytes += text->second;
  }
  return bytes;
}

void ResultTexts::Import(std::uint64_t first, std::string_view bytes) {
  // Otherwise the append below would first cut off what the last move wrote,
  // and a loss of power then leaves a snapshot without its texts.
  if (this->MoveIsWritten()) {
    this->Archived();
  }
  const std::uint64_t end = first + bytes.size();
  // Texts that are only in memory count as missing, because `bytes` contains
  // them too.
  if (this->files_end < first) {
    this->blobs.SkipTo(first);
    this->files_end = first;
  }
  if (this->files_end < end) {
    const std::string_view missing = bytes.substr(this->files_end - first);
    const storage::AppendPlan append =
        this->blobs.PlanAppend(static_cast<std::uint32_t>(missing.size()));
    storage::BlobStore::WriteAppend(this->files, append, missing);
    this->blobs.CommitAppend(append);
    this->files_end = end;
  }
}

}  // namespace papayarack::batches
