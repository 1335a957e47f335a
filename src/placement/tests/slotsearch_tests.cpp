#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "placement/slotsearch.h"

namespace papayarack::placement {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBudget{250};

Time At(int ms) { return Time(std::chrono::seconds(100) + milliseconds(ms)); }

std::vector<EngineOption> Fleet(int count, bool gates = true) {
  std::vector<EngineOption> options;
  for (int i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    options.push_back({"e" + number, "id" + number,
                       gates ? "g" + number : std::string(), "z", 8});
    options.back().unowned_share = gates ? 0 : 1;
  }
  return options;
}

/// The start of an engine created by Fleet.
EngineStart StartAt(const std::string& address) {
  return {address, "id" + address.substr(1)};
}

/// Asks for immediate slots until the search queues or ends. Every gate is busy
/// and reports the next of `waits`, or the last once they are used up.
SearchStep AllBusy(SlotSearch& search, EngineChooser& chooser,
                   const std::vector<int>& waits,
                   std::vector<std::string>& asked) {
  for (std::size_t i = 0; i < SlotSearch::kMaxImmediateAsks; ++i) {
    const SearchStep step = search.Next(chooser, kBudget, At(0));
    const auto& ask = std::get<AskGate>(step);
    CHECK(ask.longest_wait == milliseconds(0));
    asked.push_back(ask.engine.address);
    search.Busy(milliseconds(waits[std::min(i, waits.size() - 1)]));
  }
  return search.Next(chooser, kBudget, At(0));
}

}  // namespace

// Guards against a caller that is refused although a gate reported a wait of
// 86 ms and the caller could wait 249 ms. Three gates are busy (86, 94 and
// 287 ms); the request then queues at a fourth gate, not asked before, which
// expects 276 ms and refuses. This happens if gates that were not asked are
// considered besides the least busy one.
TEST_CASE("a request queues at the gate that reported the shortest wait") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", Fleet(12));
  SlotSearch search("llm", "z");
  std::vector<std::string> asked;
  const SearchStep step = AllBusy(search, chooser, {94, 86, 287}, asked);
  const auto& queue = std::get<AskGate>(step);
  CHECK(queue.engine.address == asked[1]);
  CHECK(queue.longest_wait == kBudget);
  // A gate that froze must not block the request until its deadline.
  CHECK_FALSE(search.AskTimedOut(milliseconds(300)));
  CHECK(search.AskTimedOut(milliseconds(400)));
  SECTION("and is refused if no slot became free there") {
    search.Busy(milliseconds(300));
    CHECK(std::holds_alternative<NoSlot>(search.Next(chooser, kBudget, At(9))));
    CHECK(search.ShortestWait() == milliseconds(86));
  }
}

// Guards against items that are preempted, and then wait at their gate, while
// other gates have free slots.
TEST_CASE("a request looks for a free slot before an item is preempted") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", Fleet(12));
  SlotSearch search("llm", "z", {}, true);
  const auto next = [&] {
    return std::get<AskGate>(search.Next(chooser, kBudget, At(0)));
  };
  const AskGate first = next();
  CHECK(first.spares_items);
  search.WouldPreempt();
  SECTION("and is granted one elsewhere") {
    const AskGate second = next();
    CHECK(second.spares_items);
    CHECK(second.engine.address != first.engine.address);
  }
  SECTION("and preempts one at the first gate after three asks") {
    for (std::size_t i = 1; i < SlotSearch::kMaxSparingAsks; ++i) {
      CHECK(next().spares_items);
      search.WouldPreempt();
    }
    const AskGate last = next();
    CHECK(last.engine.address == first.engine.address);
    CHECK_FALSE(last.spares_items);
    CHECK(last.longest_wait == milliseconds(0));
    SECTION("and goes on elsewhere if that has filled or closed meanwhile") {
      GENERATE(true, false) ? search.Busy(milliseconds(90)) : search.Closed();
      const AskGate other = next();
      CHECK(other.engine.address != first.engine.address);
      CHECK_FALSE(other.spares_items);
    }
    SECTION("and does not ask again where that is refused all the same") {
      search.WouldPreempt();
      CHECK(next().engine.address != first.engine.address);
    }
  }
  SECTION("and preempts one if no other gate is left") {
    EngineChooser small(1);
    small.SetOptions("llm", Fleet(1));
    SlotSearch only("llm", "z", {}, true);
    only.Next(small, kBudget, At(0));
    only.WouldPreempt();
    const auto again = std::get<AskGate>(only.Next(small, kBudget, At(0)));
    CHECK_FALSE(again.spares_items);
  }
  SECTION(
      "but not where replicas are even and the caller has no organisation") {
    SlotSearch plain("llm", "z");
    const SearchStep step = plain.Next(chooser, kBudget, At(0));
    CHECK_FALSE(std::get<AskGate>(step).spares_items);
  }
}

