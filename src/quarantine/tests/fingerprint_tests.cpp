#include <catch2/catch.hpp>

#include "quarantine/fingerprint.h"
#include "quarantine/recentsurvivals.h"

namespace papayarack::quarantine {

TEST_CASE("a request is known by its content") {
  const RequestContent content{"POST", "h.example", "/a/b", "body"};
  const Fingerprint fingerprint = FingerprintOf(content);

  SECTION("the same at each attempt") {
    CHECK(FingerprintOf({"POST", "h.example", "/a/b", "body"}) == fingerprint);
    CHECK(fingerprint.ToString().size() == 32);
  }
  SECTION("another with any other part") {
    CHECK(FingerprintOf({"GET", "h.example", "/a/b", "body"}) != fingerprint);
    CHECK(FingerprintOf({"POST", "g.example", "/a/b", "body"}) != fingerprint);
    CHECK(FingerprintOf({"POST", "h.example", "/a/c", "body"}) != fingerprint);
    CHECK(FingerprintOf({"POST", "h.example", "/a/b", "bodx"}) != fingerprint);
  }
  SECTION("also where the parts join to the same bytes") {
    CHECK(FingerprintOf({"POST", "h.example", "/a/bb", "ody"}) != fingerprint);
  }
  SECTION("and remembered as harmless once a replica ran it to the end") {
    RecentSurvivals survivals;
    CHECK_FALSE(survivals.Has(fingerprint));
    survivals.Add(fingerprint);
    CHECK(survivals.Has(fingerprint));
    CHECK_FALSE(survivals.Has({fingerprint.high, fingerprint.low + 1}));
  }
}

}  // namespace papayarack::quarantine
