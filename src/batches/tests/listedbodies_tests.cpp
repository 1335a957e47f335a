#include <catch2/catch.hpp>
#include <string>
#include <tuple>

#include "batches/batchstate.h"
#include "batches/listedbodies.h"
#include "global/messagecodec.h"
#include "global/variantcodec.h"
#include "storage/memoryfilesystem.h"

namespace papayarack::batches {
namespace {

const ItemRef kItem{"b", "i"};

/// Stores a batch of two items, the first of which has a result.
void Fill(BatchState& state) {
  SubmitBatch batch;
  batch.id = kItem.batch;
  batch.host = "h";
  batch.route_key = "h/r/";
  batch.items.push_back({kItem.item, "/r/1", {}, "body", 100});
  batch.items.push_back({"j", "/r/2", {}, "other", 100});
  state.Apply(EncodeVariant(BatchCommand(batch)));
  const ReportOutcomes report{
      {{kItem.batch, kItem.item, static_cast<std::uint8_t>(ItemEnd::kComplete),
        "text", 3}}};
  state.Apply(EncodeVariant(BatchCommand(report)));
}

}  // namespace

// Guards against memory use that grows with what has been listed.
TEST_CASE("bodies of listed items are kept up to a limit") {
  ListedBodies bodies;
  constexpr std::size_t kBodyBytes = 100'000;
  constexpr int kMany = 100;
  for (int i = 0; i < kMany; ++i) {
    bodies.Add({"b", std::to_string(i)}, std::string(kBodyBytes, 'b'));
    CHECK(bodies.Bytes() <= ListedBodies::kMaxBytes);
  }
  CHECK(bodies.Find({"b", "0"}) == nullptr);
  REQUIRE(bodies.Find({"b", std::to_string(kMany - 1)}) != nullptr);
  SECTION("also when they are empty") {
    for (std::size_t i = 0; i < ListedBodies::kMaxBytes / 10; ++i) {
      bodies.Add({"c", std::to_string(i)}, {});
    }
    CHECK(bodies.Bytes() <= ListedBodies::kMaxBytes);
  }
  SECTION("and one that is larger than the limit is dropped at once") {
    bodies.Add({"c", "0"}, std::string(ListedBodies::kMaxBytes + 1, 'b'));
    CHECK(bodies.Bytes() == 0);
  }
  SECTION("and dropped up to that of an item") {
    const ItemRef last{"b", std::to_string(kMany - 1)};
    bodies.DropUpTo({"b", "0"});
    CHECK(bodies.Bytes() > kBodyBytes);
    bodies.DropUpTo({"b", std::to_string(kMany - 2)});
    CHECK(bodies.Bytes() < 2 * kBodyBytes);
    CHECK(bodies.last() == last);
    bodies.DropUpTo(last);
    CHECK(bodies.Find(last) == nullptr);
    CHECK(bodies.Bytes() == 0);
  }
  SECTION("and dropped with their batch") {
    bodies.Add({"a", "0"}, "first");
    bodies.Add({"c", "0"}, "last");
    bodies.DropBatch("b");
    CHECK(bodies.Find({"b", std::to_string(kMany - 1)}) == nullptr);
    CHECK(bodies.Find({"a", "0"}) != nullptr);
    CHECK(bodies.Find({"c", "0"}) != nullptr);
  }
}

// Guards against members that keep different bodies, and against a body that a
// restart or a change of release loses.
TEST_CASE("bodies of listed items are part of the replicated state") {
  storage::MemoryFileSystem files;
  BatchState state(files);
  Fill(state);
  REQUIRE(state.BodyOf(kItem) != nullptr);
  CHECK(*state.BodyOf(kItem) == "body");
  SECTION("a snapshot keeps them") {
    const std::string saved = state.Save();
    state.ArchiveTexts()();
    state.TextsArchived();
    BatchState restored(files);
    restored.Load(saved);
    REQUIRE(restored.BodyOf(kItem) != nullptr);
    CHECK(*restored.BodyOf(kItem) == "body");
    CHECK(restored.listed_bodies().Bytes() == state.listed_bodies().Bytes());
    CHECK(restored.Save() == saved);
  }
  SECTION("a snapshot of an earlier release has none") {
    const std::tuple<const std::unordered_map<std::string, BatchState::Batch>&,
                     std::uint64_t>
        earlier(state.batches(), 0);
    BatchState restored(files);
    restored.Load(EncodeMessage(earlier));
    CHECK(restored.BodyOf(kItem) == nullptr);
    CHECK(*restored.BodyOf({"b", "j"}) == "other");
  }
  SECTION("a command drops them") {
    const DropListedBodies drop{state.listed_bodies().last()};
    state.Apply(EncodeVariant(BatchCommand(drop)));
    CHECK(state.BodyOf(kItem) == nullptr);
    CHECK(*state.BodyOf({"b", "j"}) == "other");
  }
  SECTION("the end of the batch drops them") {
    state.Apply(EncodeVariant(BatchCommand(EndBatch{"b"})));
    CHECK(state.BodyOf(kItem) == nullptr);
  }
}

// Guards against a member that restarts from a snapshot of an earlier release
// and then drops other bodies than the leader, as it counts from another start.
TEST_CASE("members that were updated at different times drop the same bodies") {
  storage::MemoryFileSystem leader_files;
  storage::MemoryFileSystem follower_files;
  BatchState leader(leader_files);
  SubmitBatch batch;
  batch.id = kItem.batch;
  batch.host = "h";
  batch.route_key = "h/r/";
  constexpr int kItems = 6;
  for (int i = 0; i < kItems; ++i) {
    batch.items.push_back({std::to_string(i), "/r/1", {}, "body", 100});
  }
  leader.Apply(EncodeVariant(BatchCommand(batch)));
  const auto report = [](int item) {
    return EncodeVariant(BatchCommand(ReportOutcomes{
        {{kItem.batch, std::to_string(item),
          static_cast<std::uint8_t>(ItemEnd::kGivenUp), "", 3}}}));
  };
  for (int i = 0; i < 3; ++i) {
    leader.Apply(report(i));
  }
  const std::tuple<const std::unordered_map<std::string, BatchState::Batch>&,
                   std::uint64_t>
      earlier(leader.batches(), 0);
  BatchState follower(follower_files);
  follower.Load(EncodeMessage(earlier));
  const auto apply_both = [&](const std::string& command) {
    leader.Apply(command);
    follower.Apply(command);
  };
  apply_both(report(3));
  const DropListedBodies drop{leader.listed_bodies().last()};
  apply_both(report(4));
  apply_both(EncodeVariant(BatchCommand(drop)));
  REQUIRE(leader.BodyOf({kItem.batch, "4"}) != nullptr);
  CHECK(follower.BodyOf({kItem.batch, "4"}) != nullptr);
}

// Guards against a body that is lost with that of an earlier batch of the same
// name.
TEST_CASE(
    "a batch that is accepted again after it was forgotten keeps bodies") {
  ListedBodies bodies;
  const ItemRef between{"c", "0"};
  bodies.Add(kItem, "first");
  bodies.Add(between, "other");
  bodies.Add(kItem, "second");
  bodies.DropUpTo(between);
  REQUIRE(bodies.Find(kItem) != nullptr);
  CHECK(*bodies.Find(kItem) == "second");
}

}  // namespace papayarack::batches
