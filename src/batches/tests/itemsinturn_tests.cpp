#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "batches/leasescheduler.h"
#include "global/tests/processortime.h"

namespace papayarack::batches {
namespace {

using std::chrono::milliseconds;

const std::string kService = "llm";
constexpr int kStart = 2000;
constexpr int kAllowedMs = 18000;
constexpr int kRunMs = 5000;
constexpr int kStepMs = 250;

Time At(int ms) { return Time(milliseconds(ms)); }

/// One gate whose slots run items of 5 s each, which replays submissions.
class Replay {
 public:
  explicit Replay(std::size_t slots) : slots(slots) {
    this->scheduler.Reset(At(0));
  }

  /// Submits items that are due 18 s later.
  void Submit(const std::string& organisation, int items, int at,
              int priority = 0) {
    for (int i = 0; i < items; ++i) {
      const ItemRef item{organisation, std::to_string(++this->last_item)};
      this->due[item] = at + kAllowedMs;
      this->scheduler.Add(item, At(at + kAllowedMs), {{kService}, {}, {}},
                          {this->named ? organisation : "", priority});
    }
  }
  void Step(int now) {
    std::erase_if(this->running, [&](const auto& run) {
      if (run.first > now) {
        return false;
      }
      this->scheduler.Remove(run.second, At(now));
      this->in_time[run.second.batch] += now <= this->due[run.second] ? 1 : 0;
      return true;
    });
    std::vector<ItemRef> held;
    for (const auto& [end, item] : this->running) {
      held.push_back(item);
    }
    const std::size_t room = this->slots - held.size();
    this->scheduler.Renew("g", 1, held, At(now));
    this->scheduler.SetRunTime("g", kService, milliseconds(kRunMs), room,
                               held.size(), At(now));
    for (const ItemRef& item :
         this->scheduler.Take("g", kService, room, At(now))) {
      this->leased.push_back(item);
      this->running.emplace_back(now + kRunMs, item);
    }
  }
  int InTime() const {
    int sum = 0;
    for (const auto& [organisation, count] : this->in_time) {
      sum += count;
    }
    return sum;
  }

