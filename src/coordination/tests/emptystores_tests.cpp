#include <asio.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "coordination/tests/groupmembers.h"

namespace papayarack::coordination {
namespace {

/// A leader with a group of its own, to which stores report.
class Leader {
 public:
  Leader() {
    consensus::MemberList list;
    list.members.push_back({1, this->member.host.Address(), true});
    this->member.Found(this->context, list, NoReplicas());
    RunUntil(
        this->context, [this] { return this->member.coordinator->Leads(); },
        kElected);
    REQUIRE(this->member.coordinator->Leads());
  }

  void Report(const std::string& store) {
    WatchRequest request;
    request.self = coordination::Report(store, store + ":1");
    request.self.role = static_cast<std::uint8_t>(NodeRole::kStore);
    this->Call("/coordination/watch", EncodeMessage(request), {});
    RunFor(this->context, milliseconds(20));
  }

  /// Orders to empty stores, sent without a wait between them; returns the
  /// replies in the order of the stores.
  std::vector<ResultCode> Empty(const std::vector<std::string>& stores) {
    std::vector<ResultCode> codes(stores.size(), ResultCode::kInternal);
    std::size_t answered = 0;
    for (std::size_t i = 0; i < stores.size(); ++i) {
      this->Call("/coordination/empty-store",
                 EncodeMessage(EmptyStore{stores[i]}),
                 [&codes, &answered, i](const std::string& message) {
                   const auto reply = DecodeMessage<GroupReply>(message);
                   codes[i] = static_cast<ResultCode>(reply.code);
                   ++answered;
                 });
    }
    RunUntil(
        this->context, [&] { return answered == stores.size(); }, kElected);
    return codes;
  }

  asio::io_context context;

 private:
  void Call(const std::string& path, const std::string& body,
            std::function<void(std::string)> answered) {
    transport::CallHandlers handlers;
    handlers.on_message = std::move(answered);
    if (!handlers.on_message) {
      handlers.on_message = [](const std::string&) {};
    }
    handlers.on_end = [](transport::CallEnd) {};
    this->caller.peers.Call({"127.0.0.1", this->member.host.owned.port()}, path,
                            body, std::move(handlers));
  }

  Member member{this->context, 1};
  Host caller{this->context};
};

}  // namespace

// Guards against accepted batches that are lost with the disks of two stores,
// whose orders to be emptied arrived together and were both accepted.
TEST_CASE(
    "orders to empty stores leave as many as the losses to tolerate ask") {
  Leader leader;
  for (const char* store : {"s1", "s2", "s3", "s4"}) {
    leader.Report(store);
  }
  RunFor(leader.context, NodeTable::kSettleTime);
  SECTION("when two arrive together") {
    CHECK(leader.Empty({"s1", "s2"}) ==
          std::vector{ResultCode::kOk, ResultCode::kConflict});
    CHECK(leader.Empty({"s2"}) == std::vector{ResultCode::kConflict});
  }
  SECTION("when one comes twice, as its answer was lost") {
    CHECK(leader.Empty({"s1", "s1"}) ==
          std::vector{ResultCode::kOk, ResultCode::kOk});
    CHECK(leader.Empty({"s2"}) == std::vector{ResultCode::kConflict});
  }
  // Guards against an operator that is told that its accepted order failed.
  SECTION("and one that was accepted is not refused when stores are lost") {
    CHECK(leader.Empty({"s1"}) == std::vector{ResultCode::kOk});
    RunFor(leader.context, NodeTable::kForgetAfter + milliseconds(300));
    leader.Report("s2");
    CHECK(leader.Empty({"s1"}) == std::vector{ResultCode::kOk});
    CHECK(leader.Empty({"s2"}) == std::vector{ResultCode::kConflict});
  }
}

// Guards against a proper order that ends with a refusal, as the new leader
// takes stores that have not reported yet for lost ones.
TEST_CASE(
    "an order that comes before all stores have reported may come again") {
  Leader leader;
  leader.Report("s1");
  leader.Report("s2");
  CHECK(leader.Empty({"s1"}) == std::vector{ResultCode::kNotReady});
  leader.Report("s3");
  leader.Report("s4");
  CHECK(leader.Empty({"s1"}) == std::vector{ResultCode::kOk});
}

}  // namespace papayarack::coordination
