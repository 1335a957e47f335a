#include <asio.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "global/boundedring.h"
#include "transport/peerclient.h"
#include "transport/peerserver.h"

namespace papayarack::transport {
namespace {

constexpr std::chrono::seconds kTimeout{20};

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

TEST_CASE("a client sends a request to a server") {
  Server server;
  PeerClient client;
  Caller caller;
  const CallId call = client.Call(server.endpoint(), "/echo",
                                  std::string(100000, 'x'), caller.Handlers());
  const auto request = server.seen.Pop(kTimeout);
  REQUIRE(request.has_value());
  CHECK(request->path == "/echo");
  CHECK(request->body.size() == 100000);

  SECTION("the response arrives message by message, then completes") {
    server.server.Send(request->stream, "one");
    CHECK(caller.messages.Pop(kTimeout) == "one");
    server.server.Send(request->stream, "two");
    server.server.Finish(request->stream);
    CHECK(caller.messages.Pop(kTimeout) == "two");
    CHECK(caller.end.get_future().get() == CallEnd::kFinished);
  }
  SECTION("a call cancelled by the client cancels the request") {
    client.Cancel(call);
    CHECK(caller.end.get_future().get() == CallEnd::kLost);
    const auto cancelled = server.seen.Pop(kTimeout);
    REQUIRE(cancelled.has_value());
    CHECK(cancelled->cancelled);
    CHECK(cancelled->stream == request->stream);
  }
  SECTION("a server that shuts down finishes open streams") {
    server.server.BeginLeave();
    server.server.Send(request->stream, "still here");
    server.server.Finish(request->stream);
    CHECK(caller.messages.Pop(kTimeout) == "still here");
    CHECK(caller.end.get_future().get() == CallEnd::kFinished);
  }
}

TEST_CASE("a call to a port without a listener ends as not sent") {
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

// Calls on one connection hang forever while new connections work. A device on
// the path loses the state of the connection, so no data and no reset arrive.
// Here, a listener accepts and never reads or answers.
TEST_CASE("a silent connection is closed and its calls end as lost") {
  asio::io_context context;
  asio::ip::tcp::acceptor silent(context,
                                 {asio::ip::make_address("127.0.0.1"), 0});
  PeerClientOptions options;
  options.ping_after = std::chrono::milliseconds(40);
  options.silent_after = std::chrono::milliseconds(120);
  PeerClient client(options);
  Caller caller;
  client.Call({"127.0.0.1", silent.local_endpoint().port()}, "/x", "",
              caller.Handlers());
  CHECK(caller.end.get_future().get() == CallEnd::kLost);
}

// A call takes a second longer than its peer needs. The SYN packet is lost as
// the peer's VM is not up yet, and the attempt waits for the kernel to
// retransmit it after a second. A listener whose backlog is full drops SYN
// packets as well.
TEST_CASE("a connection attempt that times out is retried") {
  asio::io_context context;
  asio::ip::tcp::acceptor full(context);
  full.open(asio::ip::tcp::v4());
  full.bind({asio::ip::make_address("127.0.0.1"), 0});
  full.listen(0);
  // The first connection fills the backlog; a blocking connect would never
  // return.
  std::vector<asio::ip::tcp::socket> fillers;
  for (int i = 0; i < 2; ++i) {
    fillers.emplace_back(context).async_connect(full.local_endpoint(),
                                                [](std::error_code) {});
  }
  PeerClientOptions options;
  options.connect_timeout = std::chrono::milliseconds(50);
  options.max_connect_timeout = std::chrono::milliseconds(100);
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

// Resources held for a request are never released. The client's VM loses power
// while the request is open, so no data and no reset arrive, and only the
// client checked for silence.
TEST_CASE("the requests of a silent client are cancelled") {
  PeerServerOptions server_options;
  server_options.silent_after = std::chrono::milliseconds(150);
  Server server(server_options);
  PeerClientOptions options;
  Caller caller;
  SECTION("a client that sends nothing at all") {
    options.ping_after = std::chrono::milliseconds(10000);
    options.silent_after = std::chrono::milliseconds(20000);
    PeerClient client(options);
    client.Call(server.endpoint(), "/x", "", caller.Handlers());
    REQUIRE(server.seen.Pop(kTimeout).has_value());
    const auto cancelled = server.seen.Pop(kTimeout);
    REQUIRE(cancelled.has_value());
    CHECK(cancelled->cancelled);
  }
  SECTION("a client that sends only PING keeps its requests") {
    options.ping_after = std::chrono::milliseconds(40);
    PeerClient client(options);
    client.Call(server.endpoint(), "/x", "", caller.Handlers());
    REQUIRE(server.seen.Pop(kTimeout).has_value());
    CHECK_FALSE(server.seen.Pop(std::chrono::milliseconds(500)).has_value());
  }
}

// A caller waits for a response that cannot arrive. The server process stops
// during a request, so the connection closes before the stream ended.
TEST_CASE(
    "a call ends as lost, not as finished, when its server stops during "
    "the response") {
  PeerClient client;
  Caller caller;
  {
    Server server;
    client.Call(server.endpoint(), "/x", "", caller.Handlers());
    const auto request = server.seen.Pop(kTimeout);
    REQUIRE(request.has_value());
    server.server.Send(request->stream, "half");
    REQUIRE(caller.messages.Pop(kTimeout) == "half");
  }
  CHECK(caller.end.get_future().get() == CallEnd::kLost);
}

}  // namespace papayarack::transport
