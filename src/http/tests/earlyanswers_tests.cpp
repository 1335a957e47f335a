#include <array>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/httpclient.h"
#include "http/tests/serverfixtures.h"

namespace papayarack::http {
namespace {

using std::chrono::milliseconds;

/// Far more than fits into the buffers of a connection.
constexpr std::size_t kLongBody = 32U << 20U;

/// A peer that refuses a long request before it has read its body, keeps the
/// connection, and reads on later. It answers one request of a connection.
class RefusingPeer {
 public:
  explicit RefusingPeer(asio::io_context& context)
      : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    this->Accept();
  }

  Endpoint Address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }
  /// All bytes that each connection brought.
  std::vector<std::string> received;

 private:
  struct Link {
    explicit Link(tcp::socket socket) : socket(std::move(socket)) {}
    tcp::socket socket;
    std::array<char, 4096> chunk{};
    std::size_t number = 0;
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](std::error_code error, tcp::socket socket) {
          if (error) {
            return;
          }
          const auto link = std::make_shared<Link>(std::move(socket));
          link->number = this->received.size();
          this->received.emplace_back();
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
          std::string& bytes = this->received.at(link->number);
          const bool first = bytes.empty();
          bytes.append(link->chunk.data(), length);
          if (first) {
            this->Answer(link);
          } else {
            this->Read(link);
          }
        });
  }

  void Answer(const std::shared_ptr<Link>& link) {
    constexpr milliseconds kReadsOnAfter{200};
    const bool is_long =
        this->received.at(link->number).find("long") != std::string::npos;
    const std::string answer =
        std::string(is_long ? "HTTP/1.1 503 Full" : "HTTP/1.1 200 OK") +
        "\r\nContent-Length: 0\r\n\r\n";
    asio::write(link->socket, asio::buffer(answer));
    const auto timer = std::make_shared<asio::steady_timer>(
        link->socket.get_executor(), kReadsOnAfter);
    timer->async_wait(
        [this, link, timer](std::error_code) { this->Read(link); });
  }

  tcp::acceptor acceptor;
};

}  // namespace

// Guards against a replica that gets another request, or another caller's body,
// where the rest of a body is due that it refused before it had read it.
TEST_CASE("nothing follows a body that its peer has not read yet") {
  asio::io_context context;
  RefusingPeer peer(context);
  HttpClient client(context);
  const auto ask = [&](const std::string& target, const std::string& body) {
    HttpCall call;
    call.peer = peer.Address();
    call.method = "POST";
    call.target = target;
    call.body = body;
    const auto end = std::make_shared<std::optional<HttpEnd>>();
    const auto status = std::make_shared<int>(0);
    HttpCallHandlers handlers;
    handlers.on_head = [status](const HttpHead& head) {
      *status = head.status;
    };
    handlers.on_body = [](std::string_view) {};
    handlers.on_end = [end](HttpEnd how) { *end = how; };
    client.Call(call, handlers);
    RunUntil(context, [&] { return end->has_value(); });
    CHECK(*end == HttpEnd::kComplete);
    return *status;
  };
  const std::string body(kLongBody, 'b');
  CHECK(ask("/long", body) == 503);
  CHECK(ask("/next", "n") == 200);
  context.run_for(milliseconds(600));
  context.restart();
  REQUIRE(peer.received.size() == 2);
  const std::string& first = peer.received.at(0);
  CHECK(first.find("/next") == std::string::npos);
  CHECK(first.ends_with("b"));
  CHECK(first.size() <= body.size() + first.find("\r\n\r\n") + 4);
}

}  // namespace papayarack::http
