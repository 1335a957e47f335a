#ifndef PAPAYARACK_COORDINATION_CONFIGURATIONHISTORY_H_
#define PAPAYARACK_COORDINATION_CONFIGURATIONHISTORY_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "coordination/contentchunks.h"

namespace papayarack::coordination {

/// The chunks of the configuration in force, as a member of the group serves
/// them, and the chunk hashes of the last versions, to compute what a process
/// lacks. Thread safety: none.
class ConfigurationHistory {
 public:
  /// A change of at most this many bytes is sent in the leader's reply; a
  /// larger one is fetched. 16 KB for each of 130 processes are 2 MB, 0.2 s of
  /// a link of 100 Mbit/s; one more route is one chunk of 4 KB.
  static constexpr std::size_t kMaxInlineBytes = 16U << 10U;
  /// Versions remembered; a process that is further behind fetches.
  static constexpr std::size_t kVersionsKept = 8;

  /// Sets the text in force if its version differs from the current one.
  void Set(std::uint64_t version, std::string_view text);
  const TextManifest& manifest() const { return this->current; }
  const ChunkIndex& index() const { return this->index_of_current; }

  /// The chunks that a process with `version` (zero: no text) lacks. `text`
  /// must be the one passed to Set. Empty if the version is unknown or the
  /// chunks exceed kMaxInlineBytes.
  std::optional<std::vector<std::string>> InlineChunks(
      std::uint64_t version, std::string_view text) const;
  bool FitsInline(std::uint64_t version) const;

 private:
  std::optional<std::vector<ChunkName>> FindMissing(
      std::uint64_t version) const;

  TextManifest current;
  ChunkIndex index_of_current;
  std::map<std::uint64_t, std::unordered_set<std::uint64_t>> hashes_by_version;
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_CONFIGURATIONHISTORY_H_
