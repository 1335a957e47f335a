#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/configurationhistory.h"
#include "coordination/contentchunks.h"
#include "coordination/coordinationmessages.h"
#include "coordination/tests/routestext.h"
#include "global/hash.h"

namespace papayarack::coordination {
namespace {

/// The largest chunk that SplitText makes, in bytes.
constexpr std::size_t kLargestChunk = 16U << 10U;

std::vector<std::string> Chunks(const TextManifest& manifest,
                                std::string_view text) {
  std::vector<std::string> chunks;
  for (const ChunkName& chunk : manifest.chunks) {
    chunks.emplace_back(text.substr(0, chunk.size));
    text.remove_prefix(chunk.size);
  }
  return chunks;
}

/// The number of chunks of `after` that `before` lacks.
std::size_t Lacking(const TextManifest& before, const TextManifest& after) {
  const ChunkIndex held(before);
  return static_cast<std::size_t>(std::ranges::count_if(
      after.chunks,
      [&held](const ChunkName& chunk) { return !held.Has(chunk.hash); }));
}

/// Replaces up to `kMaxChanged` bytes at a random position by up to as many
/// others.
std::string ChangedSomewhere(const std::string& text) {
  constexpr std::size_t kMaxChanged = 40;
  const auto place = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
  const auto gone = *rc::gen::inRange<std::size_t>(0, kMaxChanged);
  const auto come = *rc::gen::inRange<std::size_t>(0, kMaxChanged);
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  std::string changed = text;
  changed.replace(place, gone, RoutesText(come, seed));
  return changed;
}

}  // namespace

TEST_CASE("a text is split into chunks by its content") {
  SECTION("and the chunks join to the text") {
    CHECK(rc::check("of any size", [] {
      const auto size = *rc::gen::inRange<std::size_t>(0, 100'000);
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      const std::string text = RoutesText(size, seed);
      const TextManifest manifest = SplitText(3, text);
      RC_ASSERT(manifest.version == 3);
      RC_ASSERT(manifest.Bytes() == text.size());
      RC_ASSERT(manifest.digest == Hash64(text));
      const std::vector<std::string> chunks = Chunks(manifest, text);
      RC_ASSERT(std::accumulate(chunks.begin(), chunks.end(), std::string()) ==
                text);
      const ChunkIndex index(manifest);
      for (std::size_t i = 0; i < chunks.size(); ++i) {
        const ChunkName& name = manifest.chunks.at(i);
        RC_ASSERT(name.hash == Hash64(chunks.at(i)));
        RC_ASSERT(name.size > 0U);
        RC_ASSERT(name.size <= kLargestChunk);
        RC_ASSERT(index.Find(text, name.hash) == chunks.at(i));
      }
    }));
  }
  SECTION("and a change of a few bytes changes few chunks") {
    // A new boundary may split one chunk, and a removed one may join two. If
    // the smallest or largest size moved a boundary, the following chunks
    // change until both versions have a boundary in common again.
    constexpr std::size_t kMaxChanged = 5;
    std::size_t most = 0;
    std::size_t sum = 0;
    std::size_t cases = 0;
    CHECK(rc::check("anywhere in 400 KB", [&] {
      constexpr std::size_t kBytes = 400'000;
      const std::string text =
          RoutesText(kBytes, *rc::gen::arbitrary<std::uint64_t>());
      const std::string changed = ChangedSomewhere(text);
      const std::size_t lacking =
          Lacking(SplitText(1, text), SplitText(2, changed));
      most = std::max(most, lacking);
      sum += lacking;
      ++cases;
      RC_ASSERT(lacking <= kMaxChanged);
    }));
    INFO("most " << most << ", sum " << sum << " of " << cases);
    // Mostly one chunk, the one that contains the change.
    CHECK(sum <= cases + cases / 4);
  }
  SECTION("and 400 KB make about eighty chunks") {
    constexpr std::size_t kBytes = 400'000;
    constexpr std::uint64_t kSeeds = 20;
    std::size_t chunks = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      chunks += SplitText(1, RoutesText(kBytes, seed)).chunks.size();
    }
    INFO("average " << kSeeds * kBytes / chunks << " bytes");
    CHECK(chunks / kSeeds >= 70);
    CHECK(chunks / kSeeds <= 110);
  }
  SECTION("and an empty text has no chunks") {
    CHECK(SplitText(1, "").chunks.empty());
    CHECK(SplitText(1, "").Bytes() == 0);
    CHECK_FALSE(ChunkIndex(SplitText(1, "")).Find("", Hash64("")).has_value());
  }
}

TEST_CASE("a text is assembled from chunks") {
  SECTION("in any order, with duplicates and foreign chunks") {
    CHECK(rc::check("and is complete with the last chunk", [] {
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      const auto size = *rc::gen::inRange<std::size_t>(1, 100'000);
      const std::string text = RoutesText(size, seed);
      const std::string foreign = RoutesText(20'000, seed + 1);
      const TextManifest manifest = SplitText(7, text);
      std::vector<std::string> arriving = Chunks(manifest, text);
      const std::size_t own = arriving.size();
      for (std::size_t i = 0; i < own; i += 3) {
        arriving.push_back(arriving.at(i));
      }
      for (std::string& chunk : Chunks(SplitText(1, foreign), foreign)) {
        arriving.push_back(std::move(chunk));
      }
      std::mt19937_64 random(seed);
      std::ranges::shuffle(arriving, random);
      const ChunkIndex names(manifest);
      TextAssembly assembly;
      assembly.Begin(manifest);
      std::set<std::uint64_t> came;
      std::size_t bytes = 0;
      for (const std::string& chunk : arriving) {
        const std::uint64_t hash = Hash64(chunk);
        const bool wanted = names.Has(hash);
        RC_ASSERT(assembly.TakeChunk(chunk) == wanted);
        bytes += wanted && came.insert(hash).second ? chunk.size() : 0;
        RC_ASSERT(assembly.TakenBytes() == bytes);
        RC_ASSERT(assembly.MissingBytes() == text.size() - bytes);
        RC_ASSERT(assembly.Missing(1).empty() == (bytes == text.size()));
        if (bytes < text.size()) {
          RC_ASSERT_FALSE(assembly.Finish().has_value());
        }
      }
      RC_ASSERT(assembly.Finish() == text);
    }));
  }
  SECTION("with at least one and at most the given bytes per request") {
    const std::string text = RoutesText(200'000, 4);
    const TextManifest manifest = SplitText(1, text);
    TextAssembly assembly;
    assembly.Begin(manifest);
    constexpr std::size_t kPart = 64U << 10U;
    std::size_t sum = 0;
    for (const ChunkName& chunk : assembly.Missing(kPart)) {
      sum += chunk.size;
    }
    CHECK(sum <= kPart);
    CHECK(sum > kPart - kLargestChunk);
    REQUIRE(assembly.Missing(0).size() == 1);
    CHECK(assembly.Missing(0).front().hash == manifest.chunks.front().hash);
  }
  SECTION("that may repeat within the text") {
    // A run of equal bytes has boundaries only at the largest size.
    const std::string text(5 * kLargestChunk, 'a');
    const TextManifest manifest = SplitText(1, text);
    REQUIRE(manifest.chunks.size() >= 5);
    TextAssembly assembly;
    assembly.Begin(manifest);
    REQUIRE(assembly.Missing(text.size()).size() == 1);
    CHECK(assembly.MissingBytes() == manifest.chunks.front().size);
    CHECK(assembly.TakeChunk(text.substr(0, manifest.chunks.front().size)));
    CHECK(assembly.MissingBytes() == 0);
    CHECK(assembly.Finish() == text);
  }
  SECTION("also if it has no chunks") {
    TextAssembly assembly;
    assembly.Begin(SplitText(1, ""));
    CHECK(assembly.MissingBytes() == 0);
    CHECK(assembly.Missing(1).empty());
    CHECK_FALSE(assembly.TakeChunk(""));
    CHECK(assembly.Finish() == "");
  }
  SECTION("including those of the previous version") {
    const std::string before = RoutesText(200'000, 4);
    std::string after = before;
    after.insert(100'000, "a route more");
    const TextManifest manifest = SplitText(2, after);
    TextAssembly assembly;
    SECTION("if that is complete") {
      assembly.Begin(manifest);
      assembly.TakeText(before);
    }
    SECTION("if that was being assembled") {
      assembly.Begin(SplitText(1, before));
      assembly.TakeText(before);
      assembly.Begin(manifest);
    }
    CHECK(assembly.TakenBytes() > 150'000);
    CHECK(assembly.MissingBytes() <= 3 * kLargestChunk);
    for (const ChunkName& chunk : assembly.Missing(after.size())) {
      assembly.TakeChunk(
          std::string(*ChunkIndex(manifest).Find(after, chunk.hash)));
    }
    CHECK(assembly.Finish() == after);
  }
  SECTION("and is refused if the digest differs") {
    const std::string text = RoutesText(50'000, 4);
    TextManifest manifest = SplitText(1, text);
    ++manifest.digest;
    TextAssembly assembly;
    assembly.Begin(manifest);
    assembly.TakeText(text);
    CHECK(assembly.MissingBytes() == 0);
    CHECK_FALSE(assembly.Finish().has_value());
    // All chunks are dropped, so the next call fails too.
    CHECK(assembly.TakenBytes() == 0);
    CHECK(assembly.MissingBytes() == text.size());
    CHECK_FALSE(assembly.Finish().has_value());
    CHECK(assembly.MissingBytes() == text.size());
  }
}

TEST_CASE("a small change is sent inline") {
  constexpr std::size_t kBytes = 100'000;
  const std::string first = RoutesText(kBytes, 3);
  ConfigurationHistory config_history;
  config_history.Set(1, first);

  SECTION("and so is a small text to a process without any") {
    ConfigurationHistory small;
    const std::string text =
        RoutesText(ConfigurationHistory::kMaxInlineBytes, 1);
    small.Set(1, text);
    REQUIRE(small.FitsInline(0));
    const auto chunks = small.InlineChunks(0, text);
    REQUIRE(chunks.has_value());
    CHECK(std::accumulate(chunks->begin(), chunks->end(), std::string()) ==
          text);
    small.Set(2, text + "x");
    CHECK_FALSE(small.FitsInline(0));
    CHECK(small.FitsInline(1));
  }
  SECTION("but not a large text") {
    CHECK_FALSE(config_history.FitsInline(0));
    CHECK_FALSE(config_history.InlineChunks(0, first).has_value());
  }
  SECTION("as the chunks that a process with the previous version lacks") {
    std::string second = first;
    second.insert(kBytes / 2, "a route more");
    config_history.Set(2, second);
    REQUIRE(config_history.FitsInline(1));
    const auto chunks = config_history.InlineChunks(1, second);
    REQUIRE(chunks.has_value());
    TextAssembly assembly;
    assembly.Begin(config_history.manifest());
    assembly.TakeText(first);
    for (const std::string& chunk : *chunks) {
      CHECK(assembly.TakeChunk(chunk));
    }
    CHECK(assembly.Finish() == second);
    SECTION("which are none for the newest version") {
      CHECK(config_history.InlineChunks(2, second) ==
            std::vector<std::string>());
    }
    SECTION("but not if all of the text is new") {
      config_history.Set(3, RoutesText(kBytes, 9));
      CHECK_FALSE(config_history.FitsInline(1));
      CHECK_FALSE(config_history.FitsInline(2));
    }
  }
  SECTION("while the process's version is remembered") {
    std::string text = first;
    const std::uint64_t last = ConfigurationHistory::kVersionsKept;
    for (std::uint64_t version = 2; version <= last; ++version) {
      text += "x";
      config_history.Set(version, text);
    }
    CHECK(config_history.FitsInline(1));
    config_history.Set(last + 1, text + "x");
    CHECK_FALSE(config_history.FitsInline(1));
    CHECK(config_history.FitsInline(2));
    // An unknown version is treated like a forgotten one.
    CHECK_FALSE(config_history.FitsInline(last + 2));
  }
  SECTION("and setting the same version again changes nothing") {
    const std::uint64_t digest = config_history.manifest().digest;
    config_history.Set(1, "another");
    CHECK(config_history.manifest().digest == digest);
  }
}

}  // namespace papayarack::coordination
