#include <catch2/catch.hpp>

#include "documents/documentstore.h"
#include "documents/servicedocument.h"

namespace papayarack::documents {
namespace {

int Code(ResultCode code) { return static_cast<int>(code); }

nlohmann::json Counter() {
  return {{"service", "counter"},
          {"version", 1},
          {"owner", "kivu"},
          {"work",
           {{{"name", "chat"}, {"class", "online"}},
            {{"name", "restock"}, {"class", "batch"}}}}};
}

}  // namespace

TEST_CASE("a service document") {
  nlohmann::json document = Counter();
  SECTION("is read with its kinds of work") {
    const ServiceDocument parsed = ParseDocument(document);
    CHECK(parsed.FindWork("", WorkClass::kBatch)->name == "restock");
    CHECK(parsed.FindWork("restock", WorkClass::kOnline) == nullptr);
  }
  SECTION("names every error at once") {
    document["version"] = 0;
    document["work"][0]["class"] = "sometimes";
    document["urgent"] = true;
    CHECK_THROWS_WITH(ParseDocument(document),
                      Catch::Contains("/version") &&
                          Catch::Contains("/work/0/class") &&
                          Catch::Contains("urgent"));
  }
  SECTION("must not name a kind of work twice") {
    document["work"][1]["name"] = "chat";
    CHECK_THROWS_WITH(ParseDocument(document), Catch::Contains("/work/1/name"));
  }
  SECTION("has one canonical text whatever the order of its keys") {
    const auto other = nlohmann::json::parse(
        R"({"work":[{"class":"online","name":"chat"},{"name":"restock","class":"batch"}],
            "owner":"kivu", "version":1,"service":"counter"})");
    CHECK(CanonicalText(other) == CanonicalText(document));
  }
}

TEST_CASE("two operators and one service") {
  DocumentStore book;
  REQUIRE(book.Submit("counter", 1, "first").revision == 1);

  SECTION("the next version comes into force") {
    CHECK(book.Submit("counter", 2, "second").revision == 2);
    CHECK(book.Find("counter")->text == "second");
  }
  // Symptom: one team's change silently replaces the other's. Sequence: both
  // edit version 1 and submit a version 2. Cause: equal version numbers with
  // different content.
  SECTION(
      "an equal version with other content is a conflict that shows what is in "
      "force") {
    book.Submit("counter", 2, "ours");
    const SubmitOutcome theirs = book.Submit("counter", 2, "theirs");
    CHECK(theirs.code == Code(ResultCode::kConflict));
    CHECK(theirs.in_force.text == "ours");
    CHECK(book.Find("counter")->text == "ours");
  }
  // Symptom: a resend reverts a later change. Sequence: the answer to version 1
  // is lost, version 2 is accepted, version 1 is sent again. Cause: a resend
  // taken for a new submission.
  SECTION("a resend gets the first answer and never reverts") {
    book.Submit("counter", 2, "second");
    const SubmitOutcome again = book.Submit("counter", 1, "first");
    CHECK(again.code == Code(ResultCode::kOk));
    CHECK(again.revision == 1);
    CHECK(book.Find("counter")->text == "second");
  }
  SECTION(
      "a version that skips one, or an old one with other content, is a "
      "conflict") {
    CHECK(book.Submit("counter", 3, "third").code ==
          Code(ResultCode::kConflict));
    CHECK(book.Submit("counter", 1, "other").code ==
          Code(ResultCode::kConflict));
  }
  SECTION("who lags gets each service once, at its current document") {
    book.Submit("counter", 2, "second");
    book.Submit("cheque", 1, "images");
    book.Submit("counter", 3, "third");
    const auto changes = book.ChangesSince(1);
    REQUIRE(changes.size() == 2);
    CHECK(changes.back().text == "third");
    CHECK(book.ChangesSince(4).empty());
  }
  SECTION("a snapshot keeps all of it") {
    book.Submit("counter", 2, "second");
    DocumentStore copy;
    copy.Load(book.Save());
    CHECK(copy.revision() == 2);
    CHECK(copy.Submit("counter", 1, "first").revision == 1);
    CHECK_THROWS_AS(copy.Load("\xc1"), ResultError);
  }
}

}  // namespace papayarack::documents
