#include "coordination/configurationhistory.h"

namespace papayarack::coordination {

void ConfigurationHistory::Set(std::uint64_t version, std::string_view text) {
  if (version == this->current.version) {
    return;
  }
  this->current = SplitText(version, text);
  this->index_of_current = ChunkIndex(this->current);
  auto& hashes = this->hashes_by_version[version];
  for (const ChunkName& chunk : this->current.chunks) {
    hashes.insert(chunk.hash);
  }
  if (this->hashes_by_version.size() > kVersionsKept) {
    this->hashes_by_version.erase(this->hashes_by_version.begin());
  }
}

std::optional<std::vector<ChunkName>> ConfigurationHistory::FindMissing(
    std::uint64_t version) const {
  const auto known = this->hashes_by_version.find(version);
  if (known == this->hashes_by_version.end() && version != 0) {
    return std::nullopt;
  }
  std::vector<ChunkName> missing;
  std::size_t bytes = 0;
  for (const ChunkName& chunk : this->current.chunks) {
    if (version != 0 && known->second.count(chunk.hash) > 0) {
      continue;
    }
    bytes += chunk.size;
    if (bytes > kMaxInlineBytes) {
      return std::nullopt;
    }
    missing.push_back(chunk);
  }
  return missing;
}

bool ConfigurationHistory::FitsInline(std::uint64_t version) const {
  return this->FindMissing(version).has_value();
}

std::optional<std::vector<std::string>> ConfigurationHistory::InlineChunks(
    std::uint64_t version, std::string_view text) const {
  const auto missing = this->FindMissing(version);
  if (!missing.has_value()) {
    return std::nullopt;
  }
  std::vector<std::string> chunks;
  for (const ChunkName& chunk : *missing) {
    chunks.emplace_back(*this->index_of_current.Find(text, chunk.hash));
  }
  return chunks;
}

}  // namespace papayarack::coordination
