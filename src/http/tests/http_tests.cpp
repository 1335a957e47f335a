#include <asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "http/eventsplitter.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "serverfixtures.h"

namespace papayarack::http {
namespace {

/// Accepts connections and answers each read with the next of a list of fixed
/// responses.
struct RawServer {
  RawServer(asio::io_context& context, std::vector<std::string> answers,
            bool close_after)
      : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
        answers(std::move(answers)),
        close_after(close_after) {
    this->Accept();
  }
  void Accept() {
    this->acceptor.async_accept(
        [this](std::error_code error, tcp::socket next) {
          if (error) {
            return;
          }
          ++this->connections;
          auto socket = std::make_shared<tcp::socket>(std::move(next));
          this->Serve(socket);
          this->Accept();
        });
  }
  void Serve(const std::shared_ptr<tcp::socket>& socket) {
    auto chunk = std::make_shared<std::array<char, 4096>>();
    socket->async_read_some(
        asio::buffer(*chunk),
        [this, socket, chunk](std::error_code error, std::size_t) {
          if (error) {
            return;
          }
          const std::string& answer =
              this->answers.at(this->served++ % this->answers.size());
          asio::write(*socket, asio::buffer(answer));
          if (this->close_after) {
            socket->close();
          } else {
            this->Serve(socket);
          }
        });
  }
  Endpoint address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }
  tcp::acceptor acceptor;
  std::vector<std::string> answers;
  bool close_after;
  std::size_t served = 0;
  int connections = 0;
};

struct CallRecord {
  int status = 0;
  std::string body;
  bool ended = false;
  HttpEnd end = HttpEnd::kNotSent;

  HttpCallHandlers Handlers() {
    return {[this](const HttpHead& head) { this->status = head.status; },
            [this](std::string_view bytes) { this->body.append(bytes); },
            [this](HttpEnd how) {
              this->ended = true;
              this->end = how;
            }};
  }
};

/// Reads a response of `whole` bytes only after `pause`; false if it is cut.
bool ReadAfterPause(asio::io_context& context, tcp::socket& socket,
                    std::chrono::milliseconds pause, std::size_t whole) {
  context.run_for(pause);
  context.restart();
  std::size_t received = 0;
  bool ended = false;
  std::vector<char> chunk(64U << 10U);
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(chunk),
                           [&](std::error_code error, std::size_t length) {
                             received += length;
                             ended = static_cast<bool>(error);
                             if (!ended) {
                               read();
                             }
                           });
  };
  read();
  RunUntil(context, [&] { return ended || received >= whole; });
  socket.close();
  RunUntil(context, [&] { return ended; });
  return received >= whole;
}

}  // namespace

TEST_CASE("the server accepts requests regardless of how they are split") {
  const std::string request =
      "POST /a/b?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
  asio::io_context context;
  EchoServer echo(context);
  SECTION("split in two at several positions") {
    for (std::size_t cut = 1; cut < request.size(); cut += 7) {
      RawCaller caller(context, echo.server->port());
      caller.Send(request.substr(0, cut));
      context.run_for(std::chrono::milliseconds(2));
      context.restart();
      caller.Send(request.substr(cut));
      REQUIRE(RunUntil(context, [&] {
        return caller.received.ends_with("POST /a/b?x=1 hello");
      }));
    }
  }
  SECTION("two in one write are answered in order on one connection") {
    RawCaller caller(context, echo.server->port());
    caller.Send(
        "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(RunUntil(context,
                     [&] { return caller.received.ends_with("GET /2 "); }));
    CHECK(caller.received.find("GET /1 ") < caller.received.find("GET /2 "));
  }
  SECTION("the chunks of a body are joined") {
    RawCaller caller(context, echo.server->port());
    caller.Send(
        "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(RunUntil(context,
                   [&] { return caller.received.ends_with("POST /c abcde"); }));
  }
}

