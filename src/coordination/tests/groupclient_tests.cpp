#include <asio.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/coordinationmessages.h"
#include "coordination/groupclient.h"
#include "transport/peerdispatch.h"
#include "transport/peerserver.h"

namespace papayarack::coordination {
namespace {

constexpr std::chrono::milliseconds kTryTime{200};
constexpr std::chrono::milliseconds kTime{600};

/// A group member on the loopback that answers "done" some time after a call
/// has arrived whole, or never.
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

 private:
  void AnswerLater(transport::StreamId stream) {
    const auto timer = std::make_shared<asio::steady_timer>(
        this->context, *this->answer_after);
    timer->async_wait([this, stream, timer](std::error_code) {
      this->server.Send(stream, EncodeMessage(GroupReply{0, "", "done"}));
      this->server.Finish(stream);
    });
  }

  asio::io_context& context;
  std::optional<std::chrono::milliseconds> answer_after;
  transport::PeerDispatch dispatch;
  transport::PeerServer* target = nullptr;
  transport::PeerServer server;
};

/// What a call ended with, and after how long.
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

}  // namespace

// Symptom: a change of the configuration of 400 KB is acknowledged only after
// half a minute, on a link that is full all that time. Sequence: the body is
// longer under way than one attempt may take; the attempt is cancelled and the
// whole body goes to the next member, and so on. Cause: the time of an attempt
// did not depend on how much it has to carry.
TEST_CASE("a large body is not sent again while it may still be under way") {
  constexpr std::size_t kBodyBytes = 400'000;
  constexpr std::chrono::milliseconds kLate{400};
  asio::io_context context;
  Member first(context, kLate);
  Member second(context, kLate);
  transport::PeerClient peers(context);
  GroupClient client(context, peers, [&] {
    return std::vector<std::string>{first.Address(), second.Address()};
  });
  const std::string body(kBodyBytes, 'c');

  SECTION("when its answer comes later than a small one's may") {
    const Outcome outcome =
        CallAndRun(context, client, body, kTime + TimeToCarry(body.size()));
    CHECK(outcome.code == ResultCode::kOk);
    CHECK(outcome.body == "done");
    CHECK(first.bytes_received == std::vector<std::size_t>{kBodyBytes});
    CHECK(second.bytes_received == std::vector<std::size_t>{});
  }
  SECTION("though never for longer than the whole call") {
    constexpr std::chrono::milliseconds kShort{250};
    const Outcome outcome = CallAndRun(context, client, body, kShort);
    CHECK(outcome.code == ResultCode::kNoQuorum);
    CHECK(outcome.took >= kShort);
    CHECK(second.bytes_received == std::vector<std::size_t>{});
  }
}

TEST_CASE("a small body goes to the next member after one attempt's time") {
  constexpr std::size_t kBodyBytes = 100;
  asio::io_context context;
  Member silent(context, std::nullopt);
  Member second(context, std::chrono::milliseconds(0));
  transport::PeerClient peers(context);
  GroupClient client(context, peers, [&] {
    return std::vector<std::string>{silent.Address(), second.Address()};
  });
  CHECK(TimeToCarry(kBodyBytes) == std::chrono::milliseconds(0));
  const Outcome outcome =
      CallAndRun(context, client, std::string(kBodyBytes, 'c'), kTime);
  CHECK(outcome.code == ResultCode::kOk);
  CHECK(outcome.took >= kTryTime);
  CHECK(outcome.took < kTime);
  CHECK(silent.bytes_received == std::vector<std::size_t>{kBodyBytes});
  CHECK(second.bytes_received == std::vector<std::size_t>{kBodyBytes});
}

TEST_CASE("the time to carry a body grows with its size") {
  CHECK(TimeToCarry(0) == std::chrono::milliseconds(0));
  CHECK(TimeToCarry(999) == std::chrono::milliseconds(0));
  CHECK(TimeToCarry(400'000) == std::chrono::milliseconds(400));
  CHECK(TimeToCarry(1'000'000) == std::chrono::seconds(1));
}

}  // namespace papayarack::coordination