  LeaseScheduler scheduler;
  std::size_t slots;
  bool named = true;  ///< Whether items name their organisation.
  int last_item = 0;
  std::map<ItemRef, int> due;
  std::vector<std::pair<int, ItemRef>> running;
  std::vector<ItemRef> leased;
  std::map<std::string, int> in_time;
};

/// Runs for a minute; `submit` is called in each of the first 30 seconds.
template <typename Submit>
void Play(Replay& replay, const Submit& submit) {
  for (int now = kStart; now < kStart + 60000; now += kStepMs) {
    if ((now - kStart) % 1000 == 0 && now < kStart + 30000) {
      submit(now);
    }
    replay.Step(now);
  }
}

/// A backlog that can be in time if it goes first, and items that can wait.
void PlayBacklogThatFits(Replay& replay) {
  replay.Submit("large", 26, kStart);
  for (int now = kStart; now < kStart + 60000; now += kStepMs) {
    if ((now - kStart) % 1000 == 0 && now < kStart + 6000) {
      replay.Submit("small", 1, now);
    }
    replay.Step(now);
  }
}

}  // namespace

// Load: one organisation submits twelve times what the slots can run, for half
// a minute, another a little. By due time both lose the same proportion.
TEST_CASE("a backlog does not keep other organisations' items from slots") {
  const auto submit_to = [](Replay& replay) {
    Play(replay, [&replay](int now) {
      replay.Submit("large", 24, now);
      replay.Submit("small", 1, now);
    });
  };
  Replay by_due(10);
  by_due.named = false;
  submit_to(by_due);
  Replay in_turn(10);
  submit_to(in_turn);
  CAPTURE(by_due.in_time["large"], in_turn.in_time["large"]);
  CHECK(by_due.in_time["small"] < 15);
  CHECK(in_turn.in_time["small"] == 30);
  CHECK(in_turn.InTime() >= by_due.InTime());
}

// Load: one organisation submits 400 items at once, which take 200 s. Items
// that another submits later are in time after those of the burst are late, so
// turns would only cost results that are in time.
TEST_CASE("turns cost no results in time after a single burst") {
  const auto submit_to = [](Replay& replay) {
    replay.Submit("large", 400, kStart);
    Play(replay, [&replay](int now) { replay.Submit("small", 1, now); });
  };
  Replay by_due(10);
  by_due.named = false;
  submit_to(by_due);
  Replay in_turn(10);
  submit_to(in_turn);
  CAPTURE(by_due.in_time["large"], in_turn.in_time["large"]);
  CHECK(in_turn.InTime() >= by_due.InTime());
  CHECK(in_turn.in_time["small"] >= by_due.in_time["small"]);
}

// Guards against late results for the sake of turns.
TEST_CASE("organisations take no turns while all items can be in time") {
  Replay replay(10);
  PlayBacklogThatFits(replay);
  CHECK(replay.in_time["large"] == 26);
  CHECK(replay.in_time["small"] == 6);
  const auto first_small =
      std::ranges::find(replay.leased, "small", &ItemRef::batch);
  CHECK(std::ranges::none_of(
      first_small, replay.leased.end(),
      [](const ItemRef& item) { return item.batch == "large"; }));
}

// Guards against another order than by due time in fleets that know no
// organisations, or one only.
TEST_CASE("without organisations items go by due time under overload too") {
  Replay replay(10);
  SECTION("none") { replay.named = false; }
  SECTION("one") {}
  for (int i = 0; i < 20; ++i) {
    replay.Submit("one", 10, kStart + 100 * (20 - i));
  }
  replay.Step(kStart);
  replay.Step(kStart + kRunMs);
  REQUIRE(replay.leased.size() == 20);
  CHECK(replay.scheduler.TakeCounts().by_turn == 0);
  CHECK(std::ranges::is_sorted(replay.leased, {}, [&](const ItemRef& item) {
    return std::pair(replay.due[item], std::stoi(item.item));
  }));
}

TEST_CASE("organisations of a more urgent priority go first under overload") {
  Replay replay(4);
  replay.Submit("usual", 100, kStart, 2);
  replay.Submit("other", 100, kStart, 2);
  replay.Submit("urgent", 5, kStart, 1);
  replay.Step(kStart);
  const auto leased_of = [&](const std::string& organisation) {
    return std::ranges::count(replay.leased, organisation, &ItemRef::batch);
  };
  CHECK(leased_of("urgent") == 4);
  CHECK(replay.scheduler.TakeCounts().by_turn == 4);
  replay.Step(kStart + kRunMs);
  CHECK(leased_of("urgent") == 5);
  CHECK(leased_of("usual") + leased_of("other") == 3);
  replay.Step(kStart + 2 * kRunMs);
  CHECK(std::abs(leased_of("usual") - leased_of("other")) <= 1);
}

// Guards against an organisation with a single waiting item at a time that goes
// first each time, and against state that grows with each organisation.
TEST_CASE("turns of organisations without waiting items are remembered") {
  OrganisationTurns turns;
  const Time due = At(kAllowedMs);
  turns.Add("large", 0, {due, 1});
  turns.Add("large", 0, {due, 2});
  turns.Add("single", 0, {due, 3});
  turns.Remove("single", {due, 3});
  turns.Served("single", 1);
  turns.Add("single", 0, {due, 4});
  REQUIRE(turns.Next(At(0), Time::max(), At(0)).has_value());
  CHECK(turns.Next(At(0), Time::max(), At(0))->item ==
        OrganisationTurns::Key{due, 1});
  turns.Served("large", 2);
  CHECK(turns.Next(At(0), Time::max(), At(0))->item ==
        OrganisationTurns::Key{due, 4});
  SECTION("up to a bound") {
    for (std::uint64_t i = 0; i < 10000; ++i) {
      const std::string name = std::to_string(i);
      turns.Add(name, 0, {due, i + 5});
      turns.Remove(name, {due, i + 5});
      turns.Served(name, i + 5);
    }
    CHECK(turns.Size() <= OrganisationTurns::kMaxIdle + 2);
  }
}

// Guards against organisations that never get a turn again after all their
// items were late for a while.
TEST_CASE("an organisation whose items are all late gets no turn") {
  OrganisationTurns turns;
  turns.Add("late", 0, {At(1000), 1});
  turns.Add("other", 0, {At(9000), 2});
  turns.Served("other", 1);
  CHECK(turns.Next(At(5000), Time::max(), At(5000))->item.second == 2);
  CHECK(turns.Waiting() == 1);
  SECTION("until it adds an item") {
    turns.Add("late", 0, {At(9000), 3});
    CHECK(turns.Next(At(5000), Time::max(), At(5000))->item.second == 3);
  }
  SECTION("and its late item can still be removed") {
    turns.Remove("late", {At(1000), 1});
    CHECK(turns.Next(At(5000), Time::max(), At(5000))->item.second == 2);
  }
}

// Guards against a leader that spends its time on choosing among organisations.
TEST_CASE("each of thousands of organisations gets its turn at little cost") {
  constexpr int kCostTolerance = 20;
  constexpr std::size_t kPulls = 500;
  const auto cost_with = [&](int organisations) {
    Replay replay(1);
    for (int i = 0; i < organisations; ++i) {
      replay.Submit(std::to_string(i), organisations >= 10000 ? 2 : 2000,
                    kStart + i % 100);
    }
    replay.scheduler.SetRunTime("g", kService, milliseconds(kRunMs), 1, 0,
                                At(kStart));
    std::set<std::string> served;
    const auto cost = ProcessorTimeOf([&] {
      for (std::size_t i = 0; i < kPulls; ++i) {
        for (const ItemRef& item :
             replay.scheduler.Take("g", kService, 1, At(kStart + 200))) {
          served.insert(item.batch);
        }
      }
    });
    CHECK(served.size() ==
          std::min(kPulls, static_cast<std::size_t>(organisations)));
    return cost;
  };
  CHECK(cost_with(10000) < kCostTolerance * cost_with(10));
}

}  // namespace papayarack::batches