TEST_CASE("malformed requests are refused and never reach the handler") {
  asio::io_context context;
  HttpServerLimits limits;
  limits.max_header_bytes = 200;
  limits.max_body_bytes = 10;
  EchoServer echo(context, limits);
  RawCaller caller(context, echo.server->port());
  std::string expected;
  SECTION("not HTTP") {
    caller.Send("nonsense\r\n\r\n");
    expected = "HTTP/1.1 400";
  }
  SECTION("a head beyond the limit") {
    caller.Send("GET / HTTP/1.1\r\nA: " + std::string(300, 'x') + "\r\n\r\n");
    expected = "HTTP/1.1 431";
  }
  SECTION("a body beyond the limit") {
    caller.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
    expected = "HTTP/1.1 413";
  }
  CHECK(RunUntil(context, [&] { return caller.ended; }));
  CHECK(caller.received.starts_with(expected));
  CHECK(echo.requests == 0);
}

TEST_CASE(
    "a client that disconnects is noticed before its response is complete") {
  asio::io_context context;
  int gone = 0;
  ExchangeId open = 0;
  HttpServerHandlers handlers;
  handlers.on_request = [&open](ExchangeId exchange, const HttpRequest&) {
    open = exchange;
  };
  handlers.on_gone = [&gone](ExchangeId) { ++gone; };
  HttpServer server(context, kAnyPort, {}, handlers);
  auto caller = std::make_unique<RawCaller>(context, server.port());
  caller->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil(context, [&] { return open != 0; }));
  SECTION("before the head of the response") {
    caller->socket.close();
    CHECK(RunUntil(context, [&] { return gone == 1; }));
  }
  SECTION("an aborted stream does not look complete") {
    server.BeginStream(open, 200, {});
    server.Write(open, "part");
    REQUIRE(RunUntil(context, [&] {
      return caller->received.find("part") != std::string::npos;
    }));
    server.Abort(open);
    REQUIRE(RunUntil(context, [&] { return caller->ended; }));
    CHECK(caller->received.find("0\r\n\r\n") == std::string::npos);
    CHECK(gone == 0);
  }
}

// Guards against a response that is cut because its client reads it slowly: the
// time to wait for the client's close runs while bytes are still unsent.
TEST_CASE("a large response to a slow reader arrives whole") {
  constexpr std::size_t kLarge = 32U << 20U;
  asio::io_context context;
  HeldServer held(context);
  tcp::socket socket(context);
  socket.connect({asio::ip::make_address("127.0.0.1"), held.server->port()});
  std::string request = "GET / HTTP/1.1\r\nHost: h\r\n";
  SECTION("which asked to close the connection") {
    request += "Connection: close\r\n";
  }
  SECTION("while the server leaves") { held.server->BeginLeave(); }
  SECTION("when idle connections are closed sooner by new limits") {
    held.limits.idle_timeout = std::chrono::milliseconds(500);
    held.server->SetLimits(held.limits);
  }
  asio::write(socket, asio::buffer(request + "\r\n"));
  REQUIRE(RunUntil(context, [&] { return held.open != 0; }));
  HttpResponse response;
  response.body.assign(kLarge, 'x');
  held.server->Respond(held.open, response);
  CHECK(
      ReadAfterPause(context, socket, std::chrono::milliseconds(1600), kLarge));
}

// Guards against a process that ends, having drained, before it has sent a
// response whose last bytes wait for a slow client.
TEST_CASE("a request counts as open until its response is sent") {
  asio::io_context context;
  HeldServer held(context);
  tcp::socket socket(context);
  socket.connect({asio::ip::make_address("127.0.0.1"), held.server->port()});
  asio::write(
      socket,
      asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  REQUIRE(RunUntil(context, [&] { return held.open != 0; }));
  HttpResponse response;
  response.body.assign(32U << 20U, 'x');
  held.server->Respond(held.open, response);
  context.run_for(std::chrono::milliseconds(50));
  context.restart();
  CHECK(held.server->OpenExchanges() == 1);
  std::vector<char> all(response.body.size());
  asio::async_read(socket, asio::buffer(all),
                   [](std::error_code, std::size_t) {});
  CHECK(RunUntil(context, [&] { return held.server->OpenExchanges() == 0; }));
}

// Guards against a request that is read and never answered: its client was told
// that the connection stays open, and the server leaves meanwhile.
TEST_CASE("a kept connection serves its next request while the server leaves") {
  asio::io_context context;
  HeldServer held(context);
  RawCaller caller(context, held.server->port());
  caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil(context, [&] { return held.open != 0; }));
  const ExchangeId first = held.open;
  held.server->BeginStream(first, 200, {});
  held.server->Write(first, "part");
  REQUIRE(RunUntil(context, [&] {
    return caller.received.find("part") != std::string::npos;
  }));
  REQUIRE(caller.received.find("Keep-Alive: timeout=") != std::string::npos);
  held.server->BeginLeave();
  held.server->EndStream(first);
  caller.Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(
      RunUntil(context, [&] { return held.open != first || caller.ended; }));
  REQUIRE(held.open != first);
  HttpResponse response;
  response.body = "second";
  held.server->Respond(held.open, response);
  CHECK(RunUntil(context, [&] { return caller.ended; }));
  CHECK(caller.received.ends_with("second"));
  CHECK(caller.received.find("Connection: close") != std::string::npos);
}

