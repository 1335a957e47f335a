#include <algorithm>
#include <array>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "http/eventsplitter.h"
#include "nodes/responselimits.h"
#include "nodes/tests/relayfixture.h"

namespace papayarack::nodes {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEventText = 4000;
constexpr int kSmallBuffer = 64 << 10;

std::string EventOf(std::uint64_t id) {
  return "id: " + std::to_string(id) +
         "\ndata: " + std::string(kEventText, 'a') + "\n\n";
}

/// A replica that writes events as fast as its socket takes them.
class FastReplica {
 public:
  FastReplica(asio::io_context& context, std::uint64_t events)
      : acceptor(context), socket(context), events(events) {
    const tcp::endpoint listen(asio::ip::make_address("127.0.0.1"), 0);
    this->acceptor.open(listen.protocol());
    this->acceptor.set_option(
        asio::socket_base::send_buffer_size(kSmallBuffer));
    this->acceptor.bind(listen);
    this->acceptor.listen();
    this->acceptor.async_accept(this->socket, [this](std::error_code error) {
      if (!error) {
        this->AwaitRequest();
      }
    });
  }
  std::string Address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

  std::size_t sent = 0;
  bool left = false;  ///< Its client closed the connection before the end.

 private:
  void AwaitRequest() {
    this->socket.async_read_some(
        asio::buffer(this->chunk), [this](std::error_code error, std::size_t) {
          if (!error) {
            this->Write(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
          }
        });
  }
  void Write(std::string bytes) {
    this->writing = std::move(bytes);
    asio::async_write(this->socket, asio::buffer(this->writing),
                      [this](std::error_code error, std::size_t length) {
                        this->sent += length;
                        this->left = static_cast<bool>(error);
                        if (!error) {
                          this->Next();
                        }
                      });
  }
  void Next() {
    if (this->next_event > this->events) {
      this->socket.close();
      return;
    }
    this->Write(EventOf(this->next_event++));
  }

  tcp::acceptor acceptor;
  tcp::socket socket;
  std::uint64_t events;
  std::uint64_t next_event = 1;
  std::array<char, 4096> chunk{};
  std::string writing;
};

/// A caller that reads only while the test lets it.
class SlowCaller {
 public:
  SlowCaller(asio::io_context& context, std::uint16_t port) : socket(context) {
    this->socket.open(tcp::v4());
    this->socket.set_option(
        asio::socket_base::receive_buffer_size(kSmallBuffer));
    this->socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(
        this->socket,
        asio::buffer(std::string(
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")));
  }
  void Read() {
    this->socket.async_read_some(asio::buffer(this->chunk),
                                 [this](std::error_code error, std::size_t n) {
                                   this->received.append(this->chunk.data(),
                                                         error ? 0 : n);
                                   this->ended = static_cast<bool>(error);
                                   if (!error) {
                                     this->Read();
                                   }
                                 });
  }
  std::string received;
  bool ended = false;

 private:
  tcp::socket socket;
  std::array<char, 65536> chunk{};
};

/// Number of events that follow each other from 1, in a chunked body.
std::uint64_t EventsOf(const std::string& received) {
  std::uint64_t count = 0;
  std::size_t at = 0;
  while (true) {
    at = received.find("id: " + std::to_string(count + 1) + "\n", at);
    if (at == std::string::npos) {
      return count;
    }
    ++count;
  }
}

}  // namespace

// Guards against an entry that runs out of memory because a caller reads more
// slowly than its replica writes, and against a replica that cuts a response
// which the entry leaves unread.
TEST_CASE("a caller that reads slowly") {
  constexpr std::uint64_t kEvents = 10000;
  RelayFixture fixture;
  fixture.route.timeout = seconds(30);
  FastReplica replica(fixture.context, kEvents);
  fixture.SetReplicas({replica.Address()});
  SlowCaller caller(fixture.context, fixture.front_server.port());
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.Shows("papayarack_online_reads_paused_total 1"); },
      seconds(2)));
  // The kernel's socket buffers grow for a time, then the replica can send no
  // more.
  std::size_t sent = 0;
  std::size_t most_held = 0;
  Time changed = MonotonicNow();
  REQUIRE(fixture.RunUntil(
      [&] {
        const Time now = MonotonicNow();
        if (std::exchange(sent, replica.sent) != replica.sent) {
          changed = now;
        }
        most_held = std::max(most_held, fixture.front_server.UnsentTotal());
        return now - changed > milliseconds(400);
      },
      seconds(5)));
  CHECK(fixture.front_server.UnsentTotal() > kResumeReadingBytes);
  CHECK(most_held < 2 * kPauseReadingBytes);
  CHECK(sent < kEvents * kEventText);

  SECTION("gets the whole response once it reads") {
    fixture.RunUntil([] { return false; }, milliseconds(900));
    CHECK(replica.sent == sent);  // Longer than an engine may be silent.
    caller.Read();
    REQUIRE(fixture.RunUntil([&] { return fixture.relay.Open() == 0; },
                             seconds(25)));
    fixture.RunUntil(
        [&] {
          return caller.received.ends_with("0\r\n\r\n") &&
                 fixture.front_server.UnsentTotal() == 0;
        },
        seconds(2));
    CHECK(EventsOf(caller.received) == kEvents);
    CHECK(caller.received.ends_with("0\r\n\r\n"));
    CHECK(fixture.Shows("papayarack_online_answered_total 1"));
    CHECK(fixture.front_server.UnsentTotal() == 0);
  }
  SECTION("is dropped before its replica would cut the response") {
    const Time begun = MonotonicNow();
    REQUIRE(fixture.RunUntil([&] { return fixture.relay.Open() == 0; },
                             seconds(4)));
    CHECK(MonotonicNow() - begun < kMaxCallerStall + milliseconds(300));
    CHECK(fixture.Shows("papayarack_online_callers_dropped_total 1"));
    CHECK(fixture.RunUntil([&] { return replica.left; }, seconds(1)));
    CHECK(fixture.front_server.UnsentTotal() == 0);
    CHECK(fixture.front_server.ledger().counts().Ended(
              http::ExchangeOutcome::kStalled) == 1);
  }
}

}  // namespace papayarack::nodes
