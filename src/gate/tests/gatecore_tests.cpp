#include <algorithm>
#include <catch2/catch.hpp>

#include "gate/gatecore.h"

namespace papayarack::gate {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr Time kStart{std::chrono::seconds(50)};

GateOptions FixedLimit(std::uint32_t concurrent, std::size_t queue = 10) {
  GateOptions options;
  options.learns = false;
  options.limit.max_concurrent = concurrent;
  options.max_queue = queue;
  return options;
}

OnlineWork Online(WorkId id, const std::string& caller = "kivu",
                  Time deadline = kStart + 60000 * kMs) {
  return {id, caller, deadline, 0};
}

template <typename Action>
std::vector<WorkId> Ids(const std::vector<GateAction>& actions) {
  std::vector<WorkId> ids;
  for (const GateAction& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) {
      ids.push_back(found->id);
    }
  }
  return ids;
}

}  // namespace

TEST_CASE("a gate whose upstream is full of batch work") {
  GateCore gate(FixedLimit(2), kStart);
  gate.Batch({1, kStart + 1000 * kMs}, kStart);
  gate.Batch({2, kStart + 2000 * kMs}, kStart);
  REQUIRE(gate.RunningBatch() == 2);
  gate.Token(1, kStart + kMs);

  // Guards against an online request that waits behind batch work: batch fills
  // the upstream, and an engine has no priorities but admits requests in order
  // of arrival.
  SECTION(
      "starts an online request at once and preempts the batch work with the "
      "fewest tokens") {
    const auto actions = gate.Online(Online(10), kStart + 2 * kMs);
    CHECK(Ids<StartWork>(actions) == std::vector<WorkId>{10});
    CHECK(Ids<PreemptBatch>(actions) == std::vector<WorkId>{2});
    SECTION("and restarts the batch work when the limit allows it") {
      gate.Batch({2, kStart + 2000 * kMs}, kStart + 3 * kMs);
      CHECK(Ids<StartWork>(gate.Ended(10, kStart + 4 * kMs)).empty());
      CHECK(Ids<StartWork>(gate.Ended(2, kStart + 5 * kMs)) ==
            std::vector<WorkId>{2});
    }
  }
  SECTION("never starts batch work while online work waits") {
    gate.Online(Online(10), kStart);
    gate.Online(Online(11), kStart);
    gate.Online(Online(12), kStart);
    REQUIRE(gate.WaitingOnline() == 1);
    gate.Batch({3, kStart}, kStart);
    CHECK(Ids<StartWork>(gate.Ended(10, kStart + kMs)) ==
          std::vector<WorkId>{12});
  }
  SECTION("pulls only a limited number of items in advance") {
    CHECK(gate.BatchWanted(kStart) == FixedLimit(2).pull_ahead);
  }
}

TEST_CASE("a gate under overload") {
  GateCore gate(FixedLimit(1, 2), kStart);
  gate.Online(Online(1), kStart);
  gate.Online(Online(2), kStart);
  gate.Online(Online(3), kStart);

  SECTION("refuses requests when its queue is full, with a retry delay") {
    const auto actions = gate.Online(Online(4), kStart);
    REQUIRE(actions.size() == 1);
    const auto& refusal = std::get<RefuseOnline>(actions[0]);
    CHECK(refusal.result.code == ResultCode::kOverloaded);
    CHECK(refusal.result.retry_after.count() > 0);
  }
  SECTION("refuses at once a request that would wait past its deadline") {
    GateCore fresh(FixedLimit(1, 50), kStart);
    fresh.Online(Online(1), kStart);
    const auto actions =
        fresh.Online(Online(2, "kivu", kStart + 5 * kMs), kStart);
    CHECK(Ids<RefuseOnline>(actions) == std::vector<WorkId>{2});
  }
  SECTION("refuses a request whose deadline passes in the queue") {
    GateCore fresh(FixedLimit(1, 50), kStart);
    fresh.Online(Online(1), kStart);
    fresh.Online(Online(2, "kivu", kStart + 1500 * kMs), kStart);
    CHECK(Ids<RefuseOnline>(fresh.Tick(kStart + 1500 * kMs)) ==
          std::vector<WorkId>{2});
    CHECK(Ids<StartWork>(fresh.Ended(1, kStart + 1600 * kMs)).empty());
  }
}

TEST_CASE("a caller with many requests does not delay one with few") {
  GateCore gate(FixedLimit(1, 50), kStart);
  gate.Online(Online(1, "busy"), kStart);
  for (WorkId id = 2; id < 10; ++id) {
    gate.Online(Online(id, "busy"), kStart);
  }
  gate.Online(Online(20, "quiet"), kStart);
  std::vector<WorkId> order;
  WorkId running = 1;
  for (int i = 0; i < 3; ++i) {
    running = Ids<StartWork>(gate.Ended(running, kStart)).at(0);
    order.push_back(running);
  }
  CHECK(std::ranges::count(order, WorkId{20}) == 1);
}

TEST_CASE("a gate whose upstream becomes unreachable") {
  GateCore gate(FixedLimit(1), kStart);
  gate.Online(Online(1), kStart);
  gate.Online(Online(2), kStart);
  SECTION("refuses waiting requests and starts nothing") {
    const auto actions = gate.SetUpstreamUp(false, kStart);
    CHECK(Ids<RefuseOnline>(actions) == std::vector<WorkId>{2});
    CHECK(Ids<RefuseOnline>(gate.Online(Online(3), kStart)) ==
          std::vector<WorkId>{3});
    CHECK(gate.BatchWanted(kStart) == 0);
  }
}

TEST_CASE("a leaving gate refuses new requests and finishes the others") {
  GateCore gate(FixedLimit(1), kStart);
  gate.Online(Online(1), kStart);
  gate.Online(Online(2), kStart);
  gate.BeginLeave();
  CHECK(Ids<RefuseOnline>(gate.Online(Online(3), kStart)) ==
        std::vector<WorkId>{3});
  CHECK(Ids<StartWork>(gate.Ended(1, kStart)) == std::vector<WorkId>{2});
}

TEST_CASE("the limits adapt to the times between tokens") {
  LimitOptions options;
  AdaptiveLimit limit(options, kStart);
  Time now = kStart;
  constexpr std::size_t kKnee = 20;
  const auto run = [&](int windows) {
    for (int window = 0; window < windows; ++window) {
      const std::size_t running = limit.Shared();
      const Duration gap = 20 * kMs *
                           static_cast<std::int64_t>(std::max(running, kKnee)) /
                           static_cast<std::int64_t>(kKnee);
      for (int token = 0; token < 20; ++token) {
        now += 10 * kMs;
        limit.OnToken(gap, running, now);
      }
    }
  };
  run(300);
  SECTION("the shared limit settles where tokens begin to slow down") {
    CHECK(limit.Shared() >= kKnee * 8 / 10);
    CHECK(limit.Shared() <= kKnee * 12 / 10);
  }
  SECTION("the online limit falls when the target of the document is missed") {
    const std::size_t before = limit.Online();
    for (int token = 0; token < 200; ++token) {
      now += 10 * kMs;
      limit.OnToken(60 * kMs, before, now);
    }
    CHECK(limit.Online() < before);
  }
}

}  // namespace papayarack::gate
