#include <catch2/catch.hpp>

#include "claims/claimtable.h"

namespace papayarack::claims {
namespace {

int Code(ResultCode code) { return static_cast<int>(code); }

ClaimRequest Request(const std::string& claim_id, std::int64_t now = 0) {
  return {"lonestar", "post-cheque-17", "hash", claim_id, now, 86400000, 30000};
}

}  // namespace

TEST_CASE("a request runs at most once per idempotency key") {
  ClaimTable book;
  REQUIRE(book.Claim(Request("first")).code == 0);

  SECTION("the same attempt may claim again when the answer was lost") {
    CHECK(book.Claim(Request("first")).code == 0);
  }
  // Guards against a request that runs twice: the client resends it through
  // another entry, which does not know that the first one is running.
  SECTION("a resend through another entry is told that the first is running") {
    CHECK(book.Claim(Request("second")).code ==
          Code(ResultCode::kStillRunning));
  }
  SECTION("a resend after the answer gets the stored answer") {
    book.End({"lonestar", "post-cheque-17", "first",
              static_cast<std::uint8_t>(ClaimState::kAnswered), false, 201,
              "text/plain", "posted"});
    const ClaimOutcome again = book.Claim(Request("second"));
    CHECK(again.code == Code(ResultCode::kAlreadyDone));
    CHECK(again.answer == "posted");
  }
  // Guards against the same when the entry fails with the request in flight, so
  // that its end is never reported, and the client resends it much later.
  SECTION(
      "a claim whose entry failed is unknown past its deadline and never runs "
      "again") {
    CHECK(book.Claim(Request("second", 30001)).code ==
          Code(ResultCode::kUnknownOutcome));
  }
  SECTION("a request that did not run may be claimed again") {
    book.End({"lonestar", "post-cheque-17", "first", 0, true, 0, "", ""});
    CHECK(book.Claim(Request("second")).code == 0);
  }
  SECTION("other content under the key is a conflict") {
    ClaimRequest other = Request("second");
    other.content_hash = "else";
    CHECK(book.Claim(other).code == Code(ResultCode::kConflict));
  }
  SECTION("an end reported by another attempt is ignored") {
    book.End({"lonestar", "post-cheque-17", "second", 0, true, 0, "", ""});
    CHECK(book.Claim(Request("third")).code == Code(ResultCode::kStillRunning));
  }
  SECTION("claims survive a snapshot and expire after their retention") {
    ClaimTable copy;
    copy.Load(book.Save());
    CHECK(copy.Claim(Request("second")).code ==
          Code(ResultCode::kStillRunning));
    copy.Expire(86400001);
    CHECK(copy.Count() == 0);
  }
}

}  // namespace papayarack::claims
