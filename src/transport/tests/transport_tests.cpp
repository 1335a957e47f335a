#include <asio.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "global/boundedring.h"
#include "transport/peerclient.h"
#include "transport/peerserver.h"

namespace papayarack::transport {
namespace {

constexpr std::chrono::seconds kPatience{20};

struct Seen {
  StreamId stream = 0;
  std::string path;
  std::string body;
  bool cancelled = false;
};

struct Server {
  explicit Server(PeerServerOptions options = {}) : options(options) {}
  PeerServerOptions options;
  BoundedRing<Seen> seen{64};
  PeerServer server{
      {"127.0.0.1", 0},
      {[this](StreamId id, std::string_view path, std::string body) {
         this->seen.TryPush({id, std::string(path), std::move(body), false});
       },
       [this](StreamId id) {
         this->seen.TryPush({id, {}, {}, true});
       }},
      this->options};
  Endpoint endpoint() const { return {"127.0.0.1", this->server.port()}; }
};

struct Caller {
  BoundedRing<std::string> messages{64};
  std::promise<CallEnd> end;
  CallHandlers Handlers() {
    return {[this](std::string message) {
              this->messages.TryPush(std::move(message));
            },
            [this](CallEnd how) { this->end.set_value(how); }};
  }
};

}  // namespace

TEST_CASE("two processes talk") {
  Server server;
  PeerClient client;
  Caller caller;
  const CallId call = client.Call(server.endpoint(), "/echo",
                                  std::string(100000, 'x'), caller.Handlers());
  const auto request = server.seen.Pop(kPatience);
  REQUIRE(request.has_value());
  CHECK(request->path == "/echo");
  CHECK(request->body.size() == 100000);

  SECTION("and the answer streams back message by message, then ends whole") {
    server.server.Send(request->stream, "one");
    CHECK(caller.messages.Pop(kPatience) == "one");
    server.server.Send(request->stream, "two");
    server.server.Finish(request->stream);
    CHECK(caller.messages.Pop(kPatience) == "two");
    CHECK(caller.end.get_future().get() == CallEnd::kFinished);
  }
  SECTION("and a caller that gives up cancels the work") {
    client.Cancel(call);
    CHECK(caller.end.get_future().get() == CallEnd::kLost);
    const auto cancelled = server.seen.Pop(kPatience);
    REQUIRE(cancelled.has_value());
    CHECK(cancelled->cancelled);
    CHECK(cancelled->stream == request->stream);
  }
  SECTION("and a leaving server finishes what is open") {
    server.server.BeginLeave();
    server.server.Send(request->stream, "still here");
    server.server.Finish(request->stream);
    CHECK(caller.messages.Pop(kPatience) == "still here");
    CHECK(caller.end.get_future().get() == CallEnd::kFinished);
  }
}

TEST_CASE("nobody listens: the call is reported as not sent") {
  std::uint16_t port = 0;
  {
    Server gone;
    port = gone.server.port();
  }
  PeerClient client;
  Caller caller;
  client.Call({"127.0.0.1", port}, "/x", "", caller.Handlers());
  CHECK(caller.end.get_future().get() == CallEnd::kNotSent);
}

// Symptom: calls on one connection hang for good while new connections work.
// Sequence: a listener accepts and then never reads or answers; a call is made.
// Cause: something between the two ends lost track of the connection; no reset
// ever comes.
TEST_CASE(
    "a connection that falls silent is dropped and its calls end as lost") {
  asio::io_context context;
  asio::ip::tcp::acceptor mute(context,
                               {asio::ip::make_address("127.0.0.1"), 0});
  PeerClientOptions options;
  options.ping_after = std::chrono::milliseconds(40);
  options.silent_after = std::chrono::milliseconds(120);
  PeerClient client(options);
  Caller caller;
  client.Call({"127.0.0.1", mute.local_endpoint().port()}, "/x", "",
              caller.Handlers());
  CHECK(caller.end.get_future().get() == CallEnd::kLost);
}

// Symptom: a call takes a second longer than its peer needs. Sequence: the
// opening packet of a connection is lost, as the peer's VM is not up yet; the
// kernel sends it again after a second. Cause: the attempt waited for that. A
// listener whose backlog is full drops opening packets in the same way.
TEST_CASE("a connection that is not made soon is tried anew") {
  asio::io_context context;
  asio::ip::tcp::acceptor full(context);
  full.open(asio::ip::tcp::v4());
  full.bind({asio::ip::make_address("127.0.0.1"), 0});
  full.listen(0);
  // The first fills the backlog; a connect that waits would never return.
  std::vector<asio::ip::tcp::socket> fillers;
  for (int i = 0; i < 2; ++i) {
    fillers.emplace_back(context).async_connect(full.local_endpoint(),
                                                [](std::error_code) {});
  }
  PeerClientOptions options;
  options.connect_timeout = std::chrono::milliseconds(50);
  options.longest_connect_timeout = std::chrono::milliseconds(100);
  PeerClient client(options);
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < 3; ++i) {
    Caller caller;
    client.Call({"127.0.0.1", full.local_endpoint().port()}, "/x", "",
                caller.Handlers());
    CHECK(caller.end.get_future().get() == CallEnd::kNotSent);
  }
  const auto took = std::chrono::steady_clock::now() - begin;
  CHECK(took >= std::chrono::milliseconds(250));
  CHECK(took < std::chrono::milliseconds(900));
}

// Symptom: what a process holds for another is never given back. Sequence: a
// request is open; the requester's VM loses power, so that no byte and no reset
// ever come. Cause: only the requester looked for silence.
TEST_CASE("a requester that falls silent has its requests cancelled") {
  PeerServerOptions impatient;
  impatient.silent_after = std::chrono::milliseconds(150);
  Server server(impatient);
  PeerClientOptions options;
  Caller caller;
  SECTION("one that sends nothing at all") {
    options.ping_after = std::chrono::milliseconds(10000);
    options.silent_after = std::chrono::milliseconds(20000);
    PeerClient client(options);
    client.Call(server.endpoint(), "/x", "", caller.Handlers());
    REQUIRE(server.seen.Pop(kPatience).has_value());
    const auto cancelled = server.seen.Pop(kPatience);
    REQUIRE(cancelled.has_value());
    CHECK(cancelled->cancelled);
  }
  SECTION("not one that has nothing to say but lives") {
    options.ping_after = std::chrono::milliseconds(40);
    PeerClient client(options);
    client.Call(server.endpoint(), "/x", "", caller.Handlers());
    REQUIRE(server.seen.Pop(kPatience).has_value());
    CHECK_FALSE(server.seen.Pop(std::chrono::milliseconds(500)).has_value());
  }
}

// Symptom: a caller waits for an answer that cannot come.
// Sequence: a request is in progress; the server process goes away.
// Cause: the connection closes before the stream ended.
TEST_CASE(
    "a server that goes away in mid-answer: the call ends as lost, never as "
    "whole") {
  PeerClient client;
  Caller caller;
  {
    Server server;
    client.Call(server.endpoint(), "/x", "", caller.Handlers());
    const auto request = server.seen.Pop(kPatience);
    REQUIRE(request.has_value());
    server.server.Send(request->stream, "half");
    REQUIRE(caller.messages.Pop(kPatience) == "half");
  }
  CHECK(caller.end.get_future().get() == CallEnd::kLost);
}

}  // namespace papayarack::transport
