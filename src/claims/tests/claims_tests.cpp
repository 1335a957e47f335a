#include <catch2/catch.hpp>

#include "claims/claimtable.h"

namespace papayarack::claims {
namespace {

int Code(ResultCode code) { return static_cast<int>(code); }

ClaimRequest Request(const std::string& claim_id, std::int64_t now = 0) {
  return {"lonestar", "post-cheque-17", "hash", claim_id, now, 86400000, 30000};
}

}  // namespace

TEST_CASE("a teller posts a cheque once") {
  ClaimTable book;
  REQUIRE(book.Claim(Request("first")).code == 0);

  SECTION("the same try may ask again when control's answer was lost") {
    CHECK(book.Claim(Request("first")).code == 0);
  }
  // Symptom: a cheque posts twice. Sequence: the branch resends through another
  // entry while the first request runs. Cause: the second entry knows nothing
  // of the first.
  SECTION("a resend through another entry waits for the first") {
    CHECK(book.Claim(Request("second")).code ==
          Code(ResultCode::kStillRunning));
  }
  SECTION("a resend after the answer gets that answer") {
    book.End({"lonestar", "post-cheque-17", "first",
              static_cast<std::uint8_t>(ClaimState::kAnswered), false, 201,
              "text/plain", "posted"});
    const ClaimOutcome again = book.Claim(Request("second"));
    CHECK(again.code == Code(ResultCode::kAlreadyDone));
    CHECK(again.answer == "posted");
  }
  // Symptom: as above. Sequence: the entry dies with the request on its way;
  // the branch resends much later. Cause: nobody will ever report the end.
  SECTION(
      "a claim whose entry died is unknown past its deadline, and never runs "
      "again") {
    CHECK(book.Claim(Request("second", 30001)).code ==
          Code(ResultCode::kUnknownOutcome));
  }
  SECTION("a request that was certainly not run may be made again") {
    book.End({"lonestar", "post-cheque-17", "first", 0, true, 0, "", ""});
    CHECK(book.Claim(Request("second")).code == 0);
  }
  SECTION("other content under the key is a conflict") {
    ClaimRequest other = Request("second");
    other.content_hash = "else";
    CHECK(book.Claim(other).code == Code(ResultCode::kConflict));
  }
  SECTION("an end reported by another try changes nothing") {
    book.End({"lonestar", "post-cheque-17", "second", 0, true, 0, "", ""});
    CHECK(book.Claim(Request("third")).code == Code(ResultCode::kStillRunning));
  }
  SECTION("it survives a snapshot and is forgotten after its time") {
    ClaimTable copy;
    copy.Load(book.Save());
    CHECK(copy.Claim(Request("second")).code ==
          Code(ResultCode::kStillRunning));
    copy.Expire(86400001);
    CHECK(copy.Count() == 0);
  }
}

}  // namespace papayarack::claims
