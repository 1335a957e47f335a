#include <catch2/catch.hpp>
#include <string>

#include "http/tests/serverfixtures.h"

namespace papayarack::http {
namespace {

const std::string kRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

TEST_CASE("a server that leaves") {
  asio::io_context context;
  EchoServer echo(context);
  RawCaller caller(context, echo.server->port());

  // Guards against a process that ends while an answer is on its way.
  SECTION("counts an answered connection until its client has closed it") {
    REQUIRE(
        RunUntil(context, [&] { return echo.server->OpenConnections() == 1; }));
    echo.server->BeginLeave();
    caller.Send(kRequest);
    REQUIRE(RunUntil(context, [&] { return caller.ended; }));
    CHECK(echo.server->OpenExchanges() == 0);
    CHECK(echo.server->OpenConnections() == 1);
    caller.socket.close();
    CHECK(
        RunUntil(context, [&] { return echo.server->OpenConnections() == 0; }));
  }
  // Guards against a process that never ends, as a client closes nothing.
  SECTION("closes an answered connection whose client does not") {
    echo.server->BeginLeave();
    caller.Send(kRequest);
    REQUIRE(RunUntil(context, [&] { return caller.ended; }));
    CHECK(
        RunUntil(context, [&] { return echo.server->OpenConnections() == 0; }));
  }
  // Guards against a connection that is reset with its request unread, as it
  // waited to be accepted.
  SECTION("answers a connection that waits to be accepted") {
    caller.Send(kRequest);
    echo.server->BeginLeave();
    echo.server->StopAccepting();
    CHECK(RunUntil(context, [&] { return caller.ended; }));
    CHECK(caller.received.starts_with("HTTP/1.1 200"));
  }
  // Guards against the same for one that was accepted in the turn before.
  SECTION("answers connections of which one was accepted just now") {
    RawCaller second(context, echo.server->port());
    caller.Send(kRequest);
    second.Send(kRequest);
    REQUIRE(context.run_one() == 1);
    REQUIRE(echo.server->OpenConnections() == 1);
    echo.server->BeginLeave();
    echo.server->StopAccepting();
    CHECK(RunUntil(context, [&] { return caller.ended && second.ended; }));
    CHECK(caller.received.starts_with("HTTP/1.1 200"));
    CHECK(second.received.starts_with("HTTP/1.1 200"));
  }
  // Guards against a request that gets no answer, as its process ends before
  // its last bytes come.
  SECTION("refuses a request that is half read when it must end") {
    caller.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf");
    RunUntil(context, [&] { return !echo.server->UsedConnections().empty(); });
    REQUIRE(echo.server->UsedConnections().size() == 1);
    echo.server->BeginLeave();
    echo.server->RefuseUnread();
    CHECK(RunUntil(context, [&] { return caller.ended; }));
    CHECK(caller.received.starts_with("HTTP/1.1 408"));
    CHECK(echo.requests == 0);
  }
}

}  // namespace papayarack::http
