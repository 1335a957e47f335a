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
  SECTION("is parsed with its kinds of work") {
    const ServiceDocument parsed = ParseDocument(document);
    CHECK(parsed.FindWork("", WorkClass::kBatch)->name == "restock");
    CHECK(parsed.FindWork("restock", WorkClass::kOnline) == nullptr);
  }
  SECTION("names all its errors when it is rejected") {
    document["version"] = 0;
    document["work"][0]["class"] = "sometimes";
    document["urgent"] = true;
    CHECK_THROWS_WITH(ParseDocument(document),
                      Catch::Contains("/version") &&
                          Catch::Contains("/work/0/class") &&
                          Catch::Contains("urgent"));
  }
  SECTION("must not use the name of a kind of work twice") {
    document["work"][1]["name"] = "chat";
    CHECK_THROWS_WITH(ParseDocument(document), Catch::Contains("/work/1/name"));
  }
  SECTION("has one canonical text for any order of its keys") {
    const auto other = nlohmann::json::parse(
        R"({"work":[{"class":"online","name":"chat"},{"name":"restock","class":"batch"}],
            "owner":"kivu", "version":1,"service":"counter"})");
    CHECK(CanonicalText(other) == CanonicalText(document));
  }
}

TEST_CASE("documents of one service submitted by two operators") {
  DocumentStore store;
  REQUIRE(store.Submit("counter", 1, "first").revision == 1);

  SECTION("the next version takes effect") {
    CHECK(store.Submit("counter", 2, "second").revision == 2);
    CHECK(store.Find("counter")->text == "second");
  }
  // Guards against one team's change that silently replaces another's: both
  // edit version 1 and submit different documents as version 2.
  SECTION(
      "the same version with other content is a conflict that returns the "
      "document in force") {
    store.Submit("counter", 2, "ours");
    const SubmitOutcome theirs = store.Submit("counter", 2, "theirs");
    CHECK(theirs.code == Code(ResultCode::kConflict));
    CHECK(theirs.in_force.text == "ours");
    CHECK(store.Find("counter")->text == "ours");
  }
  // Guards against a resend that reverts a later change: the answer to version
  // 1 is lost, version 2 is accepted, and version 1 is sent again.
  SECTION("a resend gets the first answer and changes nothing") {
    store.Submit("counter", 2, "second");
    const SubmitOutcome again = store.Submit("counter", 1, "first");
    CHECK(again.code == Code(ResultCode::kOk));
    CHECK(again.revision == 1);
    CHECK(store.Find("counter")->text == "second");
  }
  SECTION(
      "a version that skips one, or an old one with other content, is a "
      "conflict") {
    CHECK(store.Submit("counter", 3, "third").code ==
          Code(ResultCode::kConflict));
    CHECK(store.Submit("counter", 1, "other").code ==
          Code(ResultCode::kConflict));
  }
  SECTION(
      "changes since a revision list each service once, with its current "
      "document") {
    store.Submit("counter", 2, "second");
    store.Submit("cheque", 1, "images");
    store.Submit("counter", 3, "third");
    const auto changes = store.ChangesSince(1);
    REQUIRE(changes.size() == 2);
    CHECK(changes.back().text == "third");
    CHECK(store.ChangesSince(4).empty());
  }
  SECTION("a snapshot restores the whole state") {
    store.Submit("counter", 2, "second");
    DocumentStore copy;
    copy.Load(store.Save());
    CHECK(copy.revision() == 2);
    CHECK(copy.Submit("counter", 1, "first").revision == 1);
    CHECK_THROWS_AS(copy.Load("\xc1"), ResultError);
  }
}

}  // namespace papayarack::documents
