#include <algorithm>
#include <catch2/catch.hpp>

#include "entry/retrybudget.h"
#include "entry/routercore.h"

namespace papayarack::entry {
namespace {

constexpr Time kStart{std::chrono::seconds(100)};
constexpr Duration kMs = std::chrono::milliseconds(1);

fleet::FleetMember Gate(const std::string& name,
                        const std::string& zone = "a") {
  fleet::FleetMember member;
  member.report.name = name;
  member.report.role = "side";
  member.report.zone = zone;
  member.report.service = "counter";
  member.report.address = "127.0.0.1:1";
  member.report.limit = 4;
  member.report.shared_limit = 4;
  member.report.incarnation = 1;
  return member;
}

RouteQuery Query(std::span<const std::string> tried = {}) {
  return {"counter", 0, tried};
}

std::vector<fleet::FleetMember> Gates(int count) {
  std::vector<fleet::FleetMember> members;
  members.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    members.push_back(Gate("g" + std::to_string(i)));
  }
  return members;
}

}  // namespace

TEST_CASE("the router of an entry with four gates") {
  RouterCore router({"a", 3, 0.34, 3.0, 0.75});
  auto members = Gates(4);
  router.SetFleet(members, true);

  SECTION("spreads requests by the number in flight") {
    for (int i = 0; i < 40; ++i) {
      router.Choose(Query(), kStart);
    }
    for (const GateView& view : router.View(kStart)) {
      CHECK(view.in_flight >= 6);
      CHECK(view.in_flight <= 14);
    }
  }
  SECTION("does not choose a gate that was tried before") {
    const std::vector<std::string> tried = {"g0", "g1", "g2"};
    CHECK(router.Choose(Query(tried), kStart) == "g3");
  }
  SECTION(
      "sends nothing more to a gate that announced its shutdown, even if the "
      "list of control is older") {
    router.MarkLeaving("g0");
    router.SetFleet(members, true);
    for (int i = 0; i < 50; ++i) {
      CHECK(router.Choose(Query(), kStart) != "g0");
    }
    SECTION("until that gate has started again") {
      members[0].report.incarnation = 2;
      router.SetFleet(members, true);
      bool chosen = false;
      for (int i = 0; i < 50; ++i) {
        chosen = chosen || router.Choose(Query(), kStart) == "g0";
      }
      CHECK(chosen);
    }
  }
  // Guards against losing all gates after control elects a new leader: the new
  // leader has received a heartbeat from one gate so far, and its list must not
  // be taken for the whole fleet.
  SECTION(
      "keeps gates that have not sent a new control leader a heartbeat yet") {
    router.SetFleet(std::span(members).first(1), false);
    CHECK(router.CountFor("counter") == 4);
    router.SetFleet(std::span(members).first(1), true);
    CHECK(router.CountFor("counter") == 1);
  }
  SECTION("sets a failing gate aside and readmits it by one trial at a time") {
    router.Report("g0", RouteOutcome::kFailed, {}, kStart);
    router.Report("g0", RouteOutcome::kFailed, {}, kStart);
    for (int i = 0; i < 50; ++i) {
      CHECK(router.Choose(Query(), kStart) != "g0");
    }
    const Time later = kStart + 3000 * kMs;
    int trials = 0;
    for (int i = 0; i < 200; ++i) {
      trials += router.Choose(Query(), later) == "g0" ? 1 : 0;
    }
    CHECK(trials == 1);
    router.Finish("g0");
    router.Report("g0", RouteOutcome::kAnswered, kMs, later);
    int chosen = 0;
    for (int i = 0; i < 200; ++i) {
      chosen += router.Choose(Query(), later) == "g0" ? 1 : 0;
    }
    CHECK(chosen > 10);
  }
  // Guards against setting all gates aside, which would make the service
  // unavailable: every gate fails a few times, and the number already set aside
  // is not considered.
  SECTION("never sets aside more than a fraction of its gates") {
    for (int i = 0; i < 10; ++i) {
      for (const char* name : {"g0", "g1", "g2", "g3"}) {
        router.Report(name, RouteOutcome::kFailed, {}, kStart);
      }
    }
    const auto views = router.View(kStart);
    CHECK(std::ranges::count(views, true, &GateView::set_aside) == 1);
  }
  SECTION("sets aside a gate that is much slower than its peers") {
    for (int i = 0; i < 40; ++i) {
      for (const char* name : {"g1", "g2", "g3"}) {
        router.Report(name, RouteOutcome::kAnswered, 50 * kMs, kStart);
      }
      router.Report("g0", RouteOutcome::kAnswered, 400 * kMs, kStart);
    }
    const auto views = router.View(kStart);
    CHECK(views.at(0).set_aside);
    CHECK(std::ranges::count(views, true, &GateView::set_aside) == 1);
  }
  SECTION("sends equal prefixes to one gate while it has capacity") {
    const auto first = router.Choose({"counter", 99, {}}, kStart);
    CHECK(router.Choose({"counter", 99, {}}, kStart) == first);
    for (int i = 0; i < 20; ++i) {
      router.Choose({"counter", 99, {}}, kStart);
    }
    const auto views = router.View(kStart);
    CHECK(std::ranges::max(views, {}, &GateView::in_flight).in_flight < 16);
  }
}

TEST_CASE("an entry prefers its own zone until it is full") {
  RouterCore router({"a", 3, 0.34, 3.0, 0.75});
  const std::vector<fleet::FleetMember> members = {Gate("near"),
                                                   Gate("far", "b")};
  router.SetFleet(members, true);
  for (int i = 0; i < 3; ++i) {
    CHECK(router.Choose(Query(), kStart) == "near");
  }
  bool spilled = false;
  for (int i = 0; i < 20; ++i) {
    spilled = spilled || router.Choose(Query(), kStart) == "far";
  }
  CHECK(spilled);
}

TEST_CASE("a router without any gate chooses none") {
  RouterCore router({"a", 3, 0.34, 3.0, 0.75});
  CHECK_FALSE(router.Choose(Query(), kStart).has_value());
}

TEST_CASE("a retry budget limits retries to a fraction of the first requests") {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    retries += budget.TryRetry() ? 1 : 0;
  }
  CHECK(retries <= 112);
  CHECK(retries >= 100);
}

}  // namespace papayarack::entry
