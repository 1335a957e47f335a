#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "nodes/tests/relayfixture.h"

namespace papayarack::nodes {
namespace {

using std::chrono::milliseconds;

/// A replica whose queue holds every request without a response.
struct QueueingReplica {
  explicit QueueingReplica(asio::io_context& context)
      : server(context, {"127.0.0.1", 0}, {}, this->Handlers()) {}
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server.port());
  }
  http::HttpServerHandlers Handlers() {
    http::HttpServerHandlers handlers;
    handlers.on_request = [this](http::ExchangeId, const http::HttpRequest&) {
      ++this->queued;
    };
    handlers.on_gone = [this](http::ExchangeId) { --this->queued; };
    return handlers;
  }
  int queued = 0;
  http::HttpServer server;
};

/// Whether the status states that the request has not run and never will.
bool StatesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

}  // namespace

// Guards against a caller that is told "not run" about a request which a
// replica still holds in its queue and may run later.
TEST_CASE("a request in a replica's queue is not reported as not run") {
  RelayFixture fixture;
  QueueingReplica replica(fixture.context);
  fixture.route.timeout = milliseconds(500);
  RelayFixture::Answer answer;
  SECTION("when its deadline passes") {
    fixture.route.resumable = false;
    fixture.SetReplicas({replica.Address()});
    answer = fixture.Ask();
  }
  SECTION("when its entry gives up and finds no other replica") {
    fixture.route.timeout = std::chrono::seconds(5);
    fixture.SetReplicas({replica.Address()});
    answer = fixture.Ask();
  }
  SECTION("when its entry ends") {
    fixture.SetReplicas({replica.Address()});
    asio::steady_timer end(fixture.context, milliseconds(200));
    end.async_wait([&](std::error_code) { fixture.relay.AnswerOpen(); });
    answer = fixture.Ask();
  }
  CHECK(answer.ended);
  CHECK(answer.status != 0);
  CHECK_FALSE(StatesNotRun(answer.status));
  // The replica is told to drop it.
  CHECK(
      fixture.RunUntil([&] { return replica.queued == 0; }, milliseconds(300)));
}

// The counterpart: a request that no replica was sent is reported as not run.
TEST_CASE("a request that no replica has taken is reported as not run") {
  RelayFixture fixture;
  std::string address;
  {
    asio::io_context context;
    QueueingReplica ended(context);
    address = ended.Address();
  }
  fixture.SetReplicas({address});
  const RelayFixture::Answer answer = fixture.Ask();
  CHECK(answer.status == 503);
}

}  // namespace papayarack::nodes
