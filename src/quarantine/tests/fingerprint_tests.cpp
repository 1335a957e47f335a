#include <catch2/catch.hpp>

#include "quarantine/fingerprint.h"
#include "quarantine/recentsurvivals.h"

namespace papayarack::quarantine {

TEST_CASE("a fingerprint identifies a request by its content") {
  const RequestContent content{"POST", "h.example", "/a/b", "body"};
  const Fingerprint fingerprint = FingerprintOf(content);

  SECTION("it is the same for each attempt") {
    CHECK(FingerprintOf({"POST", "h.example", "/a/b", "body"}) == fingerprint);
    CHECK(fingerprint.ToString().size() == 32);
  }
  SECTION("it differs if any part differs") {
    CHECK(FingerprintOf({"GET", "h.example", "/a/b", "body"}) != fingerprint);
    CHECK(FingerprintOf({"POST", "g.example", "/a/b", "body"}) != fingerprint);
    CHECK(FingerprintOf({"POST", "h.example", "/a/c", "body"}) != fingerprint);
    CHECK(FingerprintOf({"POST", "h.example", "/a/b", "bodx"}) != fingerprint);
  }
  SECTION("it differs even if the joined parts are the same bytes") {
    CHECK(FingerprintOf({"POST", "h.example", "/a/bb", "ody"}) != fingerprint);
  }
  SECTION("a completed request is found by it") {
    RecentSurvivals survivals;
    CHECK_FALSE(survivals.Has(fingerprint));
    survivals.Add(fingerprint);
    CHECK(survivals.Has(fingerprint));
    CHECK_FALSE(survivals.Has({fingerprint.high, fingerprint.low + 1}));
  }
}

}  // namespace papayarack::quarantine
