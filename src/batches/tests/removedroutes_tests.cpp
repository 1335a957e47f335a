#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>

#include "batches/leasescheduler.h"
#include "batches/tests/batchtable.h"
#include "batches/tests/storepair.h"

namespace papayarack::batches {
namespace {

constexpr const char* kNewRoute = "h/new/";
constexpr std::uint64_t kNewVersion = 2;
/// Longer than a leader takes to give up what it has to.
constexpr milliseconds kObserved{400};

SubmitBatch OnNewRoute() {
  SubmitBatch batch;
  batch.id = "b";
  batch.host = "h";
  batch.route_key = kNewRoute;
  batch.items.push_back({"i", "/new/1", {}, "body", 100});
  batch.config_version = kNewVersion;
  return batch;
}

routes::RouteTablePtr Routes(std::uint64_t version, bool with_new_route) {
  routes::FleetConfiguration configuration = MakeBatchTable()->configuration();
  configuration.version = version;
  if (with_new_route) {
    configuration.routes.push_back(configuration.routes.front());
    configuration.routes.back().path_prefix = "/new/";
  }
  return std::make_shared<routes::RouteTable>(std::move(configuration));
}

struct Caller {
  StorePair pair;

  coordination::GroupReply Ask(const std::string& path, const auto& message) {
    std::optional<coordination::GroupReply> reply;
    this->pair.Leader().Call(
        path, message,
        [&reply](const coordination::GroupReply& given) { reply = given; });
    this->pair.RunUntil([&reply] { return reply.has_value(); });
    REQUIRE(reply.has_value());
    return *reply;
  }

  void SetRoutes(const routes::RouteTablePtr& table) {
    for (StoreMember& member : this->pair.Members()) {
      member.SetRoutes(table);
    }
    this->pair.RunAll(kObserved);
  }

  std::size_t Listed() {
    return DecodeMessage<ResultPage>(
               this->Ask("/jobs/read", ReadResults{"b", 0, 0}).body)
        .results.size();
  }
};

}  // namespace

// Guards against giving up accepted items because the leader of the job group
// does not know their new route yet, though the entry that took them did.
TEST_CASE("items are given up once their route is removed, not before") {
  Caller caller;
  caller.SetRoutes(Routes(kNewVersion - 1, false));
  REQUIRE(caller.Ask("/jobs/submit", OnNewRoute()).code == 0);
  caller.pair.RunAll(kObserved);
  CHECK(caller.Listed() == 0);
  caller.SetRoutes(Routes(kNewVersion, true));
  CHECK(caller.Listed() == 0);
  caller.SetRoutes(Routes(kNewVersion + 1, false));
  CHECK(caller.Listed() == 1);
}

// Guards against accepted items that are neither run nor given up, as their own
// paths match no batch route, or another one than accepted them.
TEST_CASE("items go where the route leads that accepted their batch") {
  constexpr std::uint64_t kOldVersion = 1;
  const auto routes = [](std::uint64_t version, const auto& change) {
    routes::FleetConfiguration configuration =
        MakeBatchTable()->configuration();
    configuration.version = version;
    change(configuration.routes);
    return std::make_shared<routes::RouteTable>(std::move(configuration));
  };
  const auto under_prefix = [](routes::RouteKind kind) {
    routes::Route route = MakeBatchTable()->configuration().routes.front();
    route.path_prefix = "/r/3/";
    route.kind = kind;
    route.targets = {{"other", 1}};
    return route;
  };
  Caller caller;
  caller.SetRoutes(routes(kOldVersion, [](auto&) {}));
  SubmitBatch batch;
  batch.id = "b";
  batch.host = "h";
  batch.route_key = "h/r/";
  batch.items.push_back({"i", "/r/3/1", {}, "body", 100});
  batch.config_version = kOldVersion;
  const auto leased_by = [&caller](const std::string& service) {
    PullItems pull;
    pull.gate = "g";
    pull.incarnation = 1;
    pull.service = service;
    pull.room = 1;
    // The first pulls of a term may get nothing.
    constexpr int kPulls = 3;
    std::size_t leased = 0;
    for (int i = 0; i < kPulls && leased == 0; ++i) {
      const coordination::GroupReply reply = caller.Ask("/jobs/pull", pull);
      leased = DecodeMessage<PulledItems>(reply.body).items.size();
    }
    return leased;
  };

  SECTION("where a route for other requests is added under its prefix") {
    REQUIRE(caller.Ask("/jobs/submit", batch).code == 0);
    const auto kind =
        GENERATE(routes::RouteKind::kStreaming, routes::RouteKind::kIdempotent,
                 routes::RouteKind::kBatch);
    caller.SetRoutes(routes(kNewVersion, [&](auto& changed) {
      changed.push_back(under_prefix(kind));
    }));
    CHECK(leased_by("other") == 0);
    CHECK(leased_by("llm") == 1);
    CHECK(caller.Listed() == 0);
  }
  SECTION("where their paths lie under no route") {
    batch.items.front().path = "/elsewhere/1";
    REQUIRE(caller.Ask("/jobs/submit", batch).code == 0);
    CHECK(leased_by("llm") == 1);
  }
  SECTION("and are given up where it takes no batches any more") {
    REQUIRE(caller.Ask("/jobs/submit", batch).code == 0);
    caller.SetRoutes(routes(kNewVersion, [](auto& changed) {
      changed.front().kind = routes::RouteKind::kStreaming;
    }));
    CHECK(caller.Listed() == 1);
  }
}

// Guards against accepted items that nobody runs and whose callers wait for
// ever, as those of a service without a replica.
TEST_CASE("items that nobody runs are given up after the longest wait") {
  constexpr milliseconds kLongestWait{3500};
  constexpr milliseconds kChecked{2500};
  Caller caller;
  routes::FleetConfiguration configuration =
      Routes(kNewVersion, true)->configuration();
  configuration.routes.back().batch.max_item_wait = kLongestWait;
  caller.SetRoutes(
      std::make_shared<routes::RouteTable>(std::move(configuration)));
  const Time submitted = MonotonicNow();
  REQUIRE(caller.Ask("/jobs/submit", OnNewRoute()).code == 0);
  const auto waited = [submitted] { return MonotonicNow() - submitted; };

  SECTION("not before") {
    while (waited() < kLongestWait - milliseconds(500)) {
      caller.pair.RunAll(milliseconds(300));
      CHECK(caller.Listed() == 0);
    }
    caller.pair.RunAll(kChecked);
    CHECK(caller.Listed() == 1);
  }
  SECTION("but not while a gate holds them") {
    PullItems pull;
    pull.gate = "g";
    pull.incarnation = 1;
    pull.service = "llm";
    while (waited() < kLongestWait + kChecked) {
      pull.room = pull.holding.empty() ? 1 : 0;
      const auto pulled =
          DecodeMessage<PulledItems>(caller.Ask("/jobs/pull", pull).body);
      if (!pulled.items.empty()) {
        pull.holding = {{"b", "i"}};
      }
    }
    REQUIRE_FALSE(pull.holding.empty());
    CHECK(caller.Listed() == 0);
    caller.pair.RunAll(LeaseScheduler::kLeaseTime + kChecked);
    CHECK(caller.Listed() == 1);
  }
}

}  // namespace papayarack::batches
