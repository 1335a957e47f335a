#include <asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/httpclient.h"
#include "http/httpserver.h"
#include "http/internal/headparser.h"
#include "http/tests/serverfixtures.h"

namespace papayarack::http {
namespace {

/// How a connection ends.
enum class Ending { kOrderly, kReset };

/// A peer that sends `first` to the first request of a connection, if it is not
/// empty, and `last` to the next one, and then ends the connection.
class CuttingPeer {
 public:
  explicit CuttingPeer(asio::io_context& context)
      : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    this->Accept();
  }

  Endpoint Address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }
  std::string first;
  std::string last;
  Ending ending = Ending::kOrderly;

 private:
  struct Link {
    explicit Link(tcp::socket socket) : socket(std::move(socket)) {}
    tcp::socket socket;
    std::string request;
    bool answered_first = false;
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](std::error_code error, tcp::socket socket) {
          if (error) {
            return;
          }
          this->Read(std::make_shared<Link>(std::move(socket)));
          this->Accept();
        });
  }

  void Read(const std::shared_ptr<Link>& link) {
    link->request.clear();
    asio::async_read_until(link->socket, asio::dynamic_buffer(link->request),
                           "\r\n\r\n",
                           [this, link](std::error_code error, std::size_t) {
                             if (!error) {
                               this->Respond(link);
                             }
                           });
  }

  void Respond(const std::shared_ptr<Link>& link) {
    if (!this->first.empty() && !std::exchange(link->answered_first, true)) {
      asio::write(link->socket, asio::buffer(this->first));
      this->Read(link);
      return;
    }
    asio::write(link->socket, asio::buffer(this->last));
    if (this->ending == Ending::kReset) {
      link->socket.set_option(asio::socket_base::linger(true, 0));
    }
    link->socket.close();
  }

  tcp::acceptor acceptor;
};

struct Outcome {
  std::optional<HttpEnd> end;
  bool has_head = false;
};

Outcome Ask(asio::io_context& context, HttpClient& client,
            const CuttingPeer& peer, const std::string& id) {
  HttpCall call;
  call.peer = peer.Address();
  call.target = "/";
  call.identity = {"Request-Id", id};
  Outcome outcome;
  HttpCallHandlers handlers;
  handlers.on_head = [&](const HttpHead&) { outcome.has_head = true; };
  handlers.on_body = [](std::string_view) {};
  handlers.on_end = [&](HttpEnd how) { outcome.end = how; };
  client.Call(call, handlers);
  RunUntil(context, [&] { return outcome.end.has_value(); });
  return outcome;
}

}  // namespace

// Guards against a success with an empty or short body that is framed as whole,
// made of a response that broke off inside its head.
TEST_CASE("a response that breaks off inside its head is broken") {
  const auto head = GENERATE(
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-A: b\r\n\r\n"),
      std::string("HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 12\r\n\r\n"),
      std::string("HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Type: text\r\n\r\n"));
  const auto interim = GENERATE(std::string(), std::string("HTTP/1.1 100 "
                                                           "Continue\r\n\r\n"));
  const auto ending = GENERATE(Ending::kOrderly, Ending::kReset);
  const bool kept = GENERATE(false, true);
  asio::io_context context;
  CuttingPeer peer(context);
  peer.ending = ending;
  peer.first = kept ? "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" : "";
  HttpClient client(context);
  for (std::size_t length = 0; length < head.size(); ++length) {
    CAPTURE(head, interim.empty(), kept, length);
    if (kept) {
      CHECK(Ask(context, client, peer, "before").end == HttpEnd::kComplete);
    }
    peer.last = interim + head.substr(0, length);
    const Outcome outcome =
        Ask(context, client, peer, "r" + std::to_string(length));
    CHECK(outcome.end == HttpEnd::kBroken);
    CHECK_FALSE(outcome.has_head);
  }
}

// The counterpart: where the head is whole, its framing tells what is missing.
TEST_CASE(
    "a response that breaks off after its head is whole only if framed so") {
  asio::io_context context;
  CuttingPeer peer(context);
  HttpClient client(context);
  SECTION("a body that is shorter than its length is broken") {
    peer.last = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok";
    CHECK(Ask(context, client, peer, "r").end == HttpEnd::kBroken);
  }
  SECTION("a body without a length ends with an orderly end only") {
    peer.last = "HTTP/1.1 200 OK\r\n\r\nok";
    CHECK(Ask(context, client, peer, "r").end == HttpEnd::kComplete);
    peer.ending = Ending::kReset;
    CHECK(Ask(context, client, peer, "s").end == HttpEnd::kBroken);
  }
}

