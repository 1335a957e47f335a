#include <asio.hpp>
#include <catch2/catch.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/httpclient.h"
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

}  // namespace papayarack::http
