#include <asio.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "coordination/tests/groupmembers.h"

namespace papayarack::coordination {
namespace {

/// Sends a request to `to`; `answered`, which may be empty, gets each reply.
void Ask(Host& caller, Host& to, const std::string& path,
         const std::string& body, std::function<void(std::string)> answered) {
  transport::CallHandlers handlers;
  handlers.on_message = std::move(answered);
  if (!handlers.on_message) {
    handlers.on_message = [](const std::string&) {};
  }
  handlers.on_end = [](transport::CallEnd) {};
  caller.peers.Call({"127.0.0.1", to.owned.port()}, path, body,
                    std::move(handlers));
}

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
    Ask(this->caller, this->member.host, path, body, std::move(answered));
  }

  Member member{this->context, 1};
  Host caller{this->context};
};

/// Two members, which lead in turn. A caller asks the first one.
class MembersInTurn {
 public:
  MembersInTurn() {
    consensus::MemberList list;
    for (const Member* member : {&this->first, &this->second}) {
      list.members.push_back({member->id, member->host.Address(), true});
    }
    for (Member* member : {&this->first, &this->second}) {
      member->Found(this->context, list, NoReplicas());
    }
    this->RunUntilLeads(this->first, this->second);
  }

  /// Transfers leadership until `member` leads.
  void RunUntilLeads(Member& member, Member& other) {
    const Time until = MonotonicNow() + kElected;
    while (!member.coordinator->Leads() && MonotonicNow() < until) {
      other.coordinator->TransferLeadership();
      RunFor(this->context, milliseconds(20));
    }
    REQUIRE(member.coordinator->Leads());
  }

  void Report(Member& to, const std::string& store) {
    WatchRequest request;
    request.self = coordination::Report(store, store + ":1");
    request.self.role = static_cast<std::uint8_t>(NodeRole::kStore);
    Ask(this->caller, to.host, "/coordination/watch", EncodeMessage(request),
        {});
    RunFor(this->context, milliseconds(20));
  }

  /// Asks the first member to empty `store` at each moment, while the second
  /// one transfers leadership to it; returns its first answer as a leader.
  ResultCode FirstAnswerAsLeader(const std::string& store) {
    constexpr std::size_t kAtOnce = 4;
    std::size_t unanswered = 0;
    std::optional<ResultCode> code;
    const Time until = MonotonicNow() + kElected;
    this->second.coordinator->TransferLeadership();
    while (!code.has_value() && MonotonicNow() < until) {
      if (unanswered < kAtOnce) {
        ++unanswered;
        Ask(this->caller, this->first.host, "/coordination/empty-store",
            EncodeMessage(EmptyStore{store}),
            [&code, &unanswered](const std::string& message) {
              --unanswered;
              const auto reply = DecodeMessage<GroupReply>(message);
              const auto answer = static_cast<ResultCode>(reply.code);
              if (answer != ResultCode::kNotLeader && !code) {
                code = answer;
              }
            });
      }
      this->context.poll_one();
      this->context.restart();
    }
    RunUntil(
        this->context, [&unanswered] { return unanswered == 0; }, kElected);
    return code.value_or(ResultCode::kNotLeader);
  }

  asio::io_context context;
  Member first{this->context, 1};
  Member second{this->context, 2};

 private:
  Host caller{this->context};
};

}  // namespace

// Guards against a store that is let go with too few left: a member that leads
// again judged, until its next tick, by the stores that it knew in a former
// term.
TEST_CASE("a member that leads again forgets the stores of its former term") {
  MembersInTurn members;
  for (const char* store : {"s1", "s2", "s3", "s4"}) {
    members.Report(members.first, store);
  }
  members.RunUntilLeads(members.second, members.first);
  CHECK(members.FirstAnswerAsLeader("s1") == ResultCode::kNotReady);
}

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
