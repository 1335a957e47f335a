#include "jobs/filestore.h"

#include <algorithm>

#include "global/resultcode.h"

namespace papayarack::jobs {

void FileStore::Append(const std::string& id, const std::string& owner,
                       std::uint64_t offset, std::string_view bytes, bool last,
                       std::int64_t now_ms) {
  StoredFile& file = this->files[id];
  if (file.bytes == 0 && file.extents.empty()) {
    file.owner = owner;
    file.created_ms = now_ms;
  }
  if (offset > file.bytes) {
    throw ResultError(ResultCode::kBadInput, "a chunk of the file is missing");
  }
  if (!file.complete && offset == file.bytes && !bytes.empty()) {
    const storage::BlobRef ref = this->blobs.Append(bytes);
    file.extents.push_back({ref.offset, ref.length});
    file.bytes += bytes.size();
  }
  file.complete =
      file.complete || (last && offset + bytes.size() == file.bytes);
}

const StoredFile* FileStore::Find(const std::string& id) const {
  const auto found = this->files.find(id);
  return found != this->files.end() ? &found->second : nullptr;
}

std::string FileStore::Read(const StoredFile& file, std::uint64_t offset,
                            std::size_t length) const {
  std::string bytes;
  std::uint64_t start = 0;
  for (const Extent& extent : file.extents) {
    const std::uint64_t end = start + extent.length;
    if (offset < end && bytes.size() < length) {
      const std::uint64_t skipped = std::max(offset, start) - start;
      const std::size_t wanted = std::min<std::uint64_t>(
          extent.length - skipped, length - bytes.size());
      bytes += this->blobs.ReadAt(extent.offset + skipped, wanted);
      offset += wanted;
    }
    start = end;
  }
  return bytes;
}

std::uint64_t FileStore::FirstNeededOffset(std::uint64_t none) const {
  std::uint64_t first = none;
  for (const auto& [id, file] : this->files) {
    if (!file.extents.empty()) {
      first = std::min(first, file.extents.front().offset);
    }
  }
  return first;
}

}  // namespace papayarack::jobs
