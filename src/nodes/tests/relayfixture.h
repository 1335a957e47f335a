#ifndef PAPAYARACK_NODES_TESTS_RELAYFIXTURE_H_
#define PAPAYARACK_NODES_TESTS_RELAYFIXTURE_H_

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/httpclient.h"
#include "http/httpserver.h"
#include "nodes/onlinerelay.h"

namespace papayarack::nodes {

/// A dialect in which a success is complete, `Not-Executed` states that the
/// request did not run, and `Resume-After` names the last event received.
inline Dialect RelayDialect() {
  Dialect dialect;
  dialect.read_call = [](const http::Headers&) {
    return CallFields{"r1", std::nullopt, std::nullopt};
  };
  dialect.write_forward = [](http::Headers& headers,
                             const ForwardFields& fields) {
    if (fields.resume_after.has_value()) {
      headers.Set("Resume-After", std::to_string(*fields.resume_after));
    }
  };
  dialect.identity = [](const std::string&) { return http::Header{}; };
  dialect.read_engine_head = [](const http::HttpHead& from) {
    EngineHead head;
    head.sealed = true;
    head.not_run = from.headers.Has("Not-Executed");
    return head;
  };
  return dialect;
}

/// A relay behind a front server on loopback. Its replicas have no gates, so
/// requests are sent to them directly.
class RelayFixture {
 public:
  RelayFixture()
      : dialect(RelayDialect()),
        peers(this->context),
        watch(this->context, this->peers, {}, {},
              [](const coordination::FleetChange&) {}),
        front_server(this->context, {"127.0.0.1", 0}, {}, this->Handlers()),
        relay(this->context, this->front, this->peers, this->watch,
              this->dialect, this->metrics, {"entry", "z"}, 1) {
    this->route.name = "r";
    this->route.kind = routes::RouteKind::kStreaming;
    this->route.resumable = true;
    this->route.max_attempts = 3;
    this->route.timeout = std::chrono::seconds(5);
    this->route.target_latency = std::chrono::milliseconds(300);
    this->route.targets = {{"s", 1}};
  }

  void SetReplicas(const std::vector<std::string>& addresses) {
    routes::FleetConfiguration configuration;
    configuration.routes = {this->route};
    configuration.services.push_back({"s", "/", 0, 0});
    this->table = std::make_shared<routes::RouteTable>(configuration);
    coordination::FleetKnowledge fleet;
    fleet.engines_seen = MonotonicNow();
    for (const std::string& address : addresses) {
      coordination::EngineInstance instance;
      instance.id = "e" + std::to_string(fleet.engines.size());
      instance.service = "s";
      instance.address = address;
      instance.version = "v1";
      fleet.engines.push_back(instance);
    }
    this->relay.SetFleet(fleet, this->table->configuration());
  }

  struct Answer {
    int status = 0;
    std::string body;
    bool ended = false;
    bool whole = false;
    Duration took{};
  };

  /// Sends one request through the front server and waits for its end.
  Answer Ask() {
    const auto answer = this->Begin("");
    this->RunUntil([&answer] { return answer->ended; },
                   std::chrono::seconds(8));
    return *answer;
  }

  /// Sends one request with `body`; the answer changes while the loop runs. Its
  /// body is read, but kept only where `keeps_body`.
  std::shared_ptr<const Answer> Begin(std::string body,
                                      bool keeps_body = true) {
    const auto answer = std::make_shared<Answer>();
    const Time begun = MonotonicNow();
    http::HttpCall call;
    call.peer = {"127.0.0.1", this->front_server.port()};
    call.method = "POST";
    call.target = "/";
    call.body = std::move(body);
    http::HttpCallHandlers handlers;
    handlers.on_head = [answer](const http::HttpHead& head) {
      answer->status = head.status;
    };
    handlers.on_body = [answer, keeps_body](std::string_view bytes) {
      answer->body.append(keeps_body ? bytes : "");
    };
    handlers.on_end = [answer, begun](http::HttpEnd end) {
      answer->ended = true;
      answer->whole = end == http::HttpEnd::kComplete;
      answer->took = MonotonicNow() - begun;
    };
    this->caller.Call(std::move(call), std::move(handlers));
    return answer;
  }

  /// Sends one request whose answer is never read.
  asio::ip::tcp::socket BeginUnread() {
    asio::ip::tcp::socket socket(this->context);
    socket.connect(
        {asio::ip::make_address("127.0.0.1"), this->front_server.port()});
    asio::write(socket,
                asio::buffer(std::string("POST / HTTP/1.1\r\nHost: h\r\n"
                                         "Content-Length: 0\r\n\r\n")));
    return socket;
  }

  bool RunUntil(const std::function<bool()>& done, Duration longest) {
    const Time until = MonotonicNow() + longest;
    while (!done() && MonotonicNow() < until) {
      this->context.run_for(std::chrono::milliseconds(2));
      this->context.restart();
    }
    return done();
  }

  bool Shows(const std::string& line) const {
    return ("\n" + this->metrics.Exposition()).find("\n" + line + "\n") !=
           std::string::npos;
  }

  asio::io_context context;
  routes::Route route;
  Metrics metrics;
  Dialect dialect;
  transport::PeerClient peers;
  coordination::FleetWatch watch;
  http::HttpServer front_server;
  http::HttpServer* front = &front_server;
  OnlineRelay relay;

 private:
  http::HttpServerHandlers Handlers() {
    http::HttpServerHandlers handlers;
    handlers.on_request = [this](http::ExchangeId exchange,
                                 http::HttpRequest request) {
      this->relay.Take(
          exchange, std::move(request),
          {this->table, &this->table->configuration().routes.front(), nullptr,
           MonotonicNow()});
    };
    handlers.on_gone = [this](http::ExchangeId exchange) {
      this->relay.CallerGone(exchange);
    };
    return handlers;
  }

  std::shared_ptr<routes::RouteTable> table;
  http::HttpClient caller{this->context};
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_TESTS_RELAYFIXTURE_H_
