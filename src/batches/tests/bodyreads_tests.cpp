#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "batches/tests/storepair.h"

namespace papayarack::batches {
namespace {

constexpr const char* kBatch = "b";
constexpr const char* kItem = "i";
constexpr const char* kOther = "j";
constexpr const char* kBody = "the body";

SubmitBatch MakeBatch() {
  SubmitBatch batch;
  batch.id = kBatch;
  batch.host = "h";
  batch.route_key = "h/r/";
  batch.items.push_back({kItem, "/r/1", {}, kBody, 100});
  batch.items.push_back({kOther, "/r/2", {}, kBody, 100});
  return batch;
}

ReportOutcomes Ended(const std::string& item, ItemEnd end) {
  return {{{kBatch, item, static_cast<std::uint8_t>(end), "text", 3}}};
}

/// A caller of the group's leader.
class Caller {
 public:
  explicit Caller(StorePair& pair) : pair(pair) {}

  template <typename Message>
  coordination::GroupReply Call(const std::string& path,
                                const Message& message) {
    std::optional<coordination::GroupReply> reply;
    this->pair.Leader().Call(
        path, message,
        [&reply](const coordination::GroupReply& given) { reply = given; });
    this->pair.RunUntil([&reply] { return reply.has_value(); });
    REQUIRE(reply.has_value());
    return *reply;
  }

  template <typename Message>
  void Do(const std::string& path, const Message& message) {
    REQUIRE(this->Call(path, message).code ==
            static_cast<int>(ResultCode::kOk));
  }

  /// Whether the batch's list of results has the item.
  bool Listed(const std::string& item) {
    const auto reply = this->Call("/jobs/read", ReadResults{kBatch});
    REQUIRE(reply.code == static_cast<int>(ResultCode::kOk));
    const auto page = DecodeMessage<ResultPage>(reply.body);
    return std::ranges::find(page.results, item, &ItemResult::id) !=
           page.results.end();
  }

  /// The item's body, or nothing if it is not found.
  std::optional<std::string> Body(const std::string& item) {
    const auto reply = this->Call("/jobs/body", ReadItemBody{kBatch, item});
    if (reply.code == static_cast<int>(ResultCode::kNotFound)) {
      return std::nullopt;
    }
    REQUIRE(reply.code == static_cast<int>(ResultCode::kOk));
    return reply.body;
  }

 private:
  StorePair& pair;
};

}  // namespace

// Guards against an accepted item that a caller finds neither in the list nor
// by its body, because its result is recorded between the two reads.
TEST_CASE("an item that is listed after the list was read gives its body") {
  StorePair pair;
  Caller caller(pair);
  caller.Do("/jobs/submit", MakeBatch());
  REQUIRE_FALSE(caller.Listed(kItem));
  SECTION("when it is complete") {
    caller.Do("/jobs/report", Ended(kItem, ItemEnd::kComplete));
    CHECK(caller.Body(kItem) == kBody);
    SECTION("also when it is asked for again") {
      CHECK(caller.Body(kItem) == kBody);
    }
    SECTION("and the next list has it") { CHECK(caller.Listed(kItem)); }
    SECTION("but not once the batch has ended") {
      caller.Do("/jobs/end", EndBatch{kBatch});
      CHECK(caller.Body(kItem) == std::nullopt);
    }
  }
  SECTION("when it is given up") {
    caller.Do("/jobs/report", Ended(kItem, ItemEnd::kGivenUp));
    CHECK(caller.Body(kItem) == kBody);
  }
  SECTION("when it is the last one of its batch") {
    caller.Do("/jobs/report", Ended(kOther, ItemEnd::kComplete));
    caller.Do("/jobs/report", Ended(kItem, ItemEnd::kComplete));
    CHECK(caller.Body(kItem) == kBody);
  }
}

// Guards against bodies of listed items that are kept for ever.
TEST_CASE("the body of a listed item is dropped after a while") {
  BatchStoreOptions options;
  options.body_drop_interval = milliseconds(200);
  StorePair pair(options);
  Caller caller(pair);
  caller.Do("/jobs/submit", MakeBatch());
  caller.Do("/jobs/report", Ended(kItem, ItemEnd::kComplete));
  CHECK(caller.Body(kItem) == kBody);
  pair.RunAll(3 * options.body_drop_interval);
  CHECK(caller.Body(kItem) == std::nullopt);
  CHECK(caller.Body(kOther) == kBody);
}

}  // namespace papayarack::batches
