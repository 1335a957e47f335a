#include <catch2/catch.hpp>

#include "global/tests/processortime.h"
#include "routes/routetable.h"

namespace papayarack::routes {
namespace {

Route MakeRoute(const std::string& name, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = "shop.example";
  route.path_prefix = prefix;
  route.timeout = std::chrono::seconds(5);
  route.targets = {{"llm", 1}};
  return route;
}

FleetConfiguration MakeConfiguration() {
  FleetConfiguration configuration;
  configuration.version = 7;
  configuration.services = {{"llm", "/health", 390, 8}};
  configuration.routes = {MakeRoute("all", "/a/"), MakeRoute("deep", "/a/b/")};
  return configuration;
}

/// Adds `count` routes; route i is named "i" and has the prefix "/i/".
FleetConfiguration MakeLargeConfiguration(int count) {
  FleetConfiguration configuration = MakeConfiguration();
  for (int i = 0; i < count; ++i) {
    const std::string name = std::to_string(i);
    configuration.routes.push_back(MakeRoute(name, "/" + name + "/"));
  }
  return configuration;
}

}  // namespace

TEST_CASE("a configuration is validated as a whole") {
  FleetConfiguration configuration = MakeConfiguration();
  CHECK_NOTHROW(Validate(configuration));
  SECTION("a route to an unknown service is refused") {
    configuration.routes[0].targets = {{"other", 1}};
    CHECK_THROWS_AS(Validate(configuration), ResultError);
  }
  SECTION("two routes with one host and prefix are refused") {
    configuration.routes[1].path_prefix = "/a/";
    CHECK_THROWS_AS(Validate(configuration), ResultError);
  }
  SECTION("weights that add up to zero are refused") {
    configuration.routes[0].targets = {{"llm", 0}, {"llm", 0}};
    CHECK_THROWS_AS(Validate(configuration), ResultError);
  }
  SECTION("a timeout of zero is refused") {
    configuration.routes[0].timeout = std::chrono::milliseconds(0);
    CHECK_THROWS_AS(Validate(configuration), ResultError);
  }
}

TEST_CASE("a route is found by host and longest prefix") {
  const RouteTable table(MakeConfiguration());
  CHECK(table.Find("shop.example", "/a/b/1")->name == "deep");
  CHECK(table.Find("shop.example:80", "/a/1")->name == "all");
  CHECK(table.Find("shop.example", "/a") == nullptr);
  CHECK(table.Find("else.example", "/a/1") == nullptr);
  CHECK(table.FindKey("shop.example/a/")->name == "all");
}

// Guards against a leader that spends its time on lookups: it looks up the
// route of each open batch ten times a second.
TEST_CASE("looking up a route by its key costs the same with many routes") {
  constexpr int kLookups = 2000;
  constexpr int kClockNoiseFactor = 10;
  const auto cost_among = [&](int count) {
    FleetConfiguration configuration = MakeLargeConfiguration(count);
    const std::string last = configuration.routes.back().Key();
    const RouteTable table(std::move(configuration));
    int found = 0;
    const auto cost = ProcessorTimeOf([&] {
      for (int i = 0; i < kLookups; ++i) {
        found += table.FindKey(last) != nullptr ? 1 : 0;
      }
    });
    CHECK(found == kLookups);
    return cost;
  };
  CHECK(cost_among(4000) < kClockNoiseFactor * cost_among(10));
}

// Guards against processes that spend their time on lookups: each request, and
// each batch item after each change of the configuration, looks up its route.
TEST_CASE("looking up a route by its path costs the same with many routes") {
  constexpr int kLookups = 2000;
  constexpr int kClockNoiseFactor = 10;
  const auto cost_among = [&](int count) {
    const RouteTable table(MakeLargeConfiguration(count));
    int found = 0;
    const auto cost = ProcessorTimeOf([&] {
      for (int i = 0; i < kLookups; ++i) {
        const Route* route = table.Find("shop.example", "/0/item");
        found += route != nullptr && route->name == "0" ? 1 : 0;
      }
    });
    CHECK(found == kLookups);
    return cost;
  };
  CHECK(cost_among(4000) < kClockNoiseFactor * cost_among(10));
}

TEST_CASE("requests are split by weight") {
  Route route = MakeRoute("split", "/s/");
  route.targets = {{"one", 90}, {"two", 10}};
  CHECK(PickService(route, 0.0) == "one");
  CHECK(PickService(route, 0.89) == "one");
  CHECK(PickService(route, 0.91) == "two");
  CHECK(PickService(route, 0.9999) == "two");
}

}  // namespace papayarack::routes
