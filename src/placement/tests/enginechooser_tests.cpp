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
    CHECK(chooser.Choose({"llm"}, "z", {}, At(1))->address == "e1");
  }
}

// Load: a burst from one entry without any report. It knows only its own
// requests, and must not send the whole burst to one engine.
TEST_CASE("a burst is spread by the entry's own requests") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", Fleet(12));
  std::map<std::string, int> counts;
  for (int i = 0; i < 96; ++i) {
    const auto option = chooser.Choose({"llm"}, "z", {}, At(i));
    chooser.Started(option->address);
    ++counts[option->address];
  }
  CHECK(counts.size() == 12);
  for (const auto& [address, count] : counts) {
    CHECK(count <= 10);
  }
}

// A gate whose engine is down replies within a round trip, so it can be asked
// again soon; doubling the backoff would leave the engine unused for seconds
// after it recovers.
TEST_CASE("the backoff of an engine whose gate is closed does not grow") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", Fleet(2));
  for (int at = 0; at < 1000; at += 250) {
    chooser.Closed("e0", At(at));
    CHECK(chooser.BackoffUntil("e0") ==
          At(at) + Duration(EngineChooser::kFirstBackoff));
    CHECK(chooser.Choose({"llm"}, "z", {}, At(at + 1))->address == "e1");
  }
}

// Load: a trough in which all engines have free slots. Streams should stay in
// the zone, but not at the cost of a busier engine.
TEST_CASE("among equally busy engines a local one is chosen") {
  std::vector<EngineOption> options = Fleet(4);
  options[3].zone = "own";
  EngineChooser chooser(1);
  chooser.SetOptions("llm", options);
  for (int i = 0; i < 50; ++i) {
    for (const EngineOption& option : options) {
      chooser.Reported(option.address, {3, 0}, At(0));
    }
    CHECK(chooser.Choose({"llm"}, "own", {}, At(0))->address == "e3");
    chooser.Reported("e3", {5, 0}, At(0));
    CHECK(chooser.Choose({"llm"}, "own", {}, At(0))->address != "e3");
  }
}

TEST_CASE("an engine that failed backs off and is used again later") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", Fleet(2));
  chooser.Failed("e0", At(0));
  CHECK(chooser.Choose({"llm"}, "z", {}, At(100))->address == "e1");
  CHECK(chooser.BackoffUntil("e0") < At(500));
  SECTION("the backoff grows with consecutive failures up to a limit") {
    for (int i = 0; i < 10; ++i) {
      chooser.Failed("e0", At(0));
    }
    CHECK(chooser.BackoffUntil("e0") == At(4000));
    chooser.Succeeded("e0");
    CHECK(chooser.BackoffUntil("e0") < At(0));
  }
  SECTION("it is still chosen if there is no other") {
    const EngineStart first{"e0", "id0"};
    const EngineStart second{"e1", "id1"};
    CHECK(chooser.Choose({"llm"}, "z", Starts{second}, At(100))->address ==
          "e0");
    CHECK_FALSE(chooser.Choose({"llm"}, "z", Starts{first, second}, At(100))
                    .has_value());
  }
}

// Guards against a restarted replica that gets no request for up to 4 s, or is
// considered full: before the restart it reports that it is full and breaks off
// several requests. State keyed only by address and id survives the restart.
TEST_CASE("a restart resets the state of a replica") {
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
  REQUIRE(chooser.Choose({"llm"}, "z", {}, At(1))->address == "e1");

  SECTION("when the list reports a later start") {
    options[0].started_ms = kStart + 1;
    const auto restarts = chooser.SetOptions("llm", options);
    REQUIRE(restarts.size() == 1);
    CHECK(restarts[0].before.started_ms == kStart);
    CHECK(restarts[0].now.started_ms == kStart + 1);
    CHECK(restarts[0].now.id == "id0");
    CHECK(chooser.BackoffUntil("e0") == Time{});
    CHECK(chooser.Choose({"llm"}, "z", {}, At(1))->address == "e0");
  }
  SECTION(
      "when its gate reports a later start, which a stale list does not "
      "revert") {
    const auto restart = chooser.ObserveStart("e0", kStart + 1);
    REQUIRE(restart.has_value());
    CHECK(restart->before.started_ms == kStart);
    CHECK(chooser.BackoffUntil("e0") == Time{});
    CHECK(chooser.SetOptions("llm", options).empty());
    CHECK_FALSE(chooser.ObserveStart("e0", kStart).has_value());
    const auto chosen = chooser.Choose({"llm"}, "z", {}, At(1));
    CHECK(chosen->address == "e0");
    CHECK(chosen->started_ms == kStart + 1);
  }
  SECTION("when another replica takes over its address") {
    options[0].id = "other";
    options[0].started_ms = 0;
    REQUIRE(chooser.SetOptions("llm", options).size() == 1);
    CHECK(chooser.BackoffUntil("e0") == Time{});
    CHECK(chooser.Choose({"llm"}, "z", {}, At(1))->started_ms == 0);
  }
  SECTION("but not when a start is reported for the first time, or none is") {
    CHECK_FALSE(chooser.ObserveStart("e1", kStart).has_value());
    CHECK_FALSE(chooser.ObserveStart("e0", 0).has_value());
    CHECK_FALSE(chooser.ObserveStart("e9", kStart).has_value());
    options[0].started_ms = 0;
    CHECK(chooser.SetOptions("llm", options).empty());
    CHECK(chooser.BackoffUntil("e0") > At(1));
  }
  SECTION("but the count of this entry's requests is kept") {
    chooser.Started("e0");
    chooser.ObserveStart("e0", kStart + 1);
    CHECK(chooser.OwnRequests("e0") == 1);
  }
}

}  // namespace papayarack::placement