// Guards against a request that is sent in time on a connection whose server
// closes it: new limits are shorter than what its client was told.
TEST_CASE("a connection stays open for as long as its client was told") {
  asio::io_context context;
  HttpServerLimits limits;
  EchoServer echo(context, limits);
  const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  RawCaller told(context, echo.server->port());
  RawCaller silent(context, echo.server->port());
  told.Send(request);
  REQUIRE(RunUntil(context, [&] { return echo.requests == 1; }));
  limits.idle_timeout = std::chrono::milliseconds(500);
  echo.server->SetLimits(limits);
  context.run_for(std::chrono::milliseconds(1200));
  context.restart();
  CHECK_FALSE(told.ended);
  SECTION("one that was told nothing is closed by the new limits") {
    CHECK(RunUntil(context, [&] { return silent.ended; }));
  }
  SECTION("with its next answer the new limits hold") {
    told.Send(request);
    REQUIRE(RunUntil(context, [&] { return echo.requests == 2; }));
    CHECK(RunUntil(context, [&] { return told.ended; }));
  }
}

// Guards against requests that wait unread, because the loop stood still, on
// connections that are then closed as idle.
TEST_CASE("a connection with an unread request is not idle") {
  constexpr std::size_t kMoreThanOneRead = 200;
  asio::io_context context;
  HttpServerLimits limits;
  limits.idle_timeout = std::chrono::milliseconds(1000);
  EchoServer echo(context, limits);
  const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (std::size_t i = 0; i < kMoreThanOneRead; ++i) {
    callers.push_back(
        std::make_unique<RawCaller>(context, echo.server->port()));
    callers.back()->Send(request);
  }
  REQUIRE(RunUntil(context, [&] { return echo.requests == kMoreThanOneRead; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  for (const auto& caller : callers) {
    caller->Send(request);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  RunUntil(context, [&] { return echo.requests == 2 * kMoreThanOneRead; });
  CHECK(echo.requests == 2 * kMoreThanOneRead);
}

// Guards against new clients that are turned away while connections that nobody
// uses hold all places, and against closing one with a request under way.
TEST_CASE("at the limit of connections the longest idle one makes room") {
  asio::io_context context;
  HttpServerLimits limits;
  limits.max_connections = 3;
  EchoServer echo(context, limits);
  const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  RawCaller begun(context, echo.server->port());
  RawCaller idle(context, echo.server->port());
  RawCaller used(context, echo.server->port());
  begun.Send(request.substr(0, 10));
  idle.Send(request);
  used.Send(request);
  REQUIRE(RunUntil(context, [&] { return echo.requests == 2; }));
  SECTION("not one that was used a moment ago") {
    RawCaller late(context, echo.server->port());
    CHECK(RunUntil(context, [&] { return late.ended; }));
    CHECK_FALSE(idle.ended);
    CHECK_FALSE(used.ended);
  }
  SECTION("one after the other, and never one with a request under way") {
    context.run_for(std::chrono::milliseconds(1200));
    context.restart();
    used.Send(request);
    REQUIRE(RunUntil(context, [&] { return echo.requests == 3; }));
    RawCaller late(context, echo.server->port());
    late.Send(request);
    CHECK(RunUntil(context, [&] { return echo.requests == 4; }));
    CHECK(RunUntil(context, [&] { return idle.ended; }));
    CHECK_FALSE(used.ended);
    RawCaller too_late(context, echo.server->port());
    CHECK(RunUntil(context, [&] { return too_late.ended; }));
    CHECK_FALSE(begun.ended);
    begun.Send(request.substr(10));
    CHECK(RunUntil(context, [&] { return echo.requests == 5; }));
  }
}

TEST_CASE("the client reports how a call ended") {
  asio::io_context context;
  HttpClient client(context);
  CallRecord record;
  const auto call = [&](const Endpoint& peer, const Header& identity = {}) {
    HttpCall out;
    out.peer = peer;
    out.target = "/x";
    out.identity = identity;
    client.Call(out, record.Handlers());
    REQUIRE(RunUntil(context, [&] { return record.ended; }));
  };
  SECTION("complete, with a Content-Length") {
    RawServer server(context,
                     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}, false);
    call(server.address());
    CHECK(record.end == HttpEnd::kComplete);
    CHECK(record.body == "ok");
    SECTION("the connection is reused") {
      record = {};
      call(server.address());
      CHECK(record.body == "ok");
      CHECK(server.connections == 1);
    }
    // Guards against the failure of a request that cannot be repeated although
    // its peer is available: the peer loses power and restarts at the same
    // address, the client keeps its old connections although it knows of the
    // restart, and the request is sent on one of them, which the peer resets.
    SECTION("the connection is not reused after a known restart of the peer") {
      client.CloseIdle({"127.0.0.1", 1});
      client.CloseIdle(server.address());
      record = {};
      call(server.address());
      CHECK(record.body == "ok");
      CHECK(server.connections == 2);
    }
  }
  SECTION("complete, when a response without length ends with its connection") {
    RawServer server(context, {"HTTP/1.1 200 OK\r\n\r\nall of it"}, true);
    call(server.address());
    CHECK(record.end == HttpEnd::kComplete);
    CHECK(record.body == "all of it");
  }
  SECTION("broken, when the body is truncated") {
    RawServer server(context,
                     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"}, true);
    call(server.address());
    CHECK(record.end == HttpEnd::kBroken);
  }
  SECTION("broken, when the last chunk is missing") {
    RawServer server(
        context,
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"},
        true);
    call(server.address());
    CHECK(record.end == HttpEnd::kBroken);
  }
  SECTION("malformed, when the response is not HTTP") {
    RawServer server(context, {"\x01\x02 rubbish\r\n\r\n"}, false);
    call(server.address());
    CHECK(record.end == HttpEnd::kMalformed);
  }
  SECTION("not sent, when no listener exists") {
    Endpoint nobody;
    {
      RawServer server(context, {""}, true);
      nobody = server.address();
    }
    call(nobody);
    CHECK(record.end == HttpEnd::kNotSent);
  }
  // Guards against a caller that gets the response to another call: a faulty
  // engine answers a request twice on a pooled connection, and the second
  // response is taken for that of the next request because responses are
  // matched by order only.
  SECTION("a response to another request is skipped") {
    RawServer server(
        context,
        {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
         "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nright"},
        false);
    call(server.address(), {"Id", "mine"});
    CHECK(record.end == HttpEnd::kComplete);
    CHECK(record.body == "right");
  }
}

// Guards against a call that waits for a body which never comes, or takes the
// next response for it.
TEST_CASE("a response without content ends with its head") {
  asio::io_context context;
  const std::string status =
      GENERATE("204 No Content", "304 Not Modified", "200 OK");
  const std::string framing =
      GENERATE("", "Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n");
  RawServer server(context, {"HTTP/1.1 " + status + "\r\n" + framing + "\r\n"},
                   false);
  HttpClient client(context);
  HttpCall call;
  call.peer = server.address();
  call.method = status == "200 OK" ? "HEAD" : "GET";
  CallRecord record;
  client.Call(call, record.Handlers());
  RunUntil(context, [&] { return record.ended; });
  CHECK(record.ended);
  CHECK(record.end == HttpEnd::kComplete);
  CHECK(record.body.empty());
}

TEST_CASE("events are returned complete and in order") {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\nid: 3\ndata: d";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    EventSplitter splitter;
    std::vector<std::string> data;
    StreamEvent event;
    for (const std::string& part :
         {stream.substr(0, cut), stream.substr(cut)}) {
      splitter.Add(part);
      while (splitter.Next(event)) {
        data.push_back(event.data);
        CHECK(event.id == data.size());
      }
    }
    REQUIRE(data == std::vector<std::string>{"a", "b\nc"});
    CHECK(splitter.HasPartialEvent());
  }
}

}  // namespace papayarack::http
