#include <asio.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/coordinationmessages.h"
#include "coordination/fleetwatch.h"
#include "coordination/groupclient.h"
#include "global/transfertime.h"
#include "transport/peerdispatch.h"
#include "transport/peerserver.h"

namespace papayarack::coordination {
namespace {

constexpr std::chrono::milliseconds kTryTime{200};
constexpr std::chrono::milliseconds kTime{600};

/// A group member on the loopback interface that replies "done" some time after
/// it received a call completely, or never.
class Member {
 public:
  Member(asio::io_context& context,
         std::optional<std::chrono::milliseconds> answer_after)
      : context(context),
        answer_after(answer_after),
        server(context, {"127.0.0.1", 0}, this->dispatch.For(this->target)) {
    this->target = &this->server;
    this->dispatch.On(
        "/call", [this](transport::StreamId stream, const std::string& body) {
          this->bytes_received.push_back(body.size());
          if (this->answer_after.has_value()) {
            this->AnswerLater(stream);
          }
        });
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server.port());
  }

  std::vector<std::size_t> bytes_received;  ///< Of each call, in their order.
  ResultCode code = ResultCode::kOk;        ///< Of each reply.

 private:
  void AnswerLater(transport::StreamId stream) {
    const auto timer = std::make_shared<asio::steady_timer>(
        this->context, *this->answer_after);
    timer->async_wait([this, stream, timer](std::error_code) {
      this->server.Send(stream, EncodeMessage(GroupReply{
                                    static_cast<int>(this->code), "", "done"}));
      this->server.Finish(stream);
    });
  }

  asio::io_context& context;
  std::optional<std::chrono::milliseconds> answer_after;
  transport::PeerDispatch dispatch;
  transport::PeerServer* target = nullptr;
  transport::PeerServer server;
};

/// A call's result and duration.
struct Outcome {
  ResultCode code = ResultCode::kInternal;
  std::string body;
  Duration took{};
};

Outcome CallAndRun(asio::io_context& context, GroupClient& client,
                   std::string body, std::chrono::milliseconds time) {
  std::optional<Outcome> outcome;
  const Time start = MonotonicNow();
  client.Call("/call", std::move(body), time, kTryTime,
              [&](const Result& result, std::string reply) {
                outcome = Outcome{result.code, std::move(reply),
                                  MonotonicNow() - start};
              });
  for (int i = 0; i < 1000 && !outcome.has_value(); ++i) {
    context.run_for(std::chrono::milliseconds(10));
    context.restart();
  }
  REQUIRE(outcome.has_value());
  return *outcome;
}

/// A leader that can be disconnected, and many processes that are not members
/// and end each call without a reply.
class Fleet {
 public:
  Fleet()
      : leader(this->context, {"127.0.0.1", 0},
               this->leader_dispatch.For(this->leader_target)),
        others(this->context, {"0.0.0.0", 0},
               this->others_dispatch.For(this->others_target)),
        peers(this->context) {
    this->leader_target = &this->leader;
    this->others_target = &this->others;
    this->leader_dispatch.On(
        "/coordination/watch",
        [this](transport::StreamId stream, const std::string&) {
          this->AnswerUnlessCut(stream, EncodeMessage(WatchReply{}));
        });
    this->leader_dispatch.On("/call", [this](transport::StreamId stream,
                                             const std::string&) {
      ++this->calls;
      this->AnswerUnlessCut(stream, EncodeMessage(GroupReply{0, "", "done"}));
    });
  }

  std::string LeaderAddress() const {
    return "127.0.0.1:" + std::to_string(this->leader.port());
  }

  std::vector<std::string> OtherAddresses() const {
    constexpr int kOthers = 60;
    std::vector<std::string> addresses;
    addresses.reserve(kOthers);
    for (int i = 0; i < kOthers; ++i) {
      addresses.push_back("127.0.1." + std::to_string(i + 1) + ":" +
                          std::to_string(this->others.port()));
    }
    return addresses;
  }

  bool RunUntil(const std::function<bool()>& done) {
    constexpr int kSlices = 500;
    for (int i = 0; i < kSlices && !done(); ++i) {
      this->context.run_for(std::chrono::milliseconds(10));
      this->context.restart();
    }
    return done();
  }

  asio::io_context context;
  bool cut = false;
  int watches = 0;  ///< Answered.
  int calls = 0;    ///< Received by the leader.

 private:
  void AnswerUnlessCut(transport::StreamId stream, const std::string& message) {
    // A leader delays watches; this delay keeps the test from spinning.
    const auto timer = std::make_shared<asio::steady_timer>(
        this->context, std::chrono::milliseconds(20));
    timer->async_wait([this, stream, message, timer](std::error_code) {
      if (this->cut) {
        return;
      }
      ++this->watches;
      this->leader.Send(stream, message);
      this->leader.Finish(stream);
    });
  }

  transport::PeerDispatch leader_dispatch;
  transport::PeerServer* leader_target = nullptr;
  transport::PeerServer leader;
  transport::PeerDispatch others_dispatch;
  transport::PeerServer* others_target = nullptr;
  transport::PeerServer others;

 public:
  transport::PeerClient peers;
};

}  // namespace

