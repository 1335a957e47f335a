#include <asio.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "http/httpserver.h"
#include "http/tests/serverfixtures.h"

namespace papayarack::http {

// Guards against bytes that are no answer on a client's kept connection: a
// response without content that was framed as one with content.
TEST_CASE("a response without content has no framing of a body") {
  asio::io_context context;
  std::unique_ptr<HttpServer> server;
  int status = 204;
  Headers headers;
  bool streams = true;
  HttpServerHandlers handlers;
  handlers.on_request = [&](ExchangeId exchange, const HttpRequest& request) {
    if (request.Path() != "/empty") {
      HttpResponse response;
      response.body = "next";
      server->Respond(exchange, response);
    } else if (streams) {
      server->BeginStream(exchange, status, headers);
      server->Write(exchange, "no content");
      server->EndStream(exchange);
    } else {
      HttpResponse response;
      response.status = status;
      response.headers = headers;
      response.body = "no content";
      server->Respond(exchange, response);
    }
  };
  handlers.on_gone = [](ExchangeId) {};
  server = std::make_unique<HttpServer>(context, Endpoint{"127.0.0.1", 0},
                                        HttpServerLimits{}, handlers);
  RawCaller caller(context, server->port());
  SECTION("204") {
    SECTION("passed on") {}
    SECTION("passed on with a length") { headers.Add("Content-Length", "10"); }
    SECTION("of this process") { streams = false; }
  }
  SECTION("304") { status = 304; }
  std::string method = "GET";
  SECTION("to a HEAD request") {
    method = "HEAD";
    status = 200;
    SECTION("passed on") {}
    SECTION("passed on with a length") { headers.Add("Content-Length", "10"); }
    SECTION("of this process") { streams = false; }
  }
  caller.Send(method + " /empty HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil(context, [&] {
    return caller.received.find("\r\n\r\n") != std::string::npos;
  });
  caller.Send("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil(context,
           [&] { return caller.received.find("next") != std::string::npos; });
  const std::string& received = caller.received;
  const std::size_t head = received.find("\r\n\r\n");
  CHECK(received.find("chunked") == std::string::npos);
  CHECK(received.find("no content") == std::string::npos);
  REQUIRE(head != std::string::npos);
  CHECK(received.substr(head + 4).starts_with("HTTP/1.1 200 "));
  if (status == 204) {
    CHECK(received.substr(0, head).find("Content-Length") == std::string::npos);
  }
}

}  // namespace papayarack::http