TEST_CASE("a request that would be too late is refused without queueing") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", Fleet(12));
  SlotSearch search("llm", "z");
  std::vector<std::string> asked;
  const SearchStep step = AllBusy(search, chooser, {310, 290, 287}, asked);
  CHECK(std::holds_alternative<NoSlot>(step));
  CHECK(search.ShortestWait() == milliseconds(287));
}

TEST_CASE("a gate that does not respond does not count as asked") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", Fleet(12));
  SlotSearch search("llm", "z");
  std::set<std::string> asked;
  CHECK(search.AskTimedOut(milliseconds(130)));
  for (int i = 0; i < 5; ++i) {
    const SearchStep step = search.Next(chooser, kBudget, At(0));
    asked.insert(std::get<AskGate>(step).engine.address);
    search.Unanswered();
  }
  CHECK(asked.size() == 5);
}

// Guards against callers that are refused although other engines have free
// slots. A request queues at the least busy gate, whose engine then crashes;
// the gate closing must not end the search.
TEST_CASE("a request continues its search when a gate closes") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", Fleet(12));
  SlotSearch search("llm", "z");
  SECTION(
      "when it asked for a free slot, and the gate does not count as asked") {
    std::set<std::string> asked;
    for (std::size_t i = 0; i < SlotSearch::kMaxImmediateAsks + 2; ++i) {
      const SearchStep step = search.Next(chooser, kBudget, At(0));
      asked.insert(std::get<AskGate>(step).engine.address);
      search.Closed();
    }
    CHECK(asked.size() == SlotSearch::kMaxImmediateAsks + 2);
  }
  SECTION("when it queued there") {
    std::vector<std::string> asked;
    const SearchStep queued = AllBusy(search, chooser, {90}, asked);
    REQUIRE(std::get<AskGate>(queued).longest_wait == kBudget);
    search.Closed();
    const SearchStep step = search.Next(chooser, kBudget, At(50));
    const auto& ask = std::get<AskGate>(step);
    CHECK(ask.longest_wait == milliseconds(0));
    CHECK(std::ranges::find(asked, ask.engine.address) == asked.end());
  }
}

// Guards against callers that wait for seconds or are refused although engines
// are idle. The VMs of the hosts lose power, or have just restarted and do not
// know yet what they own, while the engines keep running. This happens if each
// request asks one host after the other.
TEST_CASE("engines are used while their hosts are unavailable") {
  EngineChooser chooser(1);
  auto options = Fleet(4);
  for (EngineOption& option : options) {
    option.gate = "host";
    option.hosted = true;
    option.unowned_share = 1;
  }
  chooser.SetOptions("llm", options);
  SlotSearch search("llm", "z");
  const SearchStep first = search.Next(chooser, kBudget, At(0));
  const std::string asked = std::get<AskGate>(first).engine.address;
  SECTION("an engine is used when the host asked does not own it") {
    search.NoOwner();
    chooser.NotOwned(asked, At(1));
    std::set<std::string> sent;
    for (int i = 0; i < 4 && sent.count(asked) == 0; ++i) {
      const SearchStep next = search.Next(chooser, kBudget, At(1));
      if (const auto* send = std::get_if<SendUngated>(&next)) {
        sent.insert(send->engine.address);
      } else {
        search.Busy(milliseconds(400));
      }
    }
    CHECK(sent == std::set<std::string>{asked});
  }
  SECTION("a host that does not respond is asked by one request only") {
    search.NoOwner();
    chooser.HostTimedOut("host", At(1));
    for (int i = 0; i < 4; ++i) {
      SlotSearch other("llm", "z");
      const SearchStep next = other.Next(chooser, kBudget, At(2));
      REQUIRE(std::holds_alternative<SendUngated>(next));
      chooser.Started(std::get<SendUngated>(next).engine.address);
    }
    SECTION("requests beyond the shares of the engines are refused") {
      SlotSearch other("llm", "z");
      CHECK(
          std::holds_alternative<NoSlot>(other.Next(chooser, kBudget, At(2))));
    }
    SECTION("the host is asked again later") {
      SlotSearch other("llm", "z");
      const Time later = At(2) + EngineChooser::kUnownedFor;
      CHECK(
          std::holds_alternative<AskGate>(other.Next(chooser, kBudget, later)));
    }
  }
}

