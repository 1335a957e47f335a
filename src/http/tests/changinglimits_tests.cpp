#include <asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "serverfixtures.h"

namespace papayarack::http {
namespace {

using std::chrono::milliseconds;

std::string HeadOf(std::size_t padding, const std::string& fields) {
  return "POST /a HTTP/1.1\r\nHost: h\r\nPadding: " +
         std::string(padding, 'x') + "\r\n" + fields + "\r\n";
}

struct Fixture {
  bool RunUntilReceived(const std::string& text) {
    return RunUntil(this->context, [this, &text] {
      return this->caller.received.find(text) != std::string::npos;
    });
  }
  void RunFor(milliseconds time) {
    this->context.run_for(time);
    this->context.restart();
  }

  asio::io_context context;
  HttpServerLimits limits;
  EchoServer server{context};
  RawCaller caller{context, server.server->port()};
};

}  // namespace

// Guards against a request that is refused for good, with 413 or 431, although
// it keeps to the limits that were in force when it began.
TEST_CASE("a request keeps to the limits in force when it began") {
  Fixture fixture;
  SECTION("as the limit of bodies shrinks below its length") {
    fixture.caller.Send(HeadOf(10, "Content-Length: 8\r\n") + "half");
    fixture.RunFor(milliseconds(30));
    fixture.limits.max_body_bytes = 4;
    fixture.server.server->SetLimits(fixture.limits);
    fixture.caller.Send("rest");
    CHECK(fixture.RunUntilReceived("POST /a halfrest"));
    SECTION("and the next one to those in force then") {
      fixture.caller.Send(HeadOf(10, "Content-Length: 8\r\n"));
      CHECK(fixture.RunUntilReceived(" 413 "));
    }
  }
  SECTION("as the limit shrinks below what has come of its chunks") {
    fixture.caller.Send(HeadOf(10, "Transfer-Encoding: chunked\r\n") +
                        "4\r\nhalf\r\n");
    fixture.RunFor(milliseconds(30));
    fixture.limits.max_body_bytes = 3;
    fixture.server.server->SetLimits(fixture.limits);
    fixture.caller.Send("4\r\nrest\r\n0\r\n\r\n");
    CHECK(fixture.RunUntilReceived("POST /a halfrest"));
  }
  SECTION("as the limit of heads shrinks while its head is read") {
    const std::string head = HeadOf(200, "Content-Length: 4\r\n");
    fixture.caller.Send(head.substr(0, 40));
    fixture.RunFor(milliseconds(30));
    fixture.limits.max_header_bytes = 100;
    fixture.server.server->SetLimits(fixture.limits);
    fixture.caller.Send(head.substr(40) + "body");
    CHECK(fixture.RunUntilReceived("POST /a body"));
  }
  SECTION("on a connection that is older than a larger limit of heads") {
    fixture.caller.Send(HeadOf(10, "Content-Length: 3\r\n") + "one");
    REQUIRE(fixture.RunUntilReceived("POST /a one"));
    fixture.limits.max_header_bytes *= 4;
    fixture.server.server->SetLimits(fixture.limits);
    fixture.caller.Send(HeadOf(20U << 10U, "Content-Length: 3\r\n") + "two");
    CHECK(fixture.RunUntilReceived("POST /a two"));
  }
  SECTION("on a connection that is older than a smaller limit of heads") {
    fixture.caller.Send(HeadOf(10, "Content-Length: 3\r\n") + "one");
    REQUIRE(fixture.RunUntilReceived("POST /a one"));
    fixture.limits.max_header_bytes = 100;
    fixture.server.server->SetLimits(fixture.limits);
    fixture.caller.Send(HeadOf(200, "Content-Length: 3\r\n") + "two");
    CHECK(fixture.RunUntilReceived(" 431 "));
  }
}

// Guards against a connection that is closed without a word as the time for
// heads shrinks while one is read: the request is promised not to have run.
TEST_CASE("a request whose time for its head shrinks is refused") {
  Fixture fixture;
  const std::string head = HeadOf(10, "Content-Length: 4\r\n");
  fixture.caller.Send(head.substr(0, 20));
  fixture.RunFor(milliseconds(100));
  fixture.limits.header_timeout = milliseconds(50);
  fixture.server.server->SetLimits(fixture.limits);
  CHECK(fixture.RunUntilReceived(" 408 "));
  fixture.caller.Send(head.substr(20) + "body");
  CHECK(RunUntil(fixture.context, [&] { return fixture.caller.ended; }));
  CHECK(fixture.server.requests == 0);
}

}  // namespace papayarack::http