// Guards against a configuration change of 400 KB that is acknowledged only
// after half a minute while the link is full. The transfer takes longer than
// the timeout of one attempt, which did not depend on the size, so each attempt
// was cancelled and the full body sent to the next member.
TEST_CASE("a large body is not sent again during its transfer") {
  constexpr std::size_t kBodyBytes = 400'000;
  constexpr std::chrono::milliseconds kLate{400};
  asio::io_context context;
  Member first(context, kLate);
  Member second(context, kLate);
  transport::PeerClient peers(context);
  LeaderSearch search;
  search.SetMembers({first.Address(), second.Address()});
  GroupClient client(context, peers, search);
  const std::string body(kBodyBytes, 'c');

  SECTION("if the reply takes longer than the timeout of a small one") {
    const Outcome outcome =
        CallAndRun(context, client, body, kTime + TransferTime(body.size()));
    CHECK(outcome.code == ResultCode::kOk);
    CHECK(outcome.body == "done");
    CHECK(first.bytes_received == std::vector<std::size_t>{kBodyBytes});
    CHECK(second.bytes_received == std::vector<std::size_t>{});
  }
  SECTION("but the call's total time is not exceeded") {
    constexpr std::chrono::milliseconds kShort{250};
    const Outcome outcome = CallAndRun(context, client, body, kShort);
    CHECK(outcome.code == ResultCode::kUnknownOutcome);
    CHECK(outcome.took >= kShort);
    CHECK(second.bytes_received == std::vector<std::size_t>{});
  }
}

// Guards against a batch that runs although its caller was told that it never
// will: the leader may have it, and a later attempt is refused or not answered.
TEST_CASE("an attempt without an answer leaves the outcome unknown") {
  asio::io_context context;
  Member silent(context, std::nullopt);
  Member second(context, std::chrono::milliseconds(0));
  transport::PeerClient peers(context);
  LeaderSearch search;
  GroupClient client(context, peers, search);
  const auto code_of_call = [&] {
    return CallAndRun(context, client, "x", kTime).code;
  };

  SECTION("when no other member answers") {
    search.SetMembers({silent.Address()});
    CHECK(code_of_call() == ResultCode::kUnknownOutcome);
  }
  SECTION("when another member refuses it") {
    search.SetMembers({silent.Address(), second.Address()});
    second.code = ResultCode::kOverloaded;
    CHECK(code_of_call() == ResultCode::kUnknownOutcome);
  }
  SECTION("but not when another member has done it") {
    search.SetMembers({silent.Address(), second.Address()});
    CHECK(code_of_call() == ResultCode::kOk);
  }
  SECTION("nor when nothing was sent") {
    asio::ip::tcp::acceptor closed(context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
    const std::string address =
        "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
    closed.close();
    search.SetMembers({address});
    CHECK(code_of_call() == ResultCode::kNoQuorum);
  }
  SECTION("nor when all members answer that they do not lead") {
    search.SetMembers({second.Address()});
    second.code = ResultCode::kNotLeader;
    CHECK(code_of_call() == ResultCode::kNoQuorum);
  }
}

TEST_CASE("a small body goes to the next member after one timeout") {
  constexpr std::size_t kBodyBytes = 100;
  asio::io_context context;
  Member silent(context, std::nullopt);
  Member second(context, std::chrono::milliseconds(0));
  transport::PeerClient peers(context);
  LeaderSearch search;
  search.SetMembers({silent.Address(), second.Address()});
  GroupClient client(context, peers, search);
  CHECK(TransferTime(kBodyBytes) == std::chrono::milliseconds(0));
  const Outcome outcome =
      CallAndRun(context, client, std::string(kBodyBytes, 'c'), kTime);
  CHECK(outcome.code == ResultCode::kOk);
  CHECK(outcome.took >= kTryTime);
  CHECK(outcome.took < kTime);
  CHECK(silent.bytes_received == std::vector<std::size_t>{kBodyBytes});
  CHECK(second.bytes_received == std::vector<std::size_t>{kBodyBytes});
}

// Guards against operators' calls that entries refuse for 20 s after a
// partition of the members has healed, although the entry's watch finds the
// leader within 0.5 s. Calls searched on their own through all known addresses,
// gates too, of which they reach some eight of seventy-five in their time.
TEST_CASE("a call goes to the leader that the watch has found") {
  Fleet fleet;
  FleetWatch watch(fleet.context, fleet.peers, {}, {fleet.LeaderAddress()},
                   [](const FleetChange&) {});
  GroupClient client(fleet.context, fleet.peers, watch.search());
  const auto leader_heard = [&fleet] {
    const int before = fleet.watches;
    return fleet.RunUntil([&] { return fleet.watches > before; });
  };
  watch.Start();
  REQUIRE(leader_heard());
  CHECK(CallAndRun(fleet.context, client, "x", kTime).code == ResultCode::kOk);

  fleet.cut = true;
  watch.search().SetOthers(fleet.OtherAddresses());
  for (int call = 0; call < 4; ++call) {
    const int before = fleet.calls;
    const ResultCode code = CallAndRun(fleet.context, client, "x", kTime).code;
    CHECK(code == (fleet.calls > before ? ResultCode::kUnknownOutcome
                                        : ResultCode::kNoQuorum));
  }

  fleet.cut = false;
  const Time before = watch.knowledge().heard;
  REQUIRE(fleet.RunUntil([&] { return watch.knowledge().heard > before; }));
  CHECK(CallAndRun(fleet.context, client, "x", kTime).code == ResultCode::kOk);
}

TEST_CASE("the time to carry a body grows with its size") {
  CHECK(TransferTime(0) == std::chrono::milliseconds(0));
  CHECK(TransferTime(999) == std::chrono::milliseconds(0));
  CHECK(TransferTime(400'000) == std::chrono::milliseconds(400));
  CHECK(TransferTime(1'000'000) == std::chrono::seconds(1));
}

}  // namespace papayarack::coordination
