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

/// Location and checksum of the text of a recorded result.
struct TextRef {
  std::uint64_t offset = 0;
  std::uint32_t length = 0;
  std::uint64_t hash = 0;
  MSGPACK_DEFINE(offset, length, hash)
};

/// The texts of recorded results. Those since the last snapshot are kept in
/// memory, older ones in files. Offsets are the same on every member.
///
/// If the state and each snapshot held the texts of all results, a store with
/// little memory would run out of it in the course of a day. Thread safety:
/// none, the loop's thread; only the function that Archive returns may run on
/// another thread.
class ResultTexts {
 public:
  explicit ResultTexts(storage::FileSystem& files);

  /// Restores the state of a snapshot taken at `length` bytes, which refers to
  /// no text before offset `first_needed`. Throws
  /// ResultError(kStorageDamaged), without any change, when the files end
  /// before the texts that it refers to.
  void Open(std::uint64_t length, std::uint64_t first_needed = 0);
  TextRef Add(std::string text);
  /// Throws ResultError(kStorageDamaged) if the checksum does not match, and
  /// kNotFound if the text was dropped.
  std::string Read(const TextRef& ref) const;
  /// Total bytes ever added, which is the offset of the next text.
  std::uint64_t length() const { return this->total; }
  /// Bytes of texts in memory.
  std::uint64_t InMemory() const { return this->total - this->files_end; }

  /// Starts to move all texts in memory to files. The returned function writes
  /// and syncs them and may run on any thread; call Archived after it. Returns
  /// an empty function if there is nothing to move.
  std::function<void()> Archive();
  void Archived();
  /// Deletes files that only hold texts before `offset`.
  void DropBefore(std::uint64_t offset);

  /// Returns all bytes from offset `first` on, for a member that lacks them.
  std::string Export(std::uint64_t first) const;
  /// Stores bytes that begin at offset `first` in files, except those already
  /// stored. Writes and syncs at once, and removes nothing that a snapshot on
  /// the disk may refer to. Call Open afterwards. Precondition: no function
  /// that Archive returned is running.
  void Import(std::uint64_t first, std::string_view bytes);

 private:
  /// Whether the files hold all texts of the move in progress.
  bool MoveIsWritten() const;

  storage::FileSystem& files;
  storage::BlobStore blobs;
  std::map<std::uint64_t, std::string> recent;  ///< By offset.
  std::uint64_t files_end = 0;
  std::uint64_t total = 0;
  storage::AppendPlan plan;  ///< Of the move in progress; zero length if none.
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_RESULTTEXTS_H_
