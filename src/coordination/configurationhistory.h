#ifndef PAPAYARACK_COORDINATION_CONFIGURATIONSHELF_H_
#define PAPAYARACK_COORDINATION_CONFIGURATIONSHELF_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "coordination/contentchunks.h"

namespace papayarack::coordination {

/// The configuration in force as a member of the group gives it to others: its
/// chunks, and what the versions just before it consisted of. Thread safety:
/// none.
class ConfigurationShelf {
 public:
  /// A change of at most this many bytes leaves with the leader's answer; a
  /// larger one is fetched. 16 KB for each of 130 processes are 2 MB, 0.2 s of
  /// a link of 100 Mbit/s; a route more is one chunk of 4 KB.
  static constexpr std::size_t kInlineBytes = 16U << 10U;
  /// Versions remembered: a process that is further behind fetches.
  static constexpr std::size_t kVersionsKept = 8;

  /// Takes the text in force if its version is another than that held.
  void Set(std::uint64_t version, std::string_view text);
  const TextManifest& manifest() const { return this->current; }
  const ChunkIndex& index() const { return this->places; }

  /// The chunks that a holder of `version` (zero: of nothing) lacks, from
  /// `text`, the one that was set; nothing where that is not known or too much.
  std::optional<std::vector<std::string>> InlineChunks(
      std::uint64_t version, std::string_view text) const;
  bool GoesInline(std::uint64_t version) const;

 private:
  std::optional<std::vector<ChunkName>> Lacking(std::uint64_t version) const;

  TextManifest current;
  ChunkIndex places;
  std::map<std::uint64_t, std::unordered_set<std::uint64_t>> history;
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_CONFIGURATIONSHELF_H_
