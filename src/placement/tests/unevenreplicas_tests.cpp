#include <catch2/catch.hpp>
#include <map>

#include "placement/enginechooser.h"

namespace papayarack::placement {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kBytes = 10'000;

Time At(int milliseconds_since) {
  return Time(std::chrono::seconds(100) + milliseconds(milliseconds_since));
}

const EngineQuery kQuery{
    "llm", {}, {milliseconds(300), milliseconds(300), milliseconds(5000)}};

std::vector<EngineOption> Fleet(int count) {
  std::vector<EngineOption> options;
  for (int i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    options.push_back({"e" + number, "id" + number, "g" + number, "z", 8});
  }
  return options;
}

/// All gates state what they know: the first `slow` replicas take 2.4 times as
/// long as the others.
void StateSpeeds(EngineChooser& chooser, int count, int slow, Time now,
                 Duration age = Duration(0)) {
  for (int round = 0; round < 8; ++round) {
    for (int i = 0; i < count; ++i) {
      chooser.LearnSpeed("llm", "e" + std::to_string(i),
                         {milliseconds(i < slow ? 1200 : 500), age, 0}, now);
    }
  }
}

void ReportAll(EngineChooser& chooser, int count, const ReportedLoad& load,
               Time now) {
  for (int i = 0; i < count; ++i) {
    chooser.Reported("e" + std::to_string(i), load, now);
  }
}

/// Where a burst of `requests` goes.
std::map<std::string, int> Burst(EngineChooser& chooser, int requests,
                                 Time now) {
  std::map<std::string, int> counts;
  for (int i = 0; i < requests; ++i) {
    const auto chosen = chooser.Choose(kQuery, "z", {}, now);
    chooser.Started(chosen->address);
    ++counts[chosen->address];
  }
  return counts;
}

}  // namespace

// Load: 12 replicas of 38 take 2.4 times as long as the others.
TEST_CASE("slow replicas get a smaller part of a burst") {
  constexpr int kReplicas = 38;
  constexpr int kSlow = 12;
  EngineChooser chooser(3);
  chooser.SetOptions("llm", Fleet(kReplicas));
  ReportAll(chooser, kReplicas, {}, At(0));
  StateSpeeds(chooser, kReplicas, kSlow, At(0));
  const std::map<std::string, int> counts = Burst(chooser, 152, At(0));
  int to_slow = 0;
  int most = 0;
  for (const auto& [address, count] : counts) {
    to_slow += std::stoi(address.substr(1)) < kSlow ? count : 0;
    most = std::max(most, count);
  }
  // Their speed is 16 % of the fleet's, their number 32 %.
  CHECK(to_slow > 0);
  CHECK(to_slow <= 152 * 20 / 100);
  // No replica attracts the burst because it looks best.
  CHECK(most <= 7);
}

// Load: the same, with items in the slots that streams leave. Guards against
// fast replicas that get both the streams and the items, so that these are
// preempted there while slow ones have free slots.
TEST_CASE("where items run, streams that are in time anywhere go by load") {
  EngineChooser chooser(3);
  EngineChooser without(3);
  for (EngineChooser* each : {&chooser, &without}) {
    each->SetOptions("llm", Fleet(12));
    ReportAll(*each, 12, {3, 0, 1}, At(0));
  }
  StateSpeeds(chooser, 12, 4, At(0));
  CHECK_FALSE(chooser.SparesItems("llm", At(0)));
  CHECK(Burst(chooser, 60, At(0)) == Burst(without, 60, At(0)));
  SECTION("and they spare items as long as a slow replica is met") {
    CHECK(chooser.SparesItems("llm", At(5000)));
    CHECK_FALSE(chooser.SparesItems("llm", At(7000)));
    CHECK_FALSE(without.SparesItems("llm", At(0)));
  }
  SECTION("but not to a replica that would miss an objective") {
    chooser.LearnPace("e0", 5000, At(0));
    ReportAll(chooser, 12, {6, 0, 1}, At(0));
    chooser.Reported("e0", {0, 0, 1}, At(0));
    CHECK(chooser.Choose(kQuery, "z", {}, At(0))->address != "e0");
  }
}

TEST_CASE("a slow replica is chosen once the others are busy enough") {
  EngineChooser chooser(3);
  chooser.SetOptions("llm", Fleet(4));
  StateSpeeds(chooser, 4, 1, At(0));
  ReportAll(chooser, 4, {2}, At(0));
  chooser.Reported("e0", {2}, At(0));
  CHECK(chooser.Choose(kQuery, "z", {}, At(0))->address != "e0");
  ReportAll(chooser, 4, {7}, At(0));
  chooser.Reported("e0", {0}, At(0));
  CHECK(chooser.Choose(kQuery, "z", {}, At(0))->address == "e0");
}