TEST_CASE("engines without a gate get a bounded number of requests") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", Fleet(2, false));
  SlotSearch first("llm", "z");
  const SearchStep step = first.Next(chooser, kBudget, At(0));
  const std::string used = std::get<SendUngated>(step).engine.address;
  chooser.Started(used);
  SECTION("no request at engines whose slots fall to other entries") {
    EngineChooser others(1);
    auto options = Fleet(3, false);
    options[0].unowned_share = 0;
    options[1].unowned_share = 0;
    others.SetOptions("llm", options);
    SlotSearch search("llm", "z");
    const SearchStep only = search.Next(others, kBudget, At(0));
    CHECK(std::get<SendUngated>(only).engine.address == options[2].address);
    others.Started(options[2].address);
    SlotSearch second("llm", "z");
    CHECK(std::holds_alternative<NoSlot>(second.Next(others, kBudget, At(0))));
  }
  SECTION("one request of each entry at each engine") {
    SlotSearch second("llm", "z");
    const SearchStep other = second.Next(chooser, kBudget, At(0));
    chooser.Started(std::get<SendUngated>(other).engine.address);
    SlotSearch third("llm", "z");
    CHECK(std::holds_alternative<NoSlot>(third.Next(chooser, kBudget, At(0))));
  }
  SECTION("a failed run is retried elsewhere, and there once all were tried") {
    first.Restart(chooser, StartAt(used));
    const SearchStep second = first.Next(chooser, kBudget, At(0));
    const std::string other = std::get<SendUngated>(second).engine.address;
    CHECK(other != used);
    chooser.Ended(used);
    first.Restart(chooser, StartAt(other));
    const SearchStep third = first.Next(chooser, kBudget, At(0));
    CHECK(std::get<SendUngated>(third).engine.address == used);
  }
}

// Guards against a stream whose replica crashed and that is not resumed at a
// restarted replica, although no other has free slots. Two replicas are asked,
// the second fails, the first restarts under its id. This happens if the search
// records tried replicas by address only.
TEST_CASE("a restarted replica counts as untried") {
  EngineChooser chooser(1);
  std::vector<EngineOption> options = Fleet(3);
  for (EngineOption& option : options) {
    option.started_ms = 100;
  }
  chooser.SetOptions("llm", options);
  SlotSearch search("llm", "z");
  const SearchStep first = search.Next(chooser, kBudget, At(0));
  const EngineOption asked = std::get<AskGate>(first).engine;
  search.Busy(milliseconds(900));
  const SearchStep second = search.Next(chooser, kBudget, At(0));
  const EngineOption failed = std::get<AskGate>(second).engine;
  search.Restart(chooser, failed.Start());
  REQUIRE(chooser.ObserveStart(asked.address, 200).has_value());
  std::set<std::string> offered;
  for (int i = 0; i < 2; ++i) {
    const SearchStep step = search.Next(chooser, kBudget, At(0));
    offered.insert(std::get<AskGate>(step).engine.address);
    search.Busy(milliseconds(900));
  }
  CHECK(offered.count(asked.address) == 1);
  CHECK(offered.count(failed.address) == 0);
}

