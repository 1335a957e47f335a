#include <asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <future>
#include <string>
#include <string_view>
#include <utility>

#include "gate/upstreamclient.h"

namespace papayarack::gate {
namespace {

using asio::ip::tcp;

struct Ended {
  UpstreamEnd end = UpstreamEnd::kNotSent;
  bool has_head = false;
};

/// Sends one call to a peer that answers with `bytes` and ends the connection.
Ended Ask(tcp::acceptor& acceptor, std::string_view bytes, bool reset) {
  bool has_head = false;
  std::promise<UpstreamEnd> ended;
  UpstreamHandlers handlers;
  handlers.on_head = [&](WorkId, int, const std::string&) { has_head = true; };
  handlers.on_bytes = [](WorkId, const std::string&) {};
  handlers.on_end = [&](WorkId, UpstreamEnd end, const std::string&) {
    ended.set_value(end);
  };
  UpstreamClient client({"127.0.0.1", acceptor.local_endpoint().port()}, 1,
                        std::move(handlers));
  UpstreamCall call;
  call.id = 1;
  call.request_id = "r";
  call.target = "/";
  const bool started = client.Start(std::move(call));
  REQUIRE(started);
  tcp::socket socket = acceptor.accept();
  std::string request;
  asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
  asio::write(socket, asio::buffer(bytes));
  if (reset) {
    socket.set_option(asio::socket_base::linger(true, 0));
  }
  socket.close();
  const UpstreamEnd end = ended.get_future().get();
  return {end, has_head};
}

}  // namespace

// Guards against an answer that breaks off inside its head and is taken for a
// complete one with an empty or short body.
TEST_CASE("an upstream's answer that breaks off inside its head is broken") {
  const auto head = GENERATE(
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-A: b\r\n\r\n"),
      std::string("HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\n"),
      std::string("HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"));
  const auto interim =
      GENERATE(std::string(), std::string("HTTP/1.1 100 Continue\r\n\r\n"));
  const bool reset = GENERATE(false, true);
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  for (std::size_t length = 0; length < head.size(); ++length) {
    CAPTURE(head, interim.empty(), reset, length);
    const Ended ended = Ask(acceptor, interim + head.substr(0, length), reset);
    CHECK(ended.end == UpstreamEnd::kBroken);
    CHECK_FALSE(ended.has_head);
  }
}

// Guards against a status that is none and is passed on as an answer.
TEST_CASE("an upstream's answer whose status is none is broken") {
  const auto status = GENERATE("000", "099", "600", "999", "20", "0200");
  CAPTURE(status);
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  const Ended ended = Ask(acceptor,
                          "HTTP/1.1 " + std::string(status) +
                              " None\r\nContent-Length: 2\r\n\r\nok",
                          false);
  CHECK(ended.end == UpstreamEnd::kBroken);
  CHECK_FALSE(ended.has_head);
}

}  // namespace papayarack::gate
