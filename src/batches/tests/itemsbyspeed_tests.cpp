#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "batches/leasescheduler.h"

namespace papayarack::batches {
namespace {

using std::chrono::milliseconds;

const std::string kService = "llm";
constexpr milliseconds kFast{3300};
constexpr milliseconds kSlow{8000};
constexpr int kSettled = 2000;

Time At(int ms) { return Time(milliseconds(ms)); }

/// The fleet's estimate is 5 s before the first result, so an item that is due
/// in 8 s is in time at a fast gate only, and one due in 18 s at either.
class Leases {
 public:
  Leases() { this->scheduler.Reset(At(0)); }

  void Add(const std::string& item, int due) {
    this->scheduler.Add({"b", item}, At(due), {{kService}, {}, {}});
  }
  void State(const std::string& gate, milliseconds run_time,
             std::size_t room = 1, int at = kSettled) {
    this->scheduler.SetRunTime(gate, kService, run_time, room, 0, At(at));
  }
  std::vector<std::string> Take(const std::string& gate, std::size_t room,
                                int at = kSettled) {
    const bool expected = this->scheduler.HasWaitingFor(kService, At(at), gate);
    std::vector<std::string> names;
    for (const ItemRef& item :
         this->scheduler.Take(gate, kService, room, At(at))) {
      names.push_back(item.item);
    }
    CHECK(expected == !names.empty());
    return names;
  }

  LeaseScheduler scheduler;
};

using Names = std::vector<std::string>;

}  // namespace

// Load: replicas of one service differ in speed by 2.4. By one estimate for all
// of them, items with little time left start at slow gates and end late.
TEST_CASE("items go to gates where they end in time") {
  Leases leases;
  leases.Add("late", kSettled + 3000);
  leases.Add("tight", kSettled + 8000);
  leases.Add("fresh", kSettled + 18000);
  const auto state_both = [&leases] {
    leases.State("fast", kFast);
    leases.State("slow", kSlow);
  };
  SECTION("a slow gate leaves to fast ones what is in time only there") {
    state_both();
    CHECK(leases.Take("slow", 5) == Names{"fresh", "late"});
    CHECK(leases.Take("slow", 5).empty());
    CHECK(leases.Take("fast", 5) == Names{"tight"});
  }
  SECTION("a fast gate takes them first") {
    state_both();
    CHECK(leases.Take("fast", 1) == Names{"tight"});
    CHECK(leases.Take("fast", 5) == Names{"fresh", "late"});
    const LeaseCounts first = leases.scheduler.TakeCounts();
    CHECK(first.by_due_time == 2);
    CHECK(first.late == 1);
    SECTION("and the runs that a result took are counted") {
      leases.scheduler.Return("fast", {{"b", "tight"}, {}});
      REQUIRE(leases.Take("fast", 1) == Names{"tight"});
      leases.scheduler.Remove({"b", "tight"}, At(kSettled + 6000));
      const LeaseCounts second = leases.scheduler.TakeCounts();
      CHECK(second.results == 1);
      CHECK(second.runs == 2);
    }
  }
  SECTION("an item that is late everywhere may run at a slow gate") {
    state_both();
    CHECK(leases.Take("slow", 5, kSettled + 3100) ==
          Names{"fresh", "late", "tight"});
  }
  SECTION("gates that state no time share one estimate") {
    leases.State("fast", milliseconds(0));
    leases.State("slow", milliseconds(0));
    CHECK(leases.Take("slow", 5) == Names{"tight", "fresh", "late"});
  }
  SECTION("a gate of an earlier release is not slow beside others") {
    state_both();
    leases.State("earlier", milliseconds(0));
    CHECK(leases.Take("earlier", 1) == Names{"tight"});
  }
  SECTION("no item waits for a faster gate that does not exist") {
    SECTION("because all are slow") {
      leases.State("slow", kSlow);
      leases.State("slower", kSlow + milliseconds(900));
    }
    SECTION("because the fast one is silent") {
      state_both();
      leases.scheduler.Renew("fast", 1, {}, At(0));
      leases.scheduler.Renew("slow", 1, {}, At(kSettled));
      leases.scheduler.Expire(At(kSettled + 600));
      leases.State("slow", kSlow);
    }
    SECTION("because the fast ones run another service") {
      leases.State("slow", kSlow);
      for (const char* gate : {"a", "b", "c", "d"}) {
        leases.scheduler.SetRunTime(gate, "small", kFast, 1, 0, At(kSettled));
      }
    }
    SECTION("because the fast one never has room") {
      leases.State("fast", kFast, 0);
      leases.State("slow", kSlow);
    }
    CHECK_FALSE(leases.scheduler.IsSlow("slow", kService));
    CHECK(leases.Take("slow", 5) == Names{"tight", "fresh", "late"});
  }
  SECTION("an absurd time neither claims all items nor keeps them away") {
    leases.State("usual", kFast);
    leases.State("absurd", milliseconds(1));
    CHECK(leases.Take("usual", 1) == Names{"tight"});
    leases.State("absurd", std::chrono::hours(1000));
    leases.State("also usual", kFast);
    CHECK(leases.Take("absurd", 5) == Names{"late"});
    CHECK(leases.Take("usual", 5) == Names{"fresh"});
  }
  SECTION("a new leader knows no times until the gates state them again") {
    state_both();
    REQUIRE(leases.scheduler.IsSlow("slow", kService));
    leases.scheduler.Reset(At(kSettled));
    CHECK_FALSE(leases.scheduler.IsSlow("slow", kService));
    leases.Add("tight", kSettled + 12000);
    const int settled = 2 * kSettled;
    SECTION("so that nothing waits") {
      CHECK(leases.Take("slow", 1, settled) == Names{"tight"});
    }
    SECTION("and goes by them from then on") {
      leases.State("fast", kFast, 1, settled);
      leases.State("slow", kSlow, 1, settled);
      CHECK(leases.Take("slow", 1, settled).empty());
      CHECK(leases.Take("fast", 1, settled) == Names{"tight"});
    }
  }
}

}  // namespace papayarack::batches
