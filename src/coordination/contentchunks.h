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

/// A text as a list of chunks, so that a process that holds an earlier version
/// fetches only what differs, and one whose transfer broke goes on with what it
/// has. Nothing here does I/O.
namespace papayarack::coordination {

/// Names a chunk by its content.
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

/// Splits where the content says so: an insertion moves no boundary but those
/// beside it. Chunks have 4.9 KB on average, 16 KiB at most; a text of 400 KB
/// becomes eighty.
TextManifest SplitText(std::uint64_t version, std::string_view text);

/// Finds the chunks of one text. Thread safety: none.
class ChunkIndex {
 public:
  ChunkIndex() = default;
  explicit ChunkIndex(const TextManifest& manifest);

  /// The chunk's bytes within `text`, which is the text that the manifest was
  /// made from; nothing where it has no such chunk.
  std::optional<std::string_view> Find(std::string_view text,
                                       std::uint64_t hash) const;
  bool Has(std::uint64_t hash) const { return this->places.count(hash) > 0; }

 private:
  struct Place {
    std::size_t offset = 0;
    std::size_t size = 0;
  };
  std::unordered_map<std::uint64_t, Place> places;
};

/// A text on its way: what is there of it, what is missing. Thread safety:
/// none.
class TextAssembly {
 public:
  /// Starts on the text of `manifest`; chunks taken for another text before
  /// stay, as successive versions share most of them.
  void Begin(TextManifest manifest);
  /// Takes the chunks of a text that is held in full.
  void TakeText(std::string_view text);
  /// Takes one chunk, whose name follows from its bytes; false where the text
  /// has no such chunk.
  bool TakeChunk(std::string bytes);
  /// The next chunks to ask for, in order, of at most `bytes` together (one at
  /// least, if any is missing), without those whose hashes are in `except`.
  std::vector<ChunkName> Missing(
      std::size_t bytes,
      const std::unordered_set<std::uint64_t>& except = {}) const;
  bool Has(std::uint64_t hash) const { return this->taken.count(hash) > 0; }
  std::size_t MissingBytes() const;
  std::size_t TakenBytes() const { return this->taken_bytes; }
  /// The whole text; nothing while chunks are missing, or where they do not
  /// make up the text that was named (then all are dropped).
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
