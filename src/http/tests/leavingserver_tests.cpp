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
}

}  // namespace papayarack::http