// Guards against a success made of what is no answer, with the field or the
// body of a replica in trouble.
TEST_CASE("a response whose head is malformed is no response") {
  const auto bytes = GENERATE(
      std::string("HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok"),
      std::string("HTTP/1.1 000\r\nContent-Length: 2\r\n\r\nok"),
      std::string("HTTP/1.1 099 Low\r\nContent-Length: 2\r\n\r\nok"),
      std::string("HTTP/1.1 600 High\r\nContent-Length: 2\r\n\r\nok"),
      std::string("HTTP/1.1 999 High\r\nContent-Length: 2\r\n\r\nok"),
      std::string("HTTP/1.1 20 Short\r\nContent-Length: 2\r\n\r\nok"),
      std::string("HTTP/1.1 0200 Long\r\nContent-Length: 2\r\n\r\nok"),
      std::string("HTTP/1.1 2000 Long\r\nContent-Length: 2\r\n\r\nok"),
      std::string("HTTP/9.9 200 OK\r\nContent-Length: 2\r\n\r\nok"),
      std::string("HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: "
                  "2\r\n\r\nok"),
      std::string("HTTP/1.1 200 OK\r\nBad : x\r\nContent-Length: "
                  "2\r\n\r\nok"),
      std::string("HTTP/1.1 200 OK\r\nB\x01"
                  "ad: x\r\nContent-Length: 2\r\n\r\nok"),
      std::string("HTTP/1.1 200 OK\r\nB\x7f"
                  "ad: x\r\nContent-Length: 2\r\n\r\nok"),
      std::string("HTTP/1.1 200 OK\r\nContent Length: 3\r\n\r\nok"),
      std::string("HTTP/1.1 200 OK\r\nA: b\x01\r\nContent-Length: "
                  "2\r\n\r\nok"),
      std::string("HTTP/1.1 200 OK\r\nA: b\r\n x: y\r\nContent-Length: "
                  "2\r\n\r\nok"),
      std::string("HTTP/1.1 200 OK\r\n x: y\r\nContent-Length: "
                  "2\r\n\r\nok"),
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\tx\r\n\r\nok"),
      std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, "
                  "identity\r\n\r\nok"),
      std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok"),
      std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "2\r\nok\r\n0\r\nBad Name: x\r\n\r\n"));
  const bool in_pieces = GENERATE(false, true);
  CAPTURE(bytes, in_pieces);
  HeadParser parser(HeadParser::Kind::kResponse, std::size_t{1} << 15U,
                    {[] {}, [](std::string_view) {}, [] {}});
  std::string_view rest = bytes;
  while (!rest.empty() && !parser.failed() && !parser.MessageComplete()) {
    const std::size_t size = in_pieces ? 1 : rest.size();
    parser.Parse(rest.substr(0, size));
    rest.remove_prefix(size);
  }
  CHECK(parser.failed());

  asio::io_context context;
  CuttingPeer peer(context);
  HttpClient client(context);
  peer.last = bytes;
  CHECK(Ask(context, client, peer, "r").end == HttpEnd::kMalformed);
}

// The counterpart: what is unusual but allowed goes on.
TEST_CASE("a response whose head is unusual is a response") {
  const auto bytes = GENERATE(
      std::string("HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok"),
      std::string("HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok"),
      std::string("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"),
      std::string("HTTP/1.1 599 Odd\r\nA:\r\nContent-Length:2\r\n\r\nok"),
      std::string("HTTP/1.1 200 OK\r\nA: b \t c\xe4\r\nContent-Length: 2  "
                  "\r\n\r\nok"),
      std::string("HTTP/1.1 200 OK\nContent-Length: 2\n\nok"),
      std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
                  "2;a=b\r\nok\r\n0\r\nA: b\r\n\r\n"));
  const bool in_pieces = GENERATE(false, true);
  CAPTURE(bytes, in_pieces);
  std::string body;
  HeadParser parser(
      HeadParser::Kind::kResponse, std::size_t{1} << 15U,
      {[] {}, [&](std::string_view part) { body.append(part); }, [] {}});
  std::string_view rest = bytes;
  while (!rest.empty() && !parser.failed() && !parser.MessageComplete()) {
    const std::size_t size = in_pieces ? 1 : rest.size();
    parser.Parse(rest.substr(0, size));
    rest.remove_prefix(size);
  }
  CHECK_FALSE(parser.failed());
  CHECK(parser.MessageComplete());
  CHECK(body == "ok");
}

