#include <asio.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>

#include "http/httpserver.h"
#include "nodes/noderuntime.h"
#include "nodes/onlinerelay.h"
#include "nodes/plainresponses.h"
#include "nodes/slotmessages.h"

namespace papayarack::nodes {
namespace {

/// SlotReply of versions without the start time of the engine.
struct FormerReply {
  std::uint8_t verdict = 0;
  std::uint32_t online = 0;
  std::uint32_t waiting = 0;
  std::uint32_t batch = 0;
  std::uint32_t slots = 0;
  std::uint32_t expected_wait_ms = 0;
  MSGPACK_DEFINE(verdict, online, waiting, batch, slots, expected_wait_ms)
};

/// AcquireSlot of versions without organisations.
struct FormerAsk {
  std::string request;
  std::string engine_id;
  std::int32_t priority = 0;
  std::uint32_t wait_ms = 0;
  std::string engine_address;
  MSGPACK_DEFINE(request, engine_id, priority, wait_ms, engine_address)
};

}  // namespace

// Guards against a caller who is told that a batch never runs which a leader
// may have in its log.
TEST_CASE("only what was not done is answered with a promise") {
  for (const ResultCodeInfo& code : AllResultCodes()) {
    CAPTURE(code.name);
    const int status = HttpStatusOf(code.code, kAccepted);
    const bool promises = status == kTooMany || status == kServiceUnavailable;
    CHECK((code.not_run || !promises));
  }
  CHECK(HttpStatusOf(ResultCode::kUnknownOutcome, kAccepted) == kBadGateway);
  CHECK(HttpStatusOf(ResultCode::kNoQuorum, kAccepted) == kServiceUnavailable);
  CHECK(ReadStatusOf(ResultCode::kUnknownOutcome) == kServiceUnavailable);
}

// Guards against entries and gates of two versions that do not understand each
// other: an ask without organisation counts as that of a caller without one.
TEST_CASE("asks for a slot are compatible between versions") {
  const FormerAsk former{"r", "engine", 3, 120, "10.0.0.1:80"};
  const auto ask = DecodeMessage<AcquireSlot>(EncodeMessage(former));
  CHECK(ask.wait_ms == 120);
  CHECK(ask.organisation.empty());
  CHECK_FALSE(ask.spares_items);
  AcquireSlot named;
  named.engine_address = "10.0.0.2:80";
  named.organisation = "acme";
  const auto older = DecodeMessage<FormerAsk>(EncodeMessage(named));
  CHECK(older.engine_address == "10.0.0.2:80");
  CHECK(DecodeMessage<AcquireSlot>(EncodeMessage(named)).organisation ==
        "acme");
}

TEST_CASE("a slot's verdict is encoded and decoded") {
  SlotReply reply;
  reply.verdict = static_cast<std::uint8_t>(SlotVerdict::kBusy);
  reply.expected_wait_ms = 88;
  const auto decoded = DecodeMessage<SlotReply>(EncodeMessage(reply));
  CHECK(decoded.Verdict() == SlotVerdict::kBusy);
  CHECK(decoded.expected_wait_ms == 88);
}

TEST_CASE("a node exposes fleet and transport metrics") {
  NodeOptions options;
  options.role = coordination::NodeRole::kGate;
  options.peer_listen = {"127.0.0.1", 0};
  const Dialect dialect;
  NodeRuntime runtime(options, dialect);
  const auto shows = [&runtime](std::string_view text) {
    return runtime.Exposition().find(text) != std::string::npos;
  };
  CHECK(shows("papayarack_peer_unsent_bytes 0\n"));
  CHECK_FALSE(shows("papayarack_configuration_version"));
  runtime.Watch([](const coordination::FleetChange&) {});
  CHECK(shows("papayarack_configuration_version 0\n"));
  // Without a list there is no age.
  CHECK_FALSE(shows("papayarack_replica_list_age_ms"));
  runtime.watch->TakeEngines({}, MonotonicNow());
  CHECK(shows("papayarack_replica_list_age_ms "));
}

// Guards against entries and gates of two versions that do not understand each
// other during a rolling update: a process must accept a message with a field
// that it does not know, or without one that it does.
TEST_CASE("slot replies are compatible between versions") {
  FormerReply former;
  former.expected_wait_ms = 88;
  const auto read = DecodeMessage<SlotReply>(EncodeMessage(former));
  CHECK(read.expected_wait_ms == 88);
  CHECK(read.engine_started_ms == 0);
  CHECK(read.hold_ms == 0);
  CHECK(read.hold_age_ms == 0);
  CHECK(read.pace == 0);
  SlotReply reply;
  reply.expected_wait_ms = 89;
  reply.engine_started_ms = 1700000000123;
  CHECK(DecodeMessage<FormerReply>(EncodeMessage(reply)).expected_wait_ms ==
        89);
  CHECK(DecodeMessage<SlotReply>(EncodeMessage(reply)).engine_started_ms ==
        1700000000123);
  reply.hold_ms = 1200;
  reply.hold_age_ms = 30;
  reply.pace = 250;
  const auto speed = DecodeMessage<SlotReply>(EncodeMessage(reply));
  CHECK(speed.hold_ms == 1200);
  CHECK(speed.hold_age_ms == 30);
  CHECK(speed.pace == 250);
}

namespace {

/// A dialect in which every engine answer is complete.
Dialect PlainDialect() {
  Dialect dialect;
  dialect.read_call = [](const http::Headers&) {
    return CallFields{"r1", std::nullopt, std::nullopt};
  };
  dialect.write_forward = [](http::Headers&, const ForwardFields&) {};
  dialect.identity = [](const std::string&) { return http::Header{}; };
  dialect.read_engine_head = [](const http::HttpHead&) {
    EngineHead head;
    head.sealed = true;
    return head;
  };
  return dialect;
}

/// A loopback engine that answers every request with one event.
class EventEngine {
 public:
  explicit EventEngine(asio::io_context& context)
      : server(context, {"127.0.0.1", 0}, {}, this->Handlers()) {}

