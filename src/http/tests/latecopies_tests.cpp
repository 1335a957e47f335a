#include <array>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "http/httpclient.h"
#include "http/tests/serverfixtures.h"

namespace papayarack::http {
namespace {

/// A faulty peer that answers each request with the connection's number and
/// sends every response twice: the second copy comes late, as the connection's
/// next request arrives.
class RepeatingPeer {
 public:
  explicit RepeatingPeer(asio::io_context& context)
      : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    this->Accept();
  }

  Endpoint Address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }
  int connections = 0;

 private:
  struct Link {
    explicit Link(tcp::socket socket) : socket(std::move(socket)) {}
    tcp::socket socket;
    std::array<char, 1024> chunk{};
    std::string request;
    std::string late;
    int number = 0;
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](std::error_code error, tcp::socket socket) {
          if (error) {
            return;
          }
          const auto link = std::make_shared<Link>(std::move(socket));
          link->number = ++this->connections;
          this->Read(link);
          this->Accept();
        });
  }

  void Read(const std::shared_ptr<Link>& link) {
    link->socket.async_read_some(
        asio::buffer(link->chunk),
        [this, link](std::error_code error, std::size_t length) {
          if (error) {
            return;
          }
          link->request.append(link->chunk.data(), length);
          if (link->request.ends_with("\r\n\r\n")) {
            this->Respond(link);
          }
          this->Read(link);
        });
  }

  static void Respond(const std::shared_ptr<Link>& link) {
    const std::string body = std::to_string(link->number);
    std::string response = "HTTP/1.1 200 OK\r\n";
    constexpr std::string_view kName = "Request-Id: ";
    const std::size_t at = link->request.find(kName);
    if (at != std::string::npos) {
      const std::size_t end = link->request.find("\r\n", at);
      response += link->request.substr(at, end - at) + "\r\n";
    }
    response +=
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    asio::write(link->socket, asio::buffer(link->late + response));
    link->late = response;
    link->request.clear();
  }

  tcp::acceptor acceptor;
};

}  // namespace

// Guards against a late copy of a response that is taken for the response to a
// later call, after which a request that runs is believed not to have run.
TEST_CASE("a late copy of a response is not taken for a later response") {
  asio::io_context context;
  RepeatingPeer peer(context);
  HttpClient client(context);
  const auto ask = [&](const std::string& id) {
    HttpCall call;
    call.peer = peer.Address();
    call.target = "/";
    if (!id.empty()) {
      call.identity = {"Request-Id", id};
      call.headers.Set("Request-Id", id);
    }
    std::string body;
    std::optional<HttpEnd> end;
    HttpCallHandlers handlers;
    handlers.on_head = [](const HttpHead&) {};
    handlers.on_body = [&](std::string_view bytes) { body += bytes; };
    handlers.on_end = [&](HttpEnd how) { end = how; };
    client.Call(call, handlers);
    RunUntil(context, [&] { return end.has_value(); });
    CHECK(end == HttpEnd::kComplete);
    return body;
  };
  CHECK(ask("a") == "1");

  SECTION("the same request is sent again on another connection") {
    CHECK(ask("a") == "2");
    CHECK(ask("a") == "3");
  }
  SECTION("also after other requests") {
    CHECK(ask("b") == "1");
    CHECK(ask("a") == "2");
  }
  SECTION("other requests use the connection") {
    CHECK(ask("b") == "1");
    CHECK(ask("c") == "1");
    CHECK(peer.connections == 1);
  }
  SECTION("a call whose response names no request uses another one") {
    CHECK(ask("") == "2");
    CHECK(ask("b") == "1");
  }
  SECTION("a connection is not kept for ever") {
    constexpr int kMoreThanOneCarries = 1200;
    for (int i = 0; i < kMoreThanOneCarries; ++i) {
      ask("r" + std::to_string(i));
    }
    CHECK(peer.connections == 2);
  }
}

}  // namespace papayarack::http