// Guards against one client's bytes that become another request: a server
// beside this one reads them in another way.
TEST_CASE("a request whose head is malformed is refused") {
  const auto bytes = GENERATE(
      std::string("GET / HTTP/1.1\r\nHost: h\r\nBad Name: x\r\n\r\n"),
      std::string("GET / HTTP/1.1\r\nHost: h\r\nBad : x\r\n\r\n"),
      std::string("GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n"),
      std::string("GET / HTTP/9.9\r\nHost: h\r\n\r\n"),
      std::string("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, "
                  "identity\r\n\r\n0\r\n\r\n"),
      std::string("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                  "chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
  CAPTURE(bytes);
  asio::io_context context;
  EchoServer server(context);
  RawCaller caller(context, server.server->port());
  caller.Send(bytes);
  RunUntil(context, [&] { return !caller.received.empty(); });
  CHECK(caller.received.starts_with("HTTP/1.1 400"));
  CHECK(server.requests == 0);
}

// Guards against a request that is served with fields that its head lacks, for
// which the caller's key or organisation was not checked.
TEST_CASE("a trailer is no field of the head") {
  asio::io_context context;
  std::unique_ptr<HttpServer> server;
  Headers seen;
  HttpServerHandlers handlers;
  handlers.on_request = [&](ExchangeId exchange, const HttpRequest& request) {
    seen = request.headers;
    server->Respond(exchange, {});
  };
  handlers.on_gone = [](ExchangeId) {};
  server = std::make_unique<HttpServer>(context, kAnyPort, HttpServerLimits{},
                                        handlers);
  RawCaller caller(context, server->port());
  caller.Send(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nok\r\n0\r\nX-First: a\r\nX-Second: b\r\n\r\n");
  RunUntil(context, [&] { return !caller.received.empty(); });
  CHECK(caller.received.starts_with("HTTP/1.1 200"));
  CHECK(seen.Has("Host"));
  CHECK_FALSE(seen.Has("X-First"));
  CHECK_FALSE(seen.Has("X-Second"));
}

// Guards against a part of a response that is taken for a whole one: its peer
// answered at once, without a length, and reset the connection while the
// request was still being written.
TEST_CASE("a response without a length that is cut by a reset is broken") {
  constexpr std::size_t kUpload = 32U << 20U;  // Fits into no buffers.
  constexpr int kRuns = 8;
  constexpr std::chrono::milliseconds kUntilReset{50};
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  HttpClient client(context);
  for (int run = 0; run < kRuns; ++run) {
    CAPTURE(run);
    HttpCall call;
    call.peer = {"127.0.0.1", acceptor.local_endpoint().port()};
    call.method = "POST";
    call.target = "/";
    call.body.assign(kUpload, 'u');
    std::optional<HttpEnd> end;
    std::string body;
    HttpCallHandlers handlers;
    handlers.on_head = [](const HttpHead&) {};
    handlers.on_body = [&](std::string_view bytes) { body.append(bytes); };
    handlers.on_end = [&](HttpEnd how) { end = how; };
    client.Call(call, handlers);
    std::optional<tcp::socket> peer;
    asio::steady_timer reset(context);
    acceptor.async_accept([&](std::error_code, tcp::socket socket) {
      peer = std::move(socket);
      asio::write(*peer,
                  asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\npart")));
      reset.expires_after(kUntilReset);
      reset.async_wait([&](std::error_code) {
        peer->set_option(asio::socket_base::linger(true, 0));
        peer->close();
      });
    });
    RunUntil(context, [&] { return end.has_value(); });
    CHECK(body == "part");
    CHECK(end == HttpEnd::kBroken);
  }
}

}  // namespace papayarack::http
