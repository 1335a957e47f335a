#include <asio.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "http/httpclient.h"
#include "http/httpserver.h"
#include "serverfixtures.h"

namespace papayarack::http {

// Guards against a process that runs out of memory because several clients read
// large responses slowly: results, configurations and streams count alike.
TEST_CASE("the bytes held for all clients are bounded") {
  constexpr std::size_t kResponse = 8U << 20U;
  constexpr std::size_t kKernel = 6U << 20U;  // Of one connection.
  asio::io_context context;
  HttpServerLimits limits;
  limits.max_unsent_bytes = 2 * kResponse + kResponse / 2;
  HeldServer held(context);
  held.server->SetLimits(limits);
  HttpResponse large;
  large.body.assign(kResponse, 'r');
  const auto ask = [&](std::unique_ptr<RawCaller>& caller) {
    held.open = 0;
    caller = std::make_unique<RawCaller>(context, held.server->port());
    caller->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(RunUntil(context, [&] { return held.open != 0; }));
    return held.open;
  };

  SECTION("a single response may be longer") {
    std::unique_ptr<RawCaller> only;
    const ExchangeId exchange = ask(only);
    limits.max_unsent_bytes = kResponse / 2;
    held.server->SetLimits(limits);
    held.server->Respond(exchange, large);
    CHECK(RunUntil(context, [&] { return only->received.size() > kResponse; }));
    CHECK(held.server->ClosedForMemory() == 0);
    CHECK(held.server->UnsentTotal() == 0);
  }
  SECTION("the client that has taken nothing for longest is left") {
    // Unread sockets of the test stand for slow clients.
    const auto connect = [&](tcp::socket& socket) {
      held.open = 0;
      socket.connect(
          {asio::ip::make_address("127.0.0.1"), held.server->port()});
      asio::write(
          socket,
          asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
      REQUIRE(RunUntil(context, [&] { return held.open != 0; }));
      return held.open;
    };
    tcp::socket slow(context);
    held.server->Respond(connect(slow), large);
    context.run_for(std::chrono::milliseconds(100));
    context.restart();
    tcp::socket later(context);
    held.server->Respond(connect(later), large);
    context.run_for(std::chrono::milliseconds(100));
    context.restart();
    CHECK(held.server->UnsentTotal() > kResponse);
    std::unique_ptr<RawCaller> reader;
    const ExchangeId exchange = ask(reader);
    held.server->Respond(exchange, large);
    CHECK(
        RunUntil(context, [&] { return reader->received.size() > kResponse; }));
    CHECK(held.server->ClosedForMemory() == 1);
    CHECK(held.server->UnsentTotal() <= limits.max_unsent_bytes);
    // The first one was closed, the second one still gets its response.
    std::string rest(kResponse, '\0');
    std::error_code error;
    const std::size_t of_slow = asio::read(slow, asio::buffer(rest), error);
    CHECK(error);
    CHECK(of_slow < kKernel);
  }
}

// Guards against a response that fills the memory of a process whose own caller
// reads slowly: the peer must be slowed down through TCP.
TEST_CASE("a paused call reads nothing until it is resumed") {
  constexpr std::size_t kBody = 32U << 20U;
  constexpr std::size_t kKernel = 12U << 20U;
  asio::io_context context;
  HeldServer held(context);
  HttpClient client(context);
  HttpCall call;
  call.peer = {"127.0.0.1", held.server->port()};
  call.target = "/";
  HttpCallId id = 0;
  std::size_t received = 0;
  std::optional<HttpEnd> end;
  HttpCallHandlers handlers;
  handlers.on_head = [&](const HttpHead&) { client.Pause(id); };
  handlers.on_body = [&](std::string_view bytes) { received += bytes.size(); };
  handlers.on_end = [&](HttpEnd how) { end = how; };
  id = client.Call(call, handlers);
  REQUIRE(RunUntil(context, [&] { return held.open != 0; }));
  HttpResponse large;
  large.body.assign(kBody, 'r');
  held.server->Respond(held.open, large);
  context.run_for(std::chrono::milliseconds(300));
  context.restart();
  CHECK(received <= 4096);
  CHECK(held.server->UnsentTotal() > kBody - kKernel);

  SECTION("resumed") {
    client.Resume(id);
    CHECK(RunUntil(context, [&] { return end.has_value(); }));
    CHECK(end == HttpEnd::kComplete);
    CHECK(received == kBody);
  }
  SECTION("cancelled") {
    client.Cancel(id);
    client.Resume(id);
    CHECK(RunUntil(context, [&] { return held.server->UnsentTotal() == 0; }));
    CHECK_FALSE(end.has_value());
  }
}

// Guards against a client that is read for ever as it never stops sending.
TEST_CASE("a client that goes on sending is not read without end") {
  asio::io_context context;
  HttpServerLimits limits;
  limits.body_timeout = std::chrono::milliseconds(300);
  std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
  std::string more;
  SECTION("in a request that does not end") {
    limits.max_body_bytes = std::size_t{1} << 30U;
    head += "Transfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 10000; ++i) {
      more += "1\r\nx\r\n";
    }
  }
  SECTION("after its request was refused") {
    limits.max_body_bytes = 100;
    head += "Content-Length: 101\r\n\r\n";
    more.assign(1U << 16U, 'x');
  }
  EchoServer server(context, limits);
  asio::io_context own;
  tcp::socket socket(own);
  socket.connect({asio::ip::make_address("127.0.0.1"), server.server->port()});
  std::atomic<bool> closed = false;
  std::atomic<std::size_t> sent = 0;
  std::thread sender([&] {
    std::error_code error;
    asio::write(socket, asio::buffer(head), error);
    while (!error) {
      sent += asio::write(socket, asio::buffer(more), error);
    }
    closed = true;
  });
  const bool closed_in_time = RunUntil(context, [&] { return closed.load(); });
  std::error_code ignored;
  socket.shutdown(tcp::socket::shutdown_both, ignored);
  sender.join();
  CHECK(closed_in_time);
  CHECK(server.requests == 0);
  if (limits.max_body_bytes == 100) {
    constexpr std::size_t kReadAfterRefusal = 4U << 20U;
    constexpr std::size_t kKernel = 12U << 20U;  // Of one connection.
    CHECK(sent < kReadAfterRefusal + kKernel);
  }
}

}  // namespace papayarack::http
