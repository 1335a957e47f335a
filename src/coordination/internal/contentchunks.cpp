#include "coordination/contentchunks.h"

#include <array>
#include <numeric>
#include <utility>

#include "global/hash.h"

namespace papayarack::coordination {
namespace {

constexpr std::size_t kSmallestChunk = 1U << 10U;
constexpr std::size_t kLargestChunk = 16U << 10U;
/// Once a chunk has the smallest size, it ends at the next byte where these
/// bits of the rolling hash are zero: on average 4 KiB further on. The upper
/// bits are used because they depend on the last 64 bytes.
constexpr unsigned kBoundaryBits = 12;
constexpr std::uint64_t kBoundaryMask =
    ((std::uint64_t{1} << kBoundaryBits) - 1) << (64U - kBoundaryBits);

/// Gear hash table: a pseudo-random number per byte value, the same in all
/// processes.
std::array<std::uint64_t, 256> MakeGears() {
  std::array<std::uint64_t, 256> gears{};
  std::uint64_t seed = 0;
  for (std::uint64_t& gear : gears) {
    gear = Hash64("content boundary", ++seed);
  }
  return gears;
}

std::size_t NextChunk(std::string_view text) {
  static const std::array<std::uint64_t, 256> kGears = MakeGears();
  const std::size_t longest = std::min(text.size(), kLargestChunk);
  std::uint64_t rolling = 0;
  for (std::size_t i = 0; i < longest; ++i) {
    rolling = (rolling << 1U) + kGears[static_cast<unsigned char>(text[i])];
    if (i + 1 >= kSmallestChunk && (rolling & kBoundaryMask) == 0) {
      return i + 1;
    }
  }
  return longest;
}

}  // namespace

std::size_t TextManifest::Bytes() const {
  return std::accumulate(
      this->chunks.begin(), this->chunks.end(), std::size_t{0},
      [](std::size_t sum, const ChunkName& chunk) { return sum + chunk.size; });
}

TextManifest SplitText(std::uint64_t version, std::string_view text) {
  TextManifest manifest;
  manifest.version = version;
  manifest.digest = Hash64(text);
  while (!text.empty()) {
    const std::size_t size = NextChunk(text);
    manifest.chunks.push_back(
        {Hash64(text.substr(0, size)), static_cast<std::uint32_t>(size)});
    text.remove_prefix(size);
  }
  return manifest;
}

ChunkIndex::ChunkIndex(const TextManifest& manifest) {
  std::size_t offset = 0;
  for (const ChunkName& chunk : manifest.chunks) {
    this->positions[chunk.hash] = {offset, chunk.size};
    offset += chunk.size;
  }
}

std::optional<std::string_view> ChunkIndex::Find(std::string_view text,
                                                 std::uint64_t hash) const {
  const auto found = this->positions.find(hash);
  if (found == this->positions.end()) {
    return std::nullopt;
  }
  return text.substr(found->second.offset, found->second.size);
}

void TextAssembly::Begin(TextManifest manifest) {
  this->wanted = std::move(manifest);
  this->names.clear();
  for (const ChunkName& chunk : this->wanted.chunks) {
    this->names.insert(chunk.hash);
  }
  std::erase_if(this->taken, [this](const auto& chunk) {
    return this->names.count(chunk.first) == 0;
  });
  this->taken_bytes = 0;
  for (const auto& [hash, bytes] : this->taken) {
    this->taken_bytes += bytes.size();
  }
}

void TextAssembly::TakeText(std::string_view text) {
  while (!text.empty()) {
    const std::size_t size = NextChunk(text);
    this->TakeChunk(std::string(text.substr(0, size)));
    text.remove_prefix(size);
  }
}

bool TextAssembly::TakeChunk(std::string bytes) {
  const std::uint64_t hash = Hash64(bytes);
  if (this->names.count(hash) == 0) {
    return false;
  }
  const std::size_t size = bytes.size();
  if (this->taken.emplace(hash, std::move(bytes)).second) {
    this->taken_bytes += size;
  }
  return true;
}

std::vector<ChunkName> TextAssembly::Missing(
    std::size_t bytes, const std::unordered_set<std::uint64_t>& except) const {
  std::vector<ChunkName> missing;
  std::unordered_set<std::uint64_t> listed;
  std::size_t sum = 0;
  for (const ChunkName& chunk : this->wanted.chunks) {
    if (this->Has(chunk.hash) || except.count(chunk.hash) > 0 ||
        !listed.insert(chunk.hash).second) {
      continue;
    }
    sum += chunk.size;
    if (sum > bytes && !missing.empty()) {
      break;
    }
    missing.push_back(chunk);
  }
  return missing;
}

std::size_t TextAssembly::MissingBytes() const {
  std::size_t bytes = 0;
  std::unordered_set<std::uint64_t> listed;
  for (const ChunkName& chunk : this->wanted.chunks) {
    const bool missing = this->taken.count(chunk.hash) == 0;
    bytes += missing && listed.insert(chunk.hash).second ? chunk.size : 0;
  }
  return bytes;
}

std::optional<std::string> TextAssembly::Finish() {
  std::string text;
  text.reserve(this->wanted.Bytes());
  for (const ChunkName& chunk : this->wanted.chunks) {
    const auto found = this->taken.find(chunk.hash);
    if (found == this->taken.end()) {
      return std::nullopt;
    }
    text += found->second;
  }
  this->taken.clear();
  this->taken_bytes = 0;
  if (Hash64(text) != this->wanted.digest) {
    return std::nullopt;
  }
  return text;
}

}  // namespace papayarack::coordination