  coordination::EngineInstance Instance(std::string service) const {
    coordination::EngineInstance instance;
    instance.id = "e1";
    instance.service = std::move(service);
    instance.address = "127.0.0.1:" + std::to_string(this->server.port());
    return instance;
  }

 private:
  http::HttpServerHandlers Handlers() {
    http::HttpServerHandlers handlers;
    handlers.on_request = [this](http::ExchangeId exchange,
                                 const http::HttpRequest&) {
      http::HttpResponse response;
      response.headers.Add("Content-Type", "text/event-stream");
      response.body = "id: 1\ndata: a\n\n";
      this->server.Respond(exchange, response);
    };
    handlers.on_gone = [](http::ExchangeId) {};
    return handlers;
  }

  http::HttpServer server;
};

}  // namespace

// Guards against a dashboard made from docs/OPERATIONS.md that shows no online
// requests: the relay's metric names began with the program's name, which the
// registry adds to every name.
TEST_CASE("a relay counts its requests under the documented names") {
  constexpr http::ExchangeId kExchange = 1;
  asio::io_context context;
  http::HttpServer front_server(
      context, {"127.0.0.1", 0}, {},
      {[](http::ExchangeId, const http::HttpRequest&) {},
       [](http::ExchangeId) {}});
  http::HttpServer* front = &front_server;
  transport::PeerClient peers(context);
  const Dialect dialect = PlainDialect();
  Metrics metrics;
  coordination::FleetWatch watch(context, peers, {}, {},
                                 [](const coordination::FleetChange&) {});
  OnlineRelay relay(context, front, peers, watch, dialect, metrics,
                    {"entry", "z"}, 1);
  EventEngine engine(context);
  routes::FleetConfiguration configuration;
  routes::Route route;
  route.name = "r";
  route.timeout = std::chrono::seconds(5);
  route.target_latency = std::chrono::seconds(1);
  route.targets = {{"s", 1}};
  configuration.routes = {route};
  configuration.services.push_back({"s", "/", 0, 0});
  const auto table = std::make_shared<routes::RouteTable>(configuration);
  const auto run = [&] {
    http::HttpRequest request;
    request.method = "POST";
    request.target = "/";
    relay.Take(kExchange, std::move(request),
               {table, &table->configuration().routes.front(), nullptr,
                MonotonicNow()});
    for (int i = 0; i < 500 && relay.Open() > 0; ++i) {
      context.run_for(std::chrono::milliseconds(10));
      context.restart();
    }
    REQUIRE(relay.Open() == 0);
  };
  const auto shows = [&metrics](const std::string& line) {
    return ("\n" + metrics.Exposition()).find("\n" + line + "\n") !=
           std::string::npos;
  };
  coordination::FleetKnowledge fleet;
  fleet.engines_seen = MonotonicNow();

  SECTION("answered requests") {
    fleet.engines = {engine.Instance("s")};
    relay.SetFleet(fleet, table->configuration());
    run();
    CHECK(shows("papayarack_online_answered_total 1"));
    CHECK(shows("papayarack_online_first_event_seconds_count 1"));
  }
  SECTION("refused requests") {
    relay.SetFleet(fleet, table->configuration());
    run();
    CHECK(shows("papayarack_online_refused_total 1"));
  }
  CHECK(shows("papayarack_online_requests_total 1"));
  CHECK(shows("papayarack_online_total_seconds_count 1"));
  CHECK(metrics.Exposition().find("papayarack_papayarack_") ==
        std::string::npos);
}

}  // namespace papayarack::nodes
