#include <catch2/catch.hpp>

#include "organisations/authentication.h"

namespace papayarack::organisations {
namespace {

routes::FleetConfiguration TwoOrganisations() {
  routes::FleetConfiguration configuration;
  configuration.requires_keys = true;
  configuration.organisations = {{"acme", {"k1", "k2"}, 0, 0, 0},
                                 {"bolt", {"k3"}, 1, 0, 0}};
  return configuration;
}

/// Name of the organisation, "" for an anonymous caller, "rejected" or
/// "outdated".
std::string Outcome(const Authentication& result) {
  if (const auto* caller = std::get_if<Authenticated>(&result)) {
    return caller->organisation != nullptr ? caller->organisation->name : "";
  }
  return std::holds_alternative<KeyRejected>(result) ? "rejected" : "outdated";
}

}  // namespace

TEST_CASE("a caller is its key's organisation") {
  const routes::RouteTable table(TwoOrganisations());
  const auto outcome = [&table](std::string_view key,
                                KeyTrust trust = KeyTrust::kCurrent,
                                bool anonymous = false) {
    return Outcome(Authenticate(table, anonymous, key, trust));
  };

  SECTION("whichever of its keys it uses") {
    CHECK(outcome("k1") == "acme");
    CHECK(outcome("k2") == "acme");
    CHECK(outcome("k3") == "bolt");
  }
  SECTION("a missing or unknown key is rejected") {
    CHECK(outcome("") == "rejected");
    CHECK(outcome("k") == "rejected");
    CHECK(outcome("acme") == "rejected");
  }
  SECTION("a route for anonymous callers asks for none") {
    CHECK(outcome("", KeyTrust::kCurrent, true).empty());
    CHECK(outcome("k1", KeyTrust::kCurrent, true).empty());
    CHECK(outcome("", KeyTrust::kNone, true).empty());
  }
  SECTION("outdated keys accept nobody where removals bind") {
    CHECK(outcome("k1", KeyTrust::kNone) == "outdated");
    CHECK(outcome("k", KeyTrust::kNone) == "outdated");
  }
  SECTION("elsewhere they accept whom they know and reject nobody's key") {
    CHECK(outcome("k1", KeyTrust::kKnownOnly) == "acme");
    CHECK(outcome("k", KeyTrust::kKnownOnly) == "outdated");
    CHECK(outcome("", KeyTrust::kKnownOnly) == "rejected");
  }
}

// Guards against a caller whose key is not read, so that the batches of its
// organisation are hidden from it.
TEST_CASE("the caller of a batch is told by its key on every host") {
  routes::FleetConfiguration configuration = TwoOrganisations();
  routes::Route open;
  open.host = "open";
  open.kind = routes::RouteKind::kBatch;
  open.allows_anonymous = true;
  configuration.routes = {open};
  const routes::RouteTable table(configuration);
  const auto identify = [&table](std::string_view host, std::string_view key,
                                 KeyTrust trust = KeyTrust::kCurrent) {
    return IdentifyBatchCaller(table, host, key, trust);
  };

  SECTION("a key is read where anonymous batches are allowed too") {
    for (const char* host : {"open", "closed"}) {
      CHECK(identify(host, "k1")->organisation == "acme");
      CHECK_FALSE(identify(host, "k1")->rejected);
      CHECK(identify(host, "k")->organisation.empty());
      CHECK(identify(host, "k")->rejected);
      CHECK_FALSE(identify(host, "k1", KeyTrust::kNone).has_value());
    }
  }
  SECTION("a caller without a key is told so where one is needed") {
    CHECK(identify("closed", "")->rejected);
    CHECK_FALSE(identify("open", "")->rejected);
    CHECK_FALSE(identify("closed", "", KeyTrust::kNone).has_value());
    CHECK(identify("open", "", KeyTrust::kNone).has_value());
  }
}

TEST_CASE("without organisations every caller is anonymous") {
  const routes::RouteTable table((routes::FleetConfiguration()));
  CHECK(Outcome(Authenticate(table, false, "k1", KeyTrust::kNone)).empty());
}

TEST_CASE("with an empty list of organisations nobody is served") {
  routes::FleetConfiguration configuration;
  configuration.requires_keys = true;
  const routes::RouteTable table(configuration);
  CHECK(Outcome(Authenticate(table, false, "k1", KeyTrust::kCurrent)) ==
        "rejected");
}

}  // namespace papayarack::organisations
