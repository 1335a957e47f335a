#include "coordination/configurationchange.h"

#include <unordered_set>
#include <utility>

#include "coordination/contentchunks.h"

namespace papayarack::coordination {

std::optional<ChangeConfiguration> ChangeBetween(
    std::string_view before, const SubmitConfiguration& after) {
  const ChunkIndex held(SplitText(0, before));
  ChangeConfiguration change;
  change.manifest = SplitText(after.version, after.text);
  std::unordered_set<std::uint64_t> added;
  std::string_view rest = after.text;
  std::size_t bytes = 0;
  for (const ChunkName& chunk : change.manifest.chunks) {
    const std::string_view part = rest.substr(0, chunk.size);
    rest.remove_prefix(chunk.size);
    if (held.Has(chunk.hash) || !added.insert(chunk.hash).second) {
      continue;
    }
    change.chunks.emplace_back(part);
    bytes += part.size();
  }
  // On a hash collision the chunks yield another text; send the full text then.
  const bool small = bytes <= after.text.size() / 2;
  if (!small || ChangedText(before, change) != after.text) {
    return std::nullopt;
  }
  return change;
}

std::optional<std::string> ChangedText(std::string_view before,
                                       const ChangeConfiguration& change) {
  TextAssembly assembly;
  assembly.Begin(change.manifest);
  assembly.TakeText(before);
  for (const std::string& chunk : change.chunks) {
    assembly.TakeChunk(chunk);
  }
  return assembly.Finish();
}

}  // namespace papayarack::coordination
