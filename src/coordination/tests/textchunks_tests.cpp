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

#include "coordination/configurationshelf.h"
#include "coordination/contentchunks.h"
#include "coordination/coordinationmessages.h"
#include "coordination/tests/routestext.h"
#include "global/hash.h"

namespace papayarack::coordination {
namespace {

/// Bytes; the largest chunk that SplitText makes.
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

/// How many chunks a holder of `before` lacks of `after`.
std::size_t Lacking(const TextManifest& before, const TextManifest& after) {
  const ChunkIndex held(before);
  return static_cast<std::size_t>(std::ranges::count_if(
      after.chunks,
      [&held](const ChunkName& chunk) { return !held.Has(chunk.hash); }));
}

/// Replaces at most `kMostChanged` bytes somewhere by as many others at most.
std::string ChangedSomewhere(const std::string& text) {
  constexpr std::size_t kMostChanged = 40;
  const auto place = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
  const auto gone = *rc::gen::inRange<std::size_t>(0, kMostChanged);
  const auto come = *rc::gen::inRange<std::size_t>(0, kMostChanged);
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  std::string changed = text;
  changed.replace(place, gone, RoutesText(come, seed));
  return changed;
}

}  // namespace

TEST_CASE("a text is split where its content says so") {
  SECTION("into chunks that join to the text") {
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
  SECTION("so that a change of a few bytes changes few chunks") {
    // A new boundary may split one chunk, a lost one join two; and where the
    // smallest or largest size moved a boundary, the chunks behind it move
    // until both versions meet at the same one again.
    constexpr std::size_t kMostChanged = 5;
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
      RC_ASSERT(lacking <= kMostChanged);
    }));
    INFO("most " << most << ", sum " << sum << " of " << cases);
    // One chunk mostly: the one that holds the change.
    CHECK(sum <= cases + cases / 4);
  }
  SECTION("into about eighty chunks for 400 KB") {
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
  SECTION("and an empty one into none") {
    CHECK(SplitText(1, "").chunks.empty());
    CHECK(SplitText(1, "").Bytes() == 0);
    CHECK_FALSE(ChunkIndex(SplitText(1, "")).Find("", Hash64("")).has_value());
  }
}

TEST_CASE("a text is put together from chunks") {
  SECTION("in any order, some twice, among chunks of other texts") {
    CHECK(rc::check("and is whole with the last", [] {
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
  SECTION("asking for no more at once than it may, but for one at least") {
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
  SECTION("which may repeat within it") {
    // A run of one byte has no boundary but at the largest size.
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
  SECTION("also when there are none") {
    TextAssembly assembly;
    assembly.Begin(SplitText(1, ""));
    CHECK(assembly.MissingBytes() == 0);
    CHECK(assembly.Missing(1).empty());
    CHECK_FALSE(assembly.TakeChunk(""));
    CHECK(assembly.Finish() == "");
  }
  SECTION("those of the version before it included") {
    const std::string before = RoutesText(200'000, 4);
    std::string after = before;
    after.insert(100'000, "a route more");
    const TextManifest manifest = SplitText(2, after);
    TextAssembly assembly;
    SECTION("when that is held in full") {
      assembly.Begin(manifest);
      assembly.TakeText(before);
    }
    SECTION("when that was under way") {
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
  SECTION("and is not taken where they make up another text") {
    const std::string text = RoutesText(50'000, 4);
    TextManifest manifest = SplitText(1, text);
    ++manifest.digest;
    TextAssembly assembly;
    assembly.Begin(manifest);
    assembly.TakeText(text);
    CHECK(assembly.MissingBytes() == 0);
    CHECK_FALSE(assembly.Finish().has_value());
    // Nothing of it is trusted any more; asked again it still says no.
    CHECK(assembly.TakenBytes() == 0);
    CHECK(assembly.MissingBytes() == text.size());
    CHECK_FALSE(assembly.Finish().has_value());
    CHECK(assembly.MissingBytes() == text.size());
  }
}

TEST_CASE("a change leaves with the answer where it is small") {
  constexpr std::size_t kBytes = 100'000;
  const std::string first = RoutesText(kBytes, 3);
  ConfigurationShelf shelf;
  shelf.Set(1, first);

  SECTION("and all of it goes to those who have nothing when it is small") {
    ConfigurationShelf small;
    const std::string text = RoutesText(ConfigurationShelf::kInlineBytes, 1);
    small.Set(1, text);
    REQUIRE(small.GoesInline(0));
    const auto chunks = small.InlineChunks(0, text);
    REQUIRE(chunks.has_value());
    CHECK(std::accumulate(chunks->begin(), chunks->end(), std::string()) ==
          text);
    small.Set(2, text + "x");
    CHECK_FALSE(small.GoesInline(0));
    CHECK(small.GoesInline(1));
  }
  SECTION("but a large text does not") {
    CHECK_FALSE(shelf.GoesInline(0));
    CHECK_FALSE(shelf.InlineChunks(0, first).has_value());
  }
  SECTION("to a holder of the version before: what it lacks") {
    std::string second = first;
    second.insert(kBytes / 2, "a route more");
    shelf.Set(2, second);
    REQUIRE(shelf.GoesInline(1));
    const auto chunks = shelf.InlineChunks(1, second);
    REQUIRE(chunks.has_value());
    TextAssembly assembly;
    assembly.Begin(shelf.manifest());
    assembly.TakeText(first);
    for (const std::string& chunk : *chunks) {
      CHECK(assembly.TakeChunk(chunk));
    }
    CHECK(assembly.Finish() == second);
    SECTION("nothing to a holder of the newest") {
      CHECK(shelf.InlineChunks(2, second) == std::vector<std::string>());
    }
    SECTION("and not where all of it is new") {
      shelf.Set(3, RoutesText(kBytes, 9));
      CHECK_FALSE(shelf.GoesInline(1));
      CHECK_FALSE(shelf.GoesInline(2));
    }
  }
  SECTION("while the version that the asker holds is remembered") {
    std::string text = first;
    const std::uint64_t last = ConfigurationShelf::kVersionsKept;
    for (std::uint64_t version = 2; version <= last; ++version) {
      text += "x";
      shelf.Set(version, text);
    }
    CHECK(shelf.GoesInline(1));
    shelf.Set(last + 1, text + "x");
    CHECK_FALSE(shelf.GoesInline(1));
    CHECK(shelf.GoesInline(2));
    // A version that it never saw is as one that it forgot.
    CHECK_FALSE(shelf.GoesInline(last + 2));
  }
  SECTION("and a version that is set again changes nothing") {
    const std::uint64_t digest = shelf.manifest().digest;
    shelf.Set(1, "another");
    CHECK(shelf.manifest().digest == digest);
  }
}

}  // namespace papayarack::coordination
