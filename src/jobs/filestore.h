#ifndef PAPAYARACK_JOBS_FILESTORE_H_
#define PAPAYARACK_JOBS_FILESTORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "global/messagecodec.h"
#include "storage/blobstore.h"

namespace papayarack::jobs {

/// A run of bytes of a file in the blob store.
struct Extent {
  std::uint64_t offset = 0;
  std::uint32_t length = 0;
  MSGPACK_DEFINE(offset, length)
};

/// An uploaded input file. Its id is made of its content, so a resend is the
/// same file.
struct StoredFile {
  std::string owner;
  std::uint64_t bytes = 0;
  bool complete = false;
  std::int64_t created_ms = 0;
  std::vector<Extent> extents;
  MSGPACK_DEFINE(owner, bytes, complete, created_ms, extents)
};

/// Input files, written chunk by chunk through the log. Each chunk holds whole
/// lines, so that no item spans two extents. Deterministic. Thread safety:
/// none.
class FileStore {
 public:
  explicit FileStore(storage::BlobStore& blobs) : blobs(blobs) {}

  /// Adds a chunk. A chunk that is there already is accepted and not stored
  /// again; one that leaves a gap throws ResultError(kBadInput).
  void Append(const std::string& id, const std::string& owner, std::uint64_t at,
              std::string_view bytes, bool last, std::int64_t now_ms);
  const StoredFile* Find(const std::string& id) const;
  /// Up to `length` bytes from `at`.
  std::string Read(const StoredFile& file, std::uint64_t at,
                   std::size_t length) const;
  /// Forgets files older than `before_ms` that `in_use` does not name.
  template <typename InUse>
  void Expire(std::int64_t before_ms, const InUse& in_use) {
    std::erase_if(this->files, [&](const auto& file) {
      return file.second.created_ms < before_ms && !in_use(file.first);
    });
  }
  /// Smallest blob offset that a file still needs; `none` when there is no
  /// file.
  std::uint64_t FirstNeededOffset(std::uint64_t none) const;
  const std::map<std::string, StoredFile>& all() const { return this->files; }
  void Load(std::map<std::string, StoredFile> saved) {
    this->files = std::move(saved);
  }

 private:
  storage::BlobStore& blobs;
  std::map<std::string, StoredFile> files;
};

}  // namespace papayarack::jobs

#endif  // PAPAYARACK_JOBS_FILESTORE_H_
