#include <catch2/catch.hpp>

#include "placement/enginechooser.h"
#include "placement/zonepolicy.h"

namespace papayarack::placement {
namespace {

using std::chrono::milliseconds;

constexpr double kSlots = 80;

Time At(int milliseconds_since) {
  return Time(std::chrono::seconds(100) + milliseconds(milliseconds_since));
}

/// Occupied to `share`, as far as reports of weight `weight` tell.
ZoneLoad Occupied(double share, double weight = 1) {
  return {share * kSlots * weight, kSlots * weight, kSlots, 10};
}

/// Updates for `length` from `from` on.
void Run(ZonePolicy& policy, const ZoneLoads& loads, int from,
         int length = 1000) {
  for (int at = from; at < from + length; at += 50) {
    policy.Update(loads, At(at));
  }
}

bool HasBasePenalty(const ZonePolicy& policy) {
  return policy.Penalty(1) == ZonePolicy::kBasePenalty;
}

}  // namespace

TEST_CASE("balanced zones keep the base penalty") {
  ZonePolicy policy;
  CHECK(HasBasePenalty(policy));
  for (const double share : {0.0, 0.4, 0.8, 0.9, 1.2}) {
    CAPTURE(share);
    Run(policy, {Occupied(share), Occupied(share)}, 0);
    CHECK(HasBasePenalty(policy));
    CHECK(policy.MayLeave());
    CHECK(policy.Reason() == ZoneReason::kLessBusy);
  }
}

TEST_CASE("a zone with too few replicas sends its excess away") {
  ZonePolicy policy;
  Run(policy, {Occupied(0.95), Occupied(0.5)}, 0);
  CHECK(policy.Penalty(1) == ZonePolicy::kReliefPenalty);
  CHECK(policy.Reason() == ZoneReason::kOwnZoneFull);
  SECTION("not to and fro while the load is near the limits") {
    for (int i = 0; i < 20; ++i) {
      const double share = i % 2 == 0 ? 0.8 : 0.88;
      policy.Update({Occupied(share), Occupied(0.7)}, At(1000 + i * 50));
      CHECK(policy.Reason() == ZoneReason::kOwnZoneFull);
    }
  }
  SECTION("until its load falls") {
    Run(policy, {Occupied(0.6), Occupied(0.3)}, 1000);
    CHECK(HasBasePenalty(policy));
  }
  SECTION("until the other zones have no room") {
    Run(policy, {Occupied(0.95), Occupied(0.93)}, 1000);
    CHECK(HasBasePenalty(policy));
  }
}

// Guards against all entries of a zone that leave, or return, at once.
TEST_CASE("the penalty changes in steps") {
  ZonePolicy policy;
  Run(policy, {Occupied(0.2), Occupied(0.2)}, 0);
  double before = policy.Penalty(1);
  for (int at = 1000; at < 2000; at += 50) {
    const bool full = at < 1500;
    policy.Update({Occupied(full ? 1 : 0.3), Occupied(0.2)}, At(at));
    CHECK(std::abs(policy.Penalty(1) - before) < 0.2);
    before = policy.Penalty(1);
  }
  SECTION("also after a long time without requests") {
    policy.Update({Occupied(1), Occupied(0.2)}, At(60'000));
    CHECK(policy.Penalty(1) > 0.7);
  }
}

TEST_CASE("nothing is concluded from stale reports") {
  ZonePolicy policy;
  SECTION("of either side") {
    Run(policy, {Occupied(1, 0.05), Occupied(0.2)}, 0);
    CHECK(HasBasePenalty(policy));
    Run(policy, {Occupied(1), Occupied(0.2, 0.05)}, 1000);
    CHECK(HasBasePenalty(policy));
  }
  SECTION("and what was concluded ends as they become stale") {
    Run(policy, {Occupied(1), Occupied(0.2)}, 0);
    Run(policy, {Occupied(1, 0.05), Occupied(0.2, 0.05)}, 1000);
    CHECK(HasBasePenalty(policy));
  }
}

TEST_CASE("the price of bytes keeps requests in the zone") {
  ZonePolicy policy({0.00001, 1});
  SECTION("not before the size of streams is known") {
    CHECK(HasBasePenalty(policy));
  }
  SECTION("as far as it is below the worth of a request") {
    policy.Moved(20'000);
    CHECK(policy.Penalty(8) == Approx(0.125 + 0.2));
    CHECK(policy.MayLeave());
  }
  SECTION("altogether beyond") {
    policy.Moved(200'000);
    CHECK_FALSE(policy.MayLeave());
    CHECK(policy.Reason() == ZoneReason::kTooCostly);
    SECTION("unless the zone has no usable replica") {
      policy.Update({{}, Occupied(0.5)}, At(0));
      CHECK(policy.MayLeave());
      CHECK(policy.Reason() == ZoneReason::kOwnZoneLost);
    }
  }
}

TEST_CASE("the share of requests sent away is bounded") {
  ZonePolicy policy({0, 0.1});
  int away = 0;
  for (int i = 0; i < 1000; ++i) {
    const bool leaves = policy.MayLeave();
    away += leaves ? 1 : 0;
    policy.Sent(leaves, At(i));
  }
  CHECK(away > 80);
  CHECK(away <= 102);
  CHECK(policy.Share() <= 0.11);
  SECTION("a bound of zero lets none leave") {
    CHECK_FALSE(ZonePolicy({0, 0}).MayLeave());
  }
}

namespace {

/// Two zones of four replicas each; own zone "a".
std::vector<EngineOption> TwoZones(bool with_own) {
  std::vector<EngineOption> options;
  for (int i = with_own ? 0 : 4; i < 8; ++i) {
    const std::string number = std::to_string(i);
    options.push_back(
        {"e" + number, "id" + number, "g" + number, i < 4 ? "a" : "b", 8});
  }
  return options;
}

void ReportZones(EngineChooser& chooser, const ReportedLoad& own,
                 const ReportedLoad& others, Time now) {
  for (int i = 0; i < 8; ++i) {
    chooser.Reported("e" + std::to_string(i), i < 4 ? own : others, now);
  }
}

int CountAway(EngineChooser& chooser, int requests, Time now) {
  int away = 0;
  for (int i = 0; i < requests; ++i) {
    const auto chosen = chooser.Choose({"llm"}, "a", {}, now);
    chooser.Started(chosen->address);
    chooser.CountZone("llm", chosen->zone != "a", now);
    away += chosen->zone != "a" ? 1 : 0;
  }
  return away;
}

}  // namespace

TEST_CASE("a zone is lost and comes back") {
  EngineChooser chooser(1, {0, 0.25});
  chooser.SetOptions("llm", TwoZones(true));
  ReportZones(chooser, {2}, {2}, At(0));
  CHECK(CountAway(chooser, 4, At(0)) == 0);
  chooser.SetOptions("llm", TwoZones(false));
  // Nothing else is left, so the bound does not apply.
  CHECK(CountAway(chooser, 20, At(1000)) == 20);
  CHECK(chooser.ZoneOf("llm")->Reason() == ZoneReason::kOwnZoneLost);
  chooser.SetOptions("llm", TwoZones(true));
  const int away = CountAway(chooser, 20, At(2000));
  CHECK(away <= 6);
  CHECK(chooser.ZoneOf("llm")->Reason() != ZoneReason::kOwnZoneLost);
}

TEST_CASE(
    "a zone whose replicas all failed counts as lost until they recover") {
  EngineChooser chooser(1, {0, 0});
  chooser.SetOptions("llm", TwoZones(true));
  for (int i = 0; i < 4; ++i) {
    chooser.Failed("e" + std::to_string(i), At(0));
  }
  CHECK(chooser.Choose({"llm"}, "a", {}, At(10))->zone == "b");
  CHECK(chooser.Choose({"llm"}, "a", {}, At(1000))->zone == "a");
}

TEST_CASE("full zones do not send requests to each other") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", TwoZones(true));
  for (int at = 0; at < 500; at += 50) {
    ReportZones(chooser, {8, 2}, {8, 2}, At(at));
    CHECK(CountAway(chooser, 1, At(at)) == 0);
  }
}

TEST_CASE("a full zone uses free slots of another one") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", TwoZones(true));
  int away = 0;
  for (int at = 0; at < 500; at += 50) {
    ReportZones(chooser, {8}, {5}, At(at));
    away += CountAway(chooser, 1, At(at));
  }
  CHECK(away == 10);
}

// A stream that has begun is not ended by the bound of its entry.
TEST_CASE("a stream that has begun may leave beyond the bound") {
  EngineChooser chooser(1, {0, 0});
  const ReplicaSoftware began{"llm", "1"};
  std::vector<EngineOption> options = TwoZones(true);
  for (EngineOption& option : options) {
    option.software = began;
  }
  chooser.SetOptions("llm", options);
  std::vector<EngineStart> own;
  for (int i = 0; i < 4; ++i) {
    const std::string number = std::to_string(i);
    own.push_back({"e" + number, "id" + number});
  }
  CHECK_FALSE(chooser.Choose({"llm"}, "a", own, At(0)).has_value());
  const auto chosen = chooser.Choose({"llm", began}, "a", own, At(0));
  REQUIRE(chosen.has_value());
  CHECK(chosen->zone == "b");
}

}  // namespace papayarack::placement
