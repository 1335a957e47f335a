#include <catch2/catch.hpp>
#include <string>

#include "batches/tests/statecluster.h"

namespace papayarack::batches {
namespace {

using Node = StateCluster::Node;

constexpr std::size_t kPageBytes = 10'000;
/// Later than any submission of these tests.
constexpr std::int64_t kAfterAll = 1'000'000'000;

SubmitBatch BatchOf(const std::string& id, std::size_t body_bytes = 10) {
  SubmitBatch batch;
  batch.id = id;
  batch.host = "h";
  batch.route_key = "h/r/";
  batch.now_ms = 1;
  batch.items.push_back({"i", "/r/1", {}, std::string(body_bytes, 'b'), 100});
  return batch;
}

ReportOutcomes ResultOf(const std::string& id) {
  return {{{id, "i", static_cast<std::uint8_t>(ItemEnd::kComplete),
            "text of " + id, 3}}};
}

void Apply(BatchState& state, const BatchCommand& command) {
  REQUIRE(state.Apply(EncodeVariant(command)).code == 0);
}

/// Submits a batch and records its result.
void Finish(BatchState& state, const std::string& id) {
  Apply(state, BatchOf(id));
  Apply(state, ResultOf(id));
}

void Archive(BatchState& state) {
  if (const auto write = state.ArchiveTexts()) {
    write();
  }
  state.TextsArchived();
}

std::string TextOf(const BatchState& state, const std::string& id) {
  const auto page = state.Page(id, 0, kPageBytes);
  return page.has_value() && !page->results.empty() ? page->results[0].text
                                                    : std::string();
}

/// A leader's state after a quiet time: texts were written, and none is kept.
class QuietLeader {
 public:
  QuietLeader() { this->BeQuiet("old"); }

  /// Finishes a batch and forgets it.
  void BeQuiet(const std::string& id) {
    Finish(this->state, id);
    Archive(this->state);
    Apply(this->state, ForgetBatches{kAfterAll});
  }

  storage::MemoryFileSystem files;
  BatchState state{this->files};
};

bool Propose(StateCluster& cluster, const BatchCommand& command) {
  bool done = false;
  bool accepted = false;
  Node* leader = cluster.Leader();
  if (leader == nullptr) {
    return false;
  }
  leader->group->Propose(EncodeVariant(command), [&](const Result& result,
                                                     const std::string& reply) {
    done = true;
    accepted = result.Ok() && DecodeMessage<BatchReply>(reply).code == 0;
  });
  cluster.RunUntil([&done] { return done; });
  return accepted;
}

}  // namespace

// Guards against a store that ends at each start: it was sent a state whose
// result texts had all been dropped, so that it has no files that reach the
// length of texts which the state names.
TEST_CASE("a state without texts needs no files") {
  QuietLeader leader;
  storage::MemoryFileSystem files;
  const auto import_state = [&](BatchState& state) {
    std::string saved = state.Import(leader.state.Export());
    state.Load(saved);
    return saved;
  };
  const auto continues = [&files](BatchState& state) {
    Finish(state, "next");
    const std::string saved = state.Save();
    Archive(state);
    BatchState again(files);
    again.Load(saved);
    CHECK(TextOf(again, "next") == "text of next");
  };
  SECTION("on an empty disk") {
    BatchState state(files);
    const std::string saved = import_state(state);
    continues(state);
    SECTION("also at the next start") {
      BatchState restarted(files);
      restarted.Load(saved);
      continues(restarted);
    }
    SECTION("also when another one is sent before any text is written") {
      leader.BeQuiet("later");
      import_state(state);
      continues(state);
    }
    SECTION("and one with texts that is sent next brings them") {
      leader.BeQuiet("later");
      Finish(leader.state, "kept");
      const std::string next = import_state(state);
      CHECK(TextOf(state, "kept") == "text of kept");
      BatchState restarted(files);
      restarted.Load(next);
      CHECK(TextOf(restarted, "kept") == "text of kept");
    }
  }
  SECTION("on a disk whose files end before the texts that were dropped") {
    std::string saved;
    {
      BatchState state(files);
      Finish(state, "own");
      Archive(state);
      leader.BeQuiet("later");
      saved = import_state(state);
      continues(state);
    }
    BatchState restarted(files);
    restarted.Load(saved);
    continues(restarted);
  }
  SECTION("but one with texts does") {
    Finish(leader.state, "kept");
    const std::string saved = leader.state.Save();
    Archive(leader.state);
    BatchState without_files(files);
    CHECK_THROWS_AS(without_files.Load(saved), ResultError);
  }
}

// Guards against a store that is left without its state, or that ends at each
// start, by a state that it cannot use.
TEST_CASE("a state that does not fit its texts changes nothing") {
  QuietLeader leader;
  Finish(leader.state, "kept");
  std::string exported = leader.state.Export();
  storage::MemoryFileSystem files;
  BatchState state(files);
  Finish(state, "own");
  const std::size_t files_before = files.List().size();
  SECTION("if it is cut off") {
    exported.resize(exported.size() - 1);
    CHECK_THROWS_AS(state.Import(exported), ResultError);
  }
  SECTION("if it lacks texts") {
    // The texts come last, with their length in the byte before them.
    const std::string text = "text of kept";
    REQUIRE(exported.ends_with(text));
    exported.erase(exported.size() - 1);
    char& length = exported.at(exported.size() - text.size());
    length = static_cast<char>(length - 1);
    CHECK_THROWS_AS(state.Import(exported), ResultError);
  }
  CHECK(TextOf(state, "own") == "text of own");
  CHECK(state.Find("kept") == nullptr);
  CHECK(files.List().size() == files_before);
}

// Guards against an accepted batch that cannot be read any more: the store that
// lost its disk first, in a quiet time, never came back, and with a second loss
// the group had no majority.
TEST_CASE("a batch outlives two disks that are lost after a quiet time") {
  StateCluster cluster(3, 1);
  REQUIRE(cluster.RunUntil([&] { return cluster.Whole(); }));
  // More than the log keeps, so that whoever lost its disk is sent the state.
  for (int i = 0; i < 10; ++i) {
    const std::string id = "old" + std::to_string(i);
    REQUIRE(Propose(cluster, BatchOf(id, StateCluster::kSnapshotAfterBytes)));
    REQUIRE(Propose(cluster, ResultOf(id)));
  }
  REQUIRE(Propose(cluster, ForgetBatches{kAfterAll}));
  const auto lose_disk = [&cluster](Node& node) {
    cluster.Wipe(node, 1);
    CHECK(cluster.RunUntil([&] { return cluster.Whole(); }));
    CHECK(node.imports > 0);
  };
  Node& first = cluster.nodes().front();
  lose_disk(first);
  SECTION("the store is there again after a restart") {
    cluster.Stop(first, 1, true, 0);
    CHECK(cluster.RunUntil([&] { return first.Up() && cluster.Whole(); }));
  }
  REQUIRE(Propose(cluster, BatchOf("kept")));
  lose_disk(cluster.nodes().back());
  CHECK(cluster.RunUntil([&] {
    return std::ranges::all_of(cluster.nodes(), [](const Node& node) {
      return node.Up() && node.state->IsWaiting({"kept", "i"});
    });
  }));
}

}  // namespace papayarack::batches
