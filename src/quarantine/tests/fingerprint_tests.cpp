#include <catch2/catch.hpp>

#include "quarantine/fingerprint.h"
#include "quarantine/recentsurvivals.h"
#include "quarantine/traits.h"

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
    constexpr Time kWhen{std::chrono::seconds(100)};
    CHECK_FALSE(survivals.Find(fingerprint).has_value());
    survivals.Add(fingerprint, kWhen);
    CHECK(survivals.Find(fingerprint) == kWhen);
    CHECK_FALSE(
        survivals.Find({fingerprint.high, fingerprint.low + 1}).has_value());
    SECTION("with its latest run") {
      survivals.Add(fingerprint, kWhen + std::chrono::seconds(1));
      CHECK(survivals.Find(fingerprint) == kWhen + std::chrono::seconds(1));
    }
    SECTION("also after others that share its place in the cache") {
      for (std::uint64_t i = 1; i <= 3; ++i) {
        survivals.Add({i, fingerprint.low}, kWhen + std::chrono::seconds(i));
      }
      CHECK(survivals.Find(fingerprint) == kWhen);
      CHECK(survivals.Find({3, fingerprint.low}).has_value());
    }
  }
}

// Guards against a part of prompts that is taken for another one.
TEST_CASE("the traits of a request are itself and the shared parts") {
  const RequestContent content{"POST", "h.example", "/a/b", "body"};
  const std::vector<std::string> parts = {"a1", "b2", "c3"};
  const auto traits = TraitsOf(content, "llm", parts);
  REQUIRE(traits.size() == 3);
  CHECK(traits[0] == Trait{FingerprintOf(content), kWholeRequestDepth});
  CHECK(traits[1] == Trait{PartFingerprint("llm", "a1"), 0});
  CHECK(traits[2] == Trait{PartFingerprint("llm", "b2"), 1});
  SECTION("a part is another one in another service") {
    CHECK(PartFingerprint("other", "a1") != PartFingerprint("llm", "a1"));
  }
  SECTION("a prompt without shared parts has none") {
    CHECK(TraitsOf(content, "llm", {}).size() == 1);
    CHECK(TraitsOf(content, "llm", std::vector<std::string>{"a1"}).size() == 1);
  }
  SECTION("parts beyond the limit are left out") {
    const std::vector<std::string> many(100, "p");
    CHECK(TraitsOf(content, "llm", many).size() == kMaxPromptParts + 1);
  }
}

}  // namespace papayarack::quarantine