// Guards against an idle zone, or fleet, whose replicas are all penalised.
TEST_CASE("where all replicas are slow the choice is by load") {
  EngineChooser chooser(3);
  EngineChooser without(3);
  for (EngineChooser* each : {&chooser, &without}) {
    each->SetOptions("llm", Fleet(12));
    ReportAll(*each, 12, {3, 0, 1}, At(0));
  }
  StateSpeeds(chooser, 12, 12, At(0));
  CHECK(Burst(chooser, 60, At(0)) == Burst(without, 60, At(0)));
}

// Guards against a replica that is avoided because its gate states an old
// figure, or is dead and states none.
TEST_CASE("old speeds count less") {
  EngineChooser chooser(3);
  chooser.SetOptions("llm", Fleet(4));
  SECTION("those that are old when they are stated") {
    StateSpeeds(chooser, 4, 1, At(0), std::chrono::minutes(5));
    CHECK(chooser.SlownessOf("llm", "e0", At(0)) < 1.1);
  }
  SECTION("those that nobody has renewed") {
    StateSpeeds(chooser, 4, 1, At(0));
    CHECK(chooser.SlownessOf("llm", "e0", At(0)) > 2);
    CHECK(chooser.SlownessOf("llm", "e0", At(300'000)) < 1.1);
  }
}

TEST_CASE("a replica that starts anew has no known speed") {
  constexpr std::uint64_t kStart = 1'700'000'000'000;
  EngineChooser chooser(3);
  std::vector<EngineOption> options = Fleet(4);
  options[0].started_ms = kStart;
  chooser.SetOptions("llm", options);
  StateSpeeds(chooser, 4, 1, At(0));
  REQUIRE(chooser.SlownessOf("llm", "e0", At(0)) > 2);
  SECTION("under the id that it had") {
    REQUIRE(chooser.ObserveStart("e0", kStart + 1).has_value());
  }
  SECTION("under another id") { chooser.ObserveId("e0", "other"); }
  SECTION("as the list shows") {
    options[0].started_ms = kStart + 1;
    REQUIRE(chooser.SetOptions("llm", options).size() == 1);
  }
  CHECK(chooser.SlownessOf("llm", "e0", At(0)) == 1);
}

// Load: a neighbour slows a replica down fivefold within a second.
TEST_CASE("a replica that is slow at the moment is avoided until it recovers") {
  EngineChooser chooser(3);
  chooser.SetOptions("llm", Fleet(2));
  StateSpeeds(chooser, 2, 0, At(0));
  ReportAll(chooser, 2, {3}, At(0));
  chooser.LearnPace("e0", 500, At(0));
  for (int i = 0; i < 20; ++i) {
    CHECK(chooser.Choose(kQuery, "z", {}, At(10))->address == "e1");
  }
  chooser.LearnPace("e0", 100, At(100));
  ReportAll(chooser, 2, {3}, At(100));
  chooser.Reported("e1", {4}, At(100));
  CHECK(chooser.Choose(kQuery, "z", {}, At(100))->address == "e0");
}

// Guards against a gate whose figures are good while streams are slow.
TEST_CASE("own streams show a slow replica whose gate states a good speed") {
  EngineChooser chooser(3);
  chooser.SetOptions("llm", Fleet(4));
  StateSpeeds(chooser, 4, 0, At(0));
  for (int round = 0; round < 4; ++round) {
    for (int i = 0; i < 4; ++i) {
      chooser.LearnStream("llm", "e" + std::to_string(i),
                          {milliseconds(15), milliseconds(i == 0 ? 85 : 17)},
                          kBytes, At(0));
    }
  }
  ReportAll(chooser, 4, {2}, At(0));
  CHECK(chooser.SlownessOf("llm", "e0", At(0)) == Approx(5));
  CHECK(chooser.Choose(kQuery, "z", {}, At(0))->address != "e0");
}

// A replica that misses the objectives takes requests when the others are full.
TEST_CASE("a replica that would miss an objective is kept for the worst") {
  EngineChooser chooser(3);
  chooser.SetOptions("llm", Fleet(4));
  for (int round = 0; round < 8; ++round) {
    for (int i = 0; i < 4; ++i) {
      chooser.LearnStream("llm", "e" + std::to_string(i),
                          {milliseconds(i == 0 ? 400 : 15), milliseconds(17)},
                          kBytes, At(0));
    }
  }
  ReportAll(chooser, 4, {6}, At(0));
  chooser.Reported("e0", {0}, At(0));
  CHECK(chooser.Choose(kQuery, "z", {}, At(0))->address != "e0");
  ReportAll(chooser, 4, {8, 2}, At(0));
  chooser.Reported("e0", {0}, At(0));
  CHECK(chooser.Choose(kQuery, "z", {}, At(0))->address == "e0");
}

}  // namespace papayarack::placement
