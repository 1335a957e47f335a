#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "batches/tests/storepair.h"

namespace papayarack::batches {
namespace {

constexpr const char* kBatch = "b";

SubmitBatch MakeBatch() {
  SubmitBatch batch;
  batch.id = kBatch;
  batch.host = "h";
  batch.route_key = "h/r/";
  batch.items.push_back({"i", "/r/1", {}, "body of i", 100});
  batch.items.push_back({"j", "/r/2", {}, "body of j", 100});
  return batch;
}

SubmitBatch WithOtherItem() {
  SubmitBatch batch = MakeBatch();
  batch.items.back().id = "k";
  return batch;
}

SubmitBatch WithOtherBody() {
  SubmitBatch batch = MakeBatch();
  batch.items.back().body = "another body";
  return batch;
}

SubmitBatch WithMoreItems() {
  SubmitBatch batch = MakeBatch();
  batch.items.push_back({"k", "/r/3", {}, "body of k", 100});
  return batch;
}

/// The same batch from an entry with an older configuration and of another
/// release, which reads headers and tokens differently.
SubmitBatch ThroughAnotherEntry() {
  SubmitBatch batch = MakeBatch();
  batch.route_key = "h/former/";
  batch.max_waiting_tokens = 5000;
  batch.config_version = 3;
  for (ItemSpec& item : batch.items) {
    item.headers.push_back({"Model", "m"});
    item.tokens = 120;
  }
  return batch;
}

/// A caller of the group's leader.
class Caller {
 public:
  /// A submitted batch and the code of its answer, once there is one.
  struct Submitted {
    SubmitBatch batch;
    std::optional<ResultCode> code;
  };

  void Submit(const SubmitBatch& batch) {
    const auto submitted =
        std::make_shared<Submitted>(Submitted{batch, std::nullopt});
    this->all.push_back(submitted);
    this->pair.Leader().Call(
        "/jobs/submit", batch,
        [submitted](const coordination::GroupReply& reply) {
          submitted->code = static_cast<ResultCode>(reply.code);
        });
  }
  void WaitForAnswers() {
    const auto answered = [this] {
      return std::ranges::all_of(this->all, [](const auto& submitted) {
        return submitted->code.has_value();
      });
    };
    this->pair.RunUntil(answered);
    REQUIRE(answered());
  }
  std::vector<ResultCode> Codes() const {
    std::vector<ResultCode> codes;
    for (const auto& submitted : this->all) {
      codes.push_back(*submitted->code);
    }
    return codes;
  }
  /// Checks that each item of each accepted copy gives its body. Precondition:
  /// none has a result.
  void CheckAcceptedAreKept() {
    for (const auto& submitted : this->all) {
      if (submitted->code == ResultCode::kOk) {
        this->CheckKept(submitted->batch);
      }
    }
  }
  void Finish(const std::string& item) {
    std::vector<ResultCode> codes;
    this->pair.Leader().Ask(
        "/jobs/report",
        ReportOutcomes{
            {{kBatch, item, static_cast<std::uint8_t>(ItemEnd::kComplete),
              "text", 3}}},
        codes);
    this->pair.RunUntil([&codes] { return !codes.empty(); });
    REQUIRE(codes == std::vector<ResultCode>{ResultCode::kOk});
  }

  StorePair pair;

 private:
  void CheckKept(const SubmitBatch& batch) {
    for (const ItemSpec& item : batch.items) {
      CAPTURE(item.id);
      std::optional<coordination::GroupReply> reply;
      this->pair.Leader().Call(
          "/jobs/body", ReadItemBody{kBatch, item.id},
          [&reply](const coordination::GroupReply& given) { reply = given; });
      this->pair.RunUntil([&reply] { return reply.has_value(); });
      REQUIRE(reply.has_value());
      CHECK(static_cast<ResultCode>(reply->code) == ResultCode::kOk);
      CHECK(reply->body == item.body);
    }
  }

  std::vector<std::shared_ptr<Submitted>> all;
};

}  // namespace

// Guards against an accepted item that is in no list and has no body: its copy
// of the batch is accepted, but another copy's items are kept under the id.
TEST_CASE("each item of an accepted batch is kept when copies differ") {
  Caller caller;
  const std::vector<ResultCode> second_refused = {ResultCode::kOk,
                                                  ResultCode::kConflict};
  const std::vector<SubmitBatch> others = {WithOtherItem(), WithOtherBody(),
                                           WithMoreItems()};
  SECTION("and the other copy comes while the first is not committed") {
    for (const SubmitBatch& other : others) {
      caller.Submit(MakeBatch());
      caller.Submit(other);
    }
    caller.WaitForAnswers();
    caller.CheckAcceptedAreKept();
    const std::vector<ResultCode> codes = caller.Codes();
    for (std::size_t i = 0; i < codes.size(); i += 2) {
      CHECK(codes[i] == ResultCode::kOk);
      CHECK(codes[i + 1] == ResultCode::kConflict);
    }
  }
  SECTION("and the other copy comes later") {
    caller.Submit(MakeBatch());
    caller.WaitForAnswers();
    SECTION("with another item") { caller.Submit(WithOtherItem()); }
    SECTION("with another body of an item") { caller.Submit(WithOtherBody()); }
    SECTION("with more items") { caller.Submit(WithMoreItems()); }
    caller.WaitForAnswers();
    caller.CheckAcceptedAreKept();
    CHECK(caller.Codes() == second_refused);
  }
}

// Guards against a batch that is refused as another one when it comes again,
// because entries add different things to it or its bodies are dropped.
TEST_CASE("a copy with the same items is accepted") {
  Caller caller;
  const std::vector<ResultCode> both = {ResultCode::kOk, ResultCode::kOk};
  caller.Submit(MakeBatch());
  SECTION("through an entry that adds other things to it") {
    SECTION("while the first is not committed") {
      caller.Submit(ThroughAnotherEntry());
    }
    SECTION("later") {
      caller.WaitForAnswers();
      caller.Submit(ThroughAnotherEntry());
    }
    caller.WaitForAnswers();
    caller.CheckAcceptedAreKept();
  }
  SECTION("when an item has its result") {
    caller.WaitForAnswers();
    caller.Finish("i");
    caller.Submit(MakeBatch());
    caller.WaitForAnswers();
  }
  SECTION("when the batch has ended") {
    caller.WaitForAnswers();
    std::vector<ResultCode> codes;
    caller.pair.Leader().Ask("/jobs/end", EndBatch{kBatch}, codes);
    caller.pair.RunUntil([&codes] { return !codes.empty(); });
    caller.Submit(MakeBatch());
    caller.WaitForAnswers();
  }
  CHECK(caller.Codes() == both);
}

}  // namespace papayarack::batches
