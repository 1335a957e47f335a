#include <catch2/catch.hpp>

#include "placement/enginechooser.h"

namespace papayarack::placement {
namespace {

Time At(int milliseconds) {
  return Time(std::chrono::seconds(100) +
              std::chrono::milliseconds(milliseconds));
}

std::vector<EngineOption> Fleet(int count) {
  std::vector<EngineOption> options;
  for (int i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    options.push_back({"e" + number, "id" + number, "g" + number, "z", 8});
  }
  return options;
}

using Starts = std::vector<EngineStart>;

}  // namespace

TEST_CASE("an engine that is reported full is not chosen first") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", Fleet(2));
  for (int i = 0; i < 50; ++i) {
    chooser.Reported("e0", {8, 2}, At(0));
    chooser.Reported("e1", {2, 0}, At(0));
    CHECK(chooser.Choose("llm", "z", {}, At(1))->address == "e1");
  }
}

// Load: a burst from one entry that knows nothing of the others. Its own use is
// all that it can go by, and it must not all land at one engine.
TEST_CASE("a burst is spread by the entry's own use") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", Fleet(12));
  std::map<std::string, int> counts;
  for (int i = 0; i < 96; ++i) {
    const auto option = chooser.Choose("llm", "z", {}, At(i));
    chooser.Started(option->address);
    ++counts[option->address];
  }
  CHECK(counts.size() == 12);
  for (const auto& [address, count] : counts) {
    CHECK(count <= 10);
  }
}

// A gate whose engine is gone says so within a round trip, so it is asked again
// soon; doubling would leave the engine unused for seconds after it is back.
TEST_CASE("an engine whose gate is closed is set aside for a moment") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", Fleet(2));
  for (int at = 0; at < 1000; at += 250) {
    chooser.Closed("e0", At(at));
    CHECK(chooser.AsideUntil("e0") ==
          At(at) + Duration(EngineChooser::kFirstAside));
    CHECK(chooser.Choose("llm", "z", {}, At(at + 1))->address == "e1");
  }
}

// Load: a trough, in which all engines have room. Bytes of streams should stay
// in the zone, but not at the price of a fuller engine.
TEST_CASE("of equally busy engines one of the own zone is chosen") {
  std::vector<EngineOption> options = Fleet(4);
  options[3].zone = "own";
  EngineChooser chooser(1);
  chooser.SetOptions("llm", options);
  for (int i = 0; i < 50; ++i) {
    for (const EngineOption& option : options) {
      chooser.Reported(option.address, {3, 0}, At(0));
    }
    CHECK(chooser.Choose("llm", "own", {}, At(0))->address == "e3");
    chooser.Reported("e3", {5, 0}, At(0));
    CHECK(chooser.Choose("llm", "own", {}, At(0))->address != "e3");
  }
}

TEST_CASE("an engine that failed is set aside, and let back") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", Fleet(2));
  chooser.Failed("e0", At(0));
  CHECK(chooser.Choose("llm", "z", {}, At(100))->address == "e1");
  CHECK(chooser.AsideUntil("e0") < At(500));
  SECTION("for longer after each failure in a row") {
    for (int i = 0; i < 10; ++i) {
      chooser.Failed("e0", At(0));
    }
    CHECK(chooser.AsideUntil("e0") == At(4000));
    chooser.Succeeded("e0");
    CHECK(chooser.AsideUntil("e0") < At(0));
  }
  SECTION("but still chosen when there is no other") {
    const EngineStart first{"e0", "id0"};
    const EngineStart second{"e1", "id1"};
    CHECK(chooser.Choose("llm", "z", Starts{second}, At(100))->address == "e0");
    CHECK_FALSE(
        chooser.Choose("llm", "z", Starts{first, second}, At(100)).has_value());
  }
}

// Symptom: a replica that has just started gets no request for up to 4 s, or
// is taken for full. Sequence: its former start reports that it is full and
// breaks off several requests; it starts again under its id. Cause: what was
// believed of the former start is kept, as address and id are the same.
TEST_CASE("what is believed of a replica ends with its start") {
  constexpr std::uint64_t kStart = 1'700'000'000'000;
  EngineChooser chooser(1);
  std::vector<EngineOption> options = Fleet(2);
  options[0].started_ms = kStart;
  CHECK(chooser.SetOptions("llm", options).empty());
  for (int i = 0; i < 4; ++i) {
    chooser.Failed("e0", At(0));
  }
  chooser.Reported("e0", {8, 9}, At(0));
  chooser.Reported("e1", {7, 0}, At(0));
  REQUIRE(chooser.Choose("llm", "z", {}, At(1))->address == "e1");

  SECTION("when the list shows a later start") {
    options[0].started_ms = kStart + 1;
    const auto restarts = chooser.SetOptions("llm", options);
    REQUIRE(restarts.size() == 1);
    CHECK(restarts[0].before.started_ms == kStart);
    CHECK(restarts[0].now.started_ms == kStart + 1);
    CHECK(restarts[0].now.id == "id0");
    CHECK(chooser.AsideUntil("e0") == Time{});
    CHECK(chooser.Choose("llm", "z", {}, At(1))->address == "e0");
  }
  SECTION(
      "when its gate tells a later start, and a list that lags does not "
      "bring the former back") {
    const auto restart = chooser.SawStart("e0", kStart + 1);
    REQUIRE(restart.has_value());
    CHECK(restart->before.started_ms == kStart);
    CHECK(chooser.AsideUntil("e0") == Time{});
    CHECK(chooser.SetOptions("llm", options).empty());
    CHECK_FALSE(chooser.SawStart("e0", kStart).has_value());
    const auto chosen = chooser.Choose("llm", "z", {}, At(1));
    CHECK(chosen->address == "e0");
    CHECK(chosen->started_ms == kStart + 1);
  }
  SECTION("when another replica is at its address") {
    options[0].id = "other";
    options[0].started_ms = 0;
    REQUIRE(chooser.SetOptions("llm", options).size() == 1);
    CHECK(chooser.AsideUntil("e0") == Time{});
    CHECK(chooser.Choose("llm", "z", {}, At(1))->started_ms == 0);
  }
  SECTION("but not when a start is told for the first time, or not at all") {
    CHECK_FALSE(chooser.SawStart("e1", kStart).has_value());
    CHECK_FALSE(chooser.SawStart("e0", 0).has_value());
    CHECK_FALSE(chooser.SawStart("e9", kStart).has_value());
    options[0].started_ms = 0;
    CHECK(chooser.SetOptions("llm", options).empty());
    CHECK(chooser.AsideUntil("e0") > At(1));
  }
  SECTION("while requests that this entry has there are counted on") {
    chooser.Started("e0");
    chooser.SawStart("e0", kStart + 1);
    CHECK(chooser.OwnUse("e0") == 1);
  }
}

}  // namespace papayarack::placement
