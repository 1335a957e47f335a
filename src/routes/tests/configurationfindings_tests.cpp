#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "routes/configurationdifference.h"
#include "routes/configurationfindings.h"

namespace papayarack::routes {
namespace {

using std::chrono::milliseconds;

Route MakeRoute(const std::string& name, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = "shop.example";
  route.path_prefix = prefix;
  route.timeout = milliseconds(5000);
  route.target_latency = milliseconds(300);
  route.targets = {{"llm", 1}};
  return route;
}

/// A configuration in which nothing is doubtful.
FleetConfiguration MakeConfiguration() {
  FleetConfiguration configuration;
  configuration.version = 7;
  configuration.services = {{"llm", "/health", 390, 8}};
  configuration.routes = {MakeRoute("chat", "/a/"), MakeRoute("deep", "/a/b/")};
  configuration.requires_keys = true;
  configuration.organisations = {{"acme", {"secret-1"}, 0, 10, 20}};
  return configuration;
}

/// Kind and place of each finding.
std::vector<std::string> Found(const FleetConfiguration& configuration,
                               const ExpectedLoad& load = {}) {
  REQUIRE_NOTHROW(Validate(configuration));
  std::vector<std::string> found;
  for (const Finding& finding : FindingsOf(configuration, load)) {
    CHECK_FALSE(finding.reason.empty());
    CHECK(finding.reason.find("secret") == std::string::npos);
    CHECK(finding.place.find("secret") == std::string::npos);
    found.push_back(std::string(NameOf(finding.kind)) + " " + finding.place);
  }
  return found;
}

std::vector<std::string> Differing(const FleetConfiguration& from,
                                   const FleetConfiguration& to) {
  std::vector<std::string> all;
  for (const Difference& one : DifferencesOf(from, to)) {
    std::string text = std::string(NameOf(one.kind)) + " " + one.place;
    for (const std::string& field : one.fields) {
      text += ", " + field;
    }
    CHECK(text.find("secret") == std::string::npos);
    all.push_back(std::move(text));
  }
  return all;
}

using Strings = std::vector<std::string>;

}  // namespace

// Guards against a check that is ignored since it reports what is in order.
TEST_CASE("nothing is found in a sound configuration") {
  FleetConfiguration configuration = MakeConfiguration();
  CHECK(Found(configuration).empty());
  SECTION("a route beside a broader one, as the longest prefix wins") {
    configuration.routes.push_back(MakeRoute("all", "/"));
    CHECK(Found(configuration).empty());
  }
  SECTION("no organisations, and no keys asked for") {
    configuration.requires_keys = false;
    configuration.organisations.clear();
    CHECK(Found(configuration).empty());
  }
  SECTION("an organisation without a limit") {
    configuration.organisations[0].requests_per_second = 0;
    configuration.organisations[0].burst = 0;
    CHECK(Found(configuration).empty());
  }
}

// Guards against entries that an operator counts on and that have no effect.
TEST_CASE("entries that can never match are found") {
  FleetConfiguration configuration = MakeConfiguration();
  SECTION("a route whose host has a port, which is not compared") {
    configuration.routes[1].host = "other.example:8443";
    CHECK(Found(configuration) == Strings{"route_never_matches route deep"});
  }
  SECTION("a route behind an equal or broader one") {
    configuration.routes[1].host = "shop.example:8443";
    CHECK(Found(configuration) == Strings{"route_never_matches route deep"});
    configuration.routes[1].path_prefix = "/a/";
    CHECK(Found(configuration) == Strings{"route_never_matches route deep"});
  }
  SECTION("a route with a query in its prefix") {
    configuration.routes[1].path_prefix = "/a?b/";
    CHECK(Found(configuration) == Strings{"route_never_matches route deep"});
  }
  SECTION("a service that no route names") {
    configuration.services.push_back({"old", "/health", 1, 1});
    CHECK(Found(configuration) == Strings{"service_unused service old"});
  }
  SECTION("a service of a name that is taken") {
    configuration.services.push_back({"llm", "/other", 1, 1});
    CHECK(Found(configuration) == Strings{"service_repeated service llm"});
  }
  SECTION("an organisation without keys") {
    configuration.organisations.push_back({"bolt", {}, 0, 10, 20});
    CHECK(Found(configuration) ==
          Strings{"organisation_without_keys organisation bolt"});
  }
  SECTION("routes that ask for a key where there is none") {
    configuration.organisations.clear();
    CHECK(Found(configuration) == Strings{"no_caller_admitted organisations"});
    for (Route& route : configuration.routes) {
      route.allows_anonymous = true;
    }
    CHECK(Found(configuration).empty());
  }
}

// Guards against limits of which one makes the other useless.
TEST_CASE("limits that contradict each other are found") {
  FleetConfiguration configuration = MakeConfiguration();
  Route& route = configuration.routes[0];
  Organisation& organisation = configuration.organisations[0];
  SECTION("a burst below one request") {
    organisation.burst = 0.9;
    CHECK(Found(configuration) ==
          Strings{"burst_below_one_request organisation acme"});
    organisation.burst = 1;
    CHECK(Found(configuration).empty());
  }
  SECTION("a burst beside a rate of zero, which means no limit") {
    organisation.requests_per_second = 0;
    CHECK(Found(configuration) ==
          Strings{"burst_without_rate organisation acme"});
  }
  SECTION("a timeout below the latency target") {
    route.timeout = milliseconds(299);
    CHECK(Found(configuration) == Strings{"timeout_below_target route chat"});
    route.timeout = milliseconds(300);
    CHECK(Found(configuration).empty());
  }
  SECTION("attempts that do not fit into the timeout") {
    route.max_attempts = 3;
    route.timeout = milliseconds(899);
    CHECK(Found(configuration) ==
          Strings{"attempts_beyond_timeout route chat"});
    route.timeout = milliseconds(900);
    CHECK(Found(configuration).empty());
    SECTION("but not where a request runs once only") {
      route.timeout = milliseconds(400);
      route.kind = RouteKind::kNonIdempotent;
      CHECK(Found(configuration).empty());
    }
  }
  SECTION("a cap below one batch, if its size is known") {
    route.kind = RouteKind::kBatch;
    route.batch.max_waiting_tokens = 9999;
    CHECK(Found(configuration).empty());
    CHECK(Found(configuration, {10000}) ==
          Strings{"cap_below_one_batch route chat"});
    CHECK(Found(configuration, {9999}).empty());
    route.batch.max_waiting_tokens = 0;
    CHECK(Found(configuration, {10000}).empty());
  }
}

// Guards against a kind without a name in the output for programs.
TEST_CASE("every kind of finding has a name of its own") {
  std::set<std::string_view> names;
  constexpr int kKinds =
      static_cast<int>(FindingKind::kAttemptsBeyondTimeout) + 1;
  for (int kind = 0; kind < kKinds; ++kind) {
    names.insert(NameOf(static_cast<FindingKind>(kind)));
  }
  CHECK(names.size() == kKinds);
}

// Guards against a change that an operator sends without having meant it.
TEST_CASE("what differs from an earlier version is named") {
  const FleetConfiguration from = MakeConfiguration();
  FleetConfiguration to = from;
  SECTION("nothing, whatever the version and the order") {
    to.version = 8;
    std::ranges::reverse(to.routes);
    CHECK(Differing(from, to).empty());
  }
  SECTION("a route that is added, removed or changed") {
    to.routes[0].name = "talk";
    to.routes[1].timeout = milliseconds(4000);
    to.routes[1].targets = {{"llm", 1}, {"new", 2}};
    CHECK(Differing(from, to) ==
          Strings{"removed route chat", "changed route deep, timeout, services",
                  "added route talk"});
  }
  SECTION("routes of one name by host and prefix") {
    to.routes[1].name = "chat";
    CHECK(
        Differing(from, to) ==
        Strings{"removed route deep", "added route chat at shop.example/a/b/"});
  }
  SECTION("a service and the limits of callers") {
    to.services[0].slots = 9;
    to.limits.max_body_bytes = 1;
    CHECK(Differing(from, to) ==
          Strings{"changed service llm, slots",
                  "changed limits of callers, body bytes"});
  }
  SECTION("an organisation, without its keys") {
    to.organisations[0].keys = {"secret-2"};
    to.organisations[0].burst = 30;
    to.organisations.push_back({"bolt", {"secret-3"}, 0, 1, 1});
    CHECK(Differing(from, to) ==
          Strings{"changed organisation acme, keys, burst",
                  "added organisation bolt"});
  }
  SECTION("whether keys are asked for") {
    to.organisations.clear();
    to.requires_keys = false;
    CHECK(Differing(from, to) == Strings{"removed organisation acme",
                                         "removed list of organisations"});
  }
}

// Guards against callers who are rejected, or served as somebody else, since a
// key was dropped by mistake.
TEST_CASE("keys that are removed are told by organisation and position") {
  FleetConfiguration from = MakeConfiguration();
  from.organisations = {{"acme", {"secret-1", "secret-2", "secret-3"}, 0, 1, 1},
                        {"bolt", {"secret-4"}, 0, 1, 1}};
  FleetConfiguration to = from;
  const auto removed = [&] {
    Strings all;
    for (const RemovedKey& key : RemovedKeysOf(from, to)) {
      all.push_back(key.organisation + " " + std::to_string(key.position) +
                    (key.moved_to.empty() ? "" : " to " + key.moved_to));
    }
    return all;
  };

  SECTION("not those that are kept or added, in any order") {
    to.organisations[0].keys = {"secret-3", "secret-5", "secret-2", "secret-1"};
    CHECK(removed().empty());
  }
  SECTION("those that no organisation has") {
    to.organisations[0].keys = {"secret-2"};
    CHECK(removed() == Strings{"acme 0", "acme 2"});
  }
  SECTION("those of an organisation that is removed or renamed") {
    to.organisations[0].name = "acme-2";
    to.organisations.pop_back();
    CHECK(removed() == Strings{"acme 0 to acme-2", "acme 1 to acme-2",
                               "acme 2 to acme-2", "bolt 0"});
  }
  SECTION("none where keys are no longer asked for") {
    to.organisations.clear();
    CHECK(removed().size() == 4);
    to.requires_keys = false;
    CHECK(removed().empty());
  }
  SECTION("none where none were asked for") {
    std::swap(from, to);
    from.organisations.clear();
    from.requires_keys = false;
    CHECK(removed().empty());
  }
}

}  // namespace papayarack::routes
