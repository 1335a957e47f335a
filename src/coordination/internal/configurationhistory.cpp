#include "coordination/configurationshelf.h"

namespace papayarack::coordination {

void ConfigurationShelf::Set(std::uint64_t version, std::string_view text) {
  if (version == this->current.version) {
    return;
  }
  this->current = SplitText(version, text);
  this->places = ChunkIndex(this->current);
  auto& names = this->history[version];
  for (const ChunkName& chunk : this->current.chunks) {
    names.insert(chunk.hash);
  }
  if (this->history.size() > kVersionsKept) {
    this->history.erase(this->history.begin());
  }
}

std::optional<std::vector<ChunkName>> ConfigurationShelf::Lacking(
    std::uint64_t version) const {
  const auto known = this->history.find(version);
  if (known == this->history.end() && version != 0) {
    return std::nullopt;
  }
  std::vector<ChunkName> lacking;
  std::size_t bytes = 0;
  for (const ChunkName& chunk : this->current.chunks) {
    if (version != 0 && known->second.count(chunk.hash) > 0) {
      continue;
    }
    bytes += chunk.size;
    if (bytes > kInlineBytes) {
      return std::nullopt;
    }
    lacking.push_back(chunk);
  }
  return lacking;
}

bool ConfigurationShelf::GoesInline(std::uint64_t version) const {
  return this->Lacking(version).has_value();
}

std::optional<std::vector<std::string>> ConfigurationShelf::InlineChunks(
    std::uint64_t version, std::string_view text) const {
  const auto lacking = this->Lacking(version);
  if (!lacking.has_value()) {
    return std::nullopt;
  }
  std::vector<std::string> chunks;
  for (const ChunkName& chunk : *lacking) {
    chunks.emplace_back(*this->places.Find(text, chunk.hash));
  }
  return chunks;
}

}  // namespace papayarack::coordination
