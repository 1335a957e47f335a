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

/// A contiguous byte range of the blob store that holds part of a file.
struct Extent {
  std::uint64_t offset = 0;
  std::uint32_t length = 0;
  MSGPACK_DEFINE(offset, length)
};

/// An uploaded input file. Its id is derived from its content, so uploading the
/// same content again addresses the same file.
struct StoredFile {
  std::string owner;
  std::uint64_t bytes = 0;
  bool complete = false;
  std::int64_t created_ms = 0;
  std::vector<Extent> extents;
  MSGPACK_DEFINE(owner, bytes, complete, created_ms, extents)
};

/// Stores input files, which arrive chunk by chunk through the log. Each chunk
/// holds whole lines, so that no item spans two extents. Deterministic. Thread
/// safety: none.
class FileStore {
 public:
  explicit FileStore(storage::BlobStore& blobs) : blobs(blobs) {}

  /// Appends a chunk at `offset`. A chunk that is already stored is accepted
  /// and ignored; one that leaves a gap throws ResultError(kBadInput).
  void Append(const std::string& id, const std::string& owner,
              std::uint64_t offset, std::string_view bytes, bool last,
              std::int64_t now_ms);
  const StoredFile* Find(const std::string& id) const;
  /// Returns up to `length` bytes of the file from `offset`.
  std::string Read(const StoredFile& file, std::uint64_t offset,
                   std::size_t length) const;
  /// Removes files that were created before `before_ms` and for which `in_use`
  /// returns false.
  template <typename InUse>
  void Expire(std::int64_t before_ms, const InUse& in_use) {
    std::erase_if(this->files, [&](const auto& file) {
      return file.second.created_ms < before_ms && !in_use(file.first);
    });
  }
  /// Smallest blob offset that a file still refers to; `none` if there is no
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
