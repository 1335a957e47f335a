#ifndef PAPAYARACK_COORDINATION_CONTENTCHUNKS_H_
#define PAPAYARACK_COORDINATION_CONTENTCHUNKS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "global/messagecodec.h"

/// Splits a text into chunks, so that a process with an earlier version fetches
/// only the differences, and an interrupted transfer resumes with the chunks it
/// has. Nothing here does I/O.
namespace papayarack::coordination {

/// Identifies a chunk by its content.
struct ChunkName {
  std::uint64_t hash = 0;
  std::uint32_t size = 0;  ///< In bytes.
  MSGPACK_DEFINE(hash, size)
};

/// The chunks that a text consists of, in order.
struct TextManifest {
  std::uint64_t version = 0;  ///< Zero: no text.
  std::uint64_t digest = 0;   ///< Hash of the whole text.
  std::vector<ChunkName> chunks;
  MSGPACK_DEFINE(version, digest, chunks)

  std::size_t Bytes() const;
};

/// Content-defined chunking: an insertion moves only the boundaries next to it.
/// Chunks have 4.9 KB on average, 16 KiB at most; a text of 400 KB has about
/// eighty.
TextManifest SplitText(std::uint64_t version, std::string_view text);

/// Finds the chunks of one text. Thread safety: none.
class ChunkIndex {
 public:
  ChunkIndex() = default;
  explicit ChunkIndex(const TextManifest& manifest);

  /// The chunk's bytes within `text`, which must be the text that the manifest
  /// was made from. Empty if it has no such chunk.
  std::optional<std::string_view> Find(std::string_view text,
                                       std::uint64_t hash) const;
  bool Has(std::uint64_t hash) const { return this->positions.count(hash) > 0; }

 private:
  struct Position {
    std::size_t offset = 0;
    std::size_t size = 0;
  };
  std::unordered_map<std::uint64_t, Position> positions;
};

/// A text that is being assembled from chunks. Thread safety: none.
class TextAssembly {
 public:
  /// Starts assembling the text of `manifest`. Keeps chunks of the previous
  /// text that it needs, as successive versions share most of them.
  void Begin(TextManifest manifest);
  /// Adds the chunks of a complete text.
  void TakeText(std::string_view text);
  /// Adds a chunk, identified by the hash of its bytes. Returns false if the
  /// text has no such chunk.
  bool TakeChunk(std::string bytes);
  /// The next missing chunks, in order, except those whose hashes are in
  /// `except`. Their total size is at most `bytes`, but one chunk is returned
  /// even if it is larger.
  std::vector<ChunkName> Missing(
      std::size_t bytes,
      const std::unordered_set<std::uint64_t>& except = {}) const;
  bool Has(std::uint64_t hash) const { return this->taken.count(hash) > 0; }
  std::size_t MissingBytes() const;
  std::size_t TakenBytes() const { return this->taken_bytes; }
  /// The complete text. Empty while chunks are missing, or if the digest does
  /// not match (all chunks are then dropped).
  std::optional<std::string> Finish();
  const TextManifest& manifest() const { return this->wanted; }

 private:
  TextManifest wanted;
  std::unordered_set<std::uint64_t> names;
  std::unordered_map<std::uint64_t, std::string> taken;
  std::size_t taken_bytes = 0;
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_CONTENTCHUNKS_H_