// Load: the start of a wave; three of four gates are full and the entry has no
// recent reports. With three asks more than a third of the requests find no
// free slot, with six less than a fifth.
TEST_CASE("most requests find a free slot while some gates have one") {
  constexpr int kGates = 36;
  constexpr int kRequests = 400;
  const auto is_full = [](const std::string& address) {
    return std::stoi(address.substr(1)) % 4 != 0;
  };
  int without_slot = 0;
  for (int i = 0; i < kRequests; ++i) {
    EngineChooser chooser(static_cast<std::uint64_t>(i) + 1);
    chooser.SetOptions("llm", Fleet(kGates));
    SlotSearch search("llm", "z");
    bool found = false;
    while (!found) {
      const SearchStep step = search.Next(chooser, kBudget, At(0));
      const auto* ask = std::get_if<AskGate>(&step);
      if (ask == nullptr || ask->longest_wait > milliseconds(0)) {
        break;
      }
      found = !is_full(ask->engine.address);
      search.Busy(milliseconds(90));
    }
    without_slot += found ? 0 : 1;
  }
  CHECK(without_slot * 5 < kRequests);
}

TEST_CASE("there is no slot without a known engine") {
  EngineChooser chooser(1);
  SlotSearch search("llm", "z");
  CHECK(std::holds_alternative<NoSlot>(search.Next(chooser, kBudget, At(0))));
}

// Guards against a stream that goes on at a replica of another software version
// because those of its own are busy, were tried, or are gone.
TEST_CASE("a stream that has begun looks only at replicas of its software") {
  const ReplicaSoftware old{"llm", "v1"};
  std::vector<EngineOption> options = Fleet(6);
  for (std::size_t i = 0; i < options.size(); ++i) {
    options[i].software = {"llm", i < 2 ? "v1" : "v2"};
  }
  EngineChooser chooser(1);
  chooser.SetOptions("llm", options);
  SlotSearch search("llm", "z");
  search.ContinueOnly(old);
  const auto asked = [&] {
    return std::get<AskGate>(search.Next(chooser, kBudget, At(0))).engine;
  };

  SECTION("and queues at the least busy of them") {
    const std::string first = asked().address;
    search.Busy(milliseconds(90));
    CHECK(asked().software == old);
    search.Busy(milliseconds(40));
    const auto queue = std::get<AskGate>(search.Next(chooser, kBudget, At(0)));
    CHECK(queue.engine.software == old);
    CHECK(queue.engine.address != first);
    CHECK(queue.longest_wait == kBudget);
  }
  SECTION("again once all of them were tried") {
    const EngineOption first = asked();
    const EngineOption second = asked();
    search.Restart(chooser, second.Start());
    CHECK(asked().address == first.address);
  }
  SECTION("and has nowhere to go when none is left") {
    options.erase(options.begin(), options.begin() + 2);
    chooser.SetOptions("llm", options);
    const auto none = std::get<NoSlot>(search.Next(chooser, kBudget, At(0)));
    CHECK(none.no_replica);
  }
  SECTION("but waiting may help while they are busy") {
    asked();
    search.Busy(milliseconds(900));
    asked();
    search.Busy(milliseconds(900));
    const auto none = std::get<NoSlot>(search.Next(chooser, kBudget, At(0)));
    CHECK_FALSE(none.no_replica);
  }
  // Guards against callers that begin anew at once although their replicas are
  // there and may give slots again in a moment.
  SECTION("and may find one later when no gate gives slots now") {
    asked();
    search.Closed();
    asked();
    search.Unanswered();
    const auto none = std::get<NoSlot>(search.Next(chooser, kBudget, At(0)));
    CHECK_FALSE(none.no_replica);
  }
  SECTION("nor at one whose software is unknown") {
    options[0].software = {};
    chooser.SetOptions("llm", options);
    CHECK(asked().address == "e1");
    SlotSearch unknown("llm", "z");
    unknown.ContinueOnly({});
    CHECK(std::get<NoSlot>(unknown.Next(chooser, kBudget, At(0))).no_replica);
  }
  // Guards against a replica that comes back upgraded under its id and address
  // before the list says so.
  SECTION("nor at one that has restarted since the list was read") {
    for (EngineOption& option : options) {
      option.started_ms = 1000;
    }
    chooser.SetOptions("llm", options);
    chooser.ObserveStart("e0", 2000);
    CHECK(asked().address == "e1");
    CHECK(std::get<NoSlot>(search.Next(chooser, kBudget, At(0))).no_replica ==
          false);
  }
}

}  // namespace papayarack::placement
