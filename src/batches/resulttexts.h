#ifndef PAPAYARACK_BATCHES_RESULTTEXTS_H_
#define PAPAYARACK_BATCHES_RESULTTEXTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "global/messagecodec.h"
#include "storage/blobstore.h"

namespace papayarack::batches {

/// Where the text of a listed result lies, and its checksum.
struct TextRef {
  std::uint64_t offset = 0;
  std::uint32_t length = 0;
  std::uint64_t hash = 0;
  MSGPACK_DEFINE(offset, length, hash)
};

/// The texts of listed results: those since the last snapshot in memory, older
/// ones in files, at offsets that are the same on every member.
///
/// Symptom guarded against: a small store is killed for its memory on a long
/// day, because the state holds the texts of all results, and each snapshot
/// holds them again. Thread safety: none, the loop's thread; only the work that
/// Archive returns runs elsewhere.
class ResultTexts {
 public:
  explicit ResultTexts(storage::FileSystem& files);

  /// Takes up what a snapshot recorded. Throws ResultError(kStorageDamaged)
  /// when the files hold less.
  void Open(std::uint64_t length);
  TextRef Add(std::string text);
  /// Throws ResultError(kStorageDamaged) when the bytes are not those that were
  /// added, and kNotFound when they were dropped.
  std::string Read(const TextRef& ref) const;
  /// Bytes that were ever added; the offset of the next text.
  std::uint64_t length() const { return this->total; }
  /// Bytes of texts in memory.
  std::uint64_t InMemory() const { return this->total - this->files_end; }

  /// Begins to move all texts in memory to files. The work returned writes and
  /// syncs them, on any thread; then Archived is called. Nothing to do gives an
  /// empty function.
  std::function<void()> Archive();
  void Archived();
  /// Forgets texts before `offset`, by whole files.
  void DropBefore(std::uint64_t offset);

  /// All bytes from `first` on, for a member that lacks them.
  std::string Export(std::uint64_t first) const;
  /// Takes bytes that begin at `first` into files, as far as they are not here
  /// yet. Writes and syncs at once. Open follows.
  void Import(std::uint64_t first, std::string_view bytes);

 private:
  storage::FileSystem& files;
  storage::BlobStore blobs;
  std::map<std::uint64_t, std::string> recent;  ///< By offset.
  std::uint64_t files_end = 0;
  std::uint64_t total = 0;
  storage::AppendPlan plan;  ///< Of the move under way; empty length: none.
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_RESULTTEXTS_H_
