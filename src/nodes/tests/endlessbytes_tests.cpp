#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "nodes/listreading.h"
#include "nodes/responselimits.h"
#include "nodes/tests/endlesspeer.h"
#include "nodes/tests/relayfixture.h"

namespace papayarack::nodes {
namespace {

using std::chrono::milliseconds;

/// The usual target for a first event.
constexpr milliseconds kTarget{300};
/// Requests of each case, as the replica is chosen at random.
constexpr int kRequests = 40;
/// Memory that one case may add: a few buffers of the limits above.
constexpr std::size_t kFlat = 8U << 20U;
/// Faulty calls at once.
constexpr int kManyCalls = 300;
/// Memory that they may add: an entry has 110 MB, takes up to 24 MB at its
/// design load and holds up to 30 MB for slow callers.
constexpr std::size_t kManyCallsMemory = std::size_t{110 - 24 - 30} << 20U;
const std::string kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

std::size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t whole = 0;
  std::size_t resident = 0;
  file >> whole >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// A replica that answers with two events, or with those that are missing.
struct SoundReplica {
  explicit SoundReplica(asio::io_context& context)
      : server(context, {"127.0.0.1", 0}, {}, this->Handlers()) {}
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server.port());
  }
  http::HttpServerHandlers Handlers() {
    http::HttpServerHandlers handlers;
    handlers.on_request = [this](http::ExchangeId exchange,
                                 const http::HttpRequest& request) {
      http::HttpResponse response;
      response.headers.Add("Content-Type", "text/event-stream");
      const bool resumed = request.headers.Get("Resume-After") == "1";
      response.body = resumed ? kEvents.substr(kEvents.size() / 2) : kEvents;
      this->server.Respond(exchange, response);
    };
    handlers.on_gone = [](http::ExchangeId) {};
    return handlers;
  }
  http::HttpServer server;
};

}  // namespace

// Guards against a request that lasts until its deadline, and an entry that
// runs out of memory, because a replica sends bytes without end.
TEST_CASE("a request is served elsewhere when a replica sends endless bytes") {
  RelayFixture fixture;
  EndlessPeer faulty(fixture.context);
  SoundReplica sound(fixture.context);
  const std::string stream =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  SECTION("in a head") { faulty.begin = "HTTP/1.1 200 OK\r\nName: "; }
  SECTION("in heads of interim responses") {
    faulty.begin = "HTTP/1.1 100 Continue\r\n\r\n";
    faulty.rest = faulty.begin;
  }
  SECTION("instead of a response") { faulty.begin = "x"; }
  SECTION("after a refusal") {
    faulty.begin = "HTTP/1.1 421 Other\r\nNot-Executed: 1\r\n\r\n";
  }
  SECTION("after a refusal that stops in its body") {
    faulty.begin = "HTTP/1.1 421 Other\r\nNot-Executed: 1\r\n\r\n";
    faulty.stops = true;
  }
  SECTION("after a failed status") {
    faulty.begin = "HTTP/1.1 500 Failed\r\n\r\n";
  }
  SECTION("in a stream without events") { faulty.begin = stream; }
  SECTION("in a stream of comments") {
    faulty.begin = stream;
    faulty.rest = ": still there\n\n";
    faulty.rest += faulty.rest;
  }
  SECTION("in a stream of lines") {
    faulty.begin = stream;
    faulty.rest = "data: a\n";
  }
  SECTION("in a stream after its first event") {
    faulty.begin = stream + "id: 1\ndata: a\n\n";
  }
  // Each faulty request waits for its own replica, so that none is spared as
  // the replica failed before.
  std::size_t before = ResidentBytes();
  int waited = 0;
  for (int i = 0; i < kRequests && faulty.asked < 3; ++i) {
    fixture.SetReplicas({faulty.Address(), sound.Address()});
    const std::size_t asked = faulty.asked;
    const RelayFixture::Answer answer = fixture.Ask();
    CHECK(answer.whole);
    CHECK(answer.status == 200);
    CHECK(answer.body.ends_with(kEvents.substr(kEvents.size() / 2)));
    CHECK(answer.took < kTarget);
    waited += faulty.asked > asked ? 1 : 0;
  }
  CHECK(waited > 0);
  CHECK(fixture.RunUntil([&] { return faulty.open == 0; }, kTarget));
  CHECK(ResidentBytes() < before + kFlat);
}

// Guards against a caller that gets part of a failure, and then a connection
// that breaks, because its replica's failure has no end or breaks off.
TEST_CASE("a failure reaches its caller whole or not at all") {
  constexpr int kBadGateway = 502;
  RelayFixture fixture;
  fixture.route.max_attempts = 1;
  EndlessPeer faulty(fixture.context);
  SECTION("one without end") { faulty.begin = "HTTP/1.1 500 Failed\r\n\r\n"; }
  SECTION("one without end, in chunks") {
    faulty.begin = "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n";
    faulty.rest = "8\r\nfailure.\r\n";
  }
  SECTION("one that stalls") {
    faulty.begin = "HTTP/1.1 500 Failed\r\nContent-Length: 8\r\n\r\nfail";
    faulty.rest = "";
    faulty.stops = true;
  }
  SECTION("one that is no complete chunk") {
    faulty.begin =
        "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n"
        "8\r\nfailure.\r\n";
    faulty.rest = "no chunk\r\n";
  }
  fixture.SetReplicas({faulty.Address()});
  const RelayFixture::Answer answer = fixture.Ask();
  CHECK(answer.whole);
  CHECK(answer.status == kBadGateway);
  CHECK(answer.body.empty());
  // Callers leave an answer that is silent for 2 s.
  CHECK(answer.took < std::chrono::seconds(2));
  CHECK(fixture.RunUntil([&] { return faulty.open == 0; }, kTarget));
}

// Guards against failures whose bodies are lost on the way to their callers.
TEST_CASE("a failure that ends reaches its caller as it is") {
  RelayFixture fixture;
  fixture.route.max_attempts = 1;
  EndlessPeer failing(fixture.context);
  failing.stops = true;
  failing.rest = "";
  SECTION("of stated length") {
    failing.begin = "HTTP/1.1 500 Failed\r\nContent-Length: 4\r\n\r\nbody";
  }
  SECTION("in chunks") {
    failing.begin =
        "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nbody\r\n0\r\n\r\n";
  }
  fixture.SetReplicas({failing.Address()});
  const RelayFixture::Answer answer = fixture.Ask();
  CHECK(answer.whole);
  CHECK(answer.status == 500);
  CHECK(answer.body == "body");
}

// Guards against a process that runs out of memory while it collects a page of
// the list, or a report, that never ends.
TEST_CASE("a body that is collected is bounded") {
  asio::io_context context;
  http::HttpClient client(context);
  EndlessPeer faulty(context);
  faulty.begin = "HTTP/1.1 200 OK\r\n\r\n";
  const std::size_t before = ResidentBytes();
  SECTION("a page of the list") {
    Dialect dialect;
    dialect.list_target = [](const std::string&) { return "/"; };
    ListReaderState reader;
    std::size_t ended = 0;
    ReadEngineList(
        context, client, dialect, {"127.0.0.1", faulty.Port()}, reader, {},
        [&](const std::optional<std::vector<coordination::EngineInstance>>&
                list) {
          CHECK_FALSE(list.has_value());
          ++ended;
          context.stop();
        });
    context.run_for(PageRetry::kMaxReadTime + std::chrono::seconds(2));
    CHECK(ended == 1);
    CHECK(ResidentBytes() < before + 2 * kMaxListPageBytes + kFlat);
  }
  SECTION("a report") {
    http::HttpCall call;
    call.peer = {"127.0.0.1", faulty.Port()};
    call.target = "/";
    call.max_body_bytes = kMaxReportBodyBytes;
    std::size_t collected = 0;
    std::optional<http::HttpEnd> end;
    client.Call(std::move(call),
                {[](const http::HttpHead&) {},
                 [&](std::string_view bytes) { collected += bytes.size(); },
                 [&](http::HttpEnd how) {
                   end = how;
                   context.stop();
                 }});
    context.run_for(std::chrono::seconds(3));
    CHECK(end == http::HttpEnd::kMalformed);
    CHECK(collected <= kMaxReportBodyBytes);
    CHECK(ResidentBytes() < before + kFlat);
  }
}

// Guards against an entry that runs out of memory, and ends the requests of
// other callers, because many calls meet replicas that send bytes without end:
// each call keeps to its own limits, all of them together take too much.
TEST_CASE("many calls with endless bytes leave memory for others") {
  RelayFixture fixture;
  EndlessPeer faulty(fixture.context);
  SoundReplica sound(fixture.context);
  fixture.route.timeout = std::chrono::seconds(5);
  const std::string stream =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  const std::string chunked = stream + "Transfer-Encoding: chunked\r\n\r\n";
  std::string fields;
  for (int i = 0; i < 20'000; ++i) {
    fields += "a:\n";
  }
  bool reads = true;
  SECTION("a stream without events that stalls, not repeatable") {
    fixture.route.resumable = false;
    faulty.begin = stream + "\r\n";
    faulty.rest = std::string(200U << 10U, 'x');
    faulty.stops = true;
  }
  SECTION("a stream without events that stalls, repeatable") {
    faulty.begin = stream + "\r\n";
    faulty.rest = std::string(200U << 10U, 'x');
    faulty.stops = true;
  }
  SECTION("a stream with a large event that then stalls") {
    fixture.route.resumable = false;
    faulty.begin = stream + "\r\nid: 1\ndata: ";
    faulty.rest = std::string(200U << 10U, 'x') + "\n\n";
    faulty.stops = true;
  }
  SECTION("a stream without events, not repeatable") {
    fixture.route.resumable = false;
    faulty.begin = stream + "\r\n";
  }
  SECTION("a stream without events, repeatable") {
    faulty.begin = stream + "\r\n";
  }
  SECTION("a failure that stalls") {
    fixture.route.resumable = false;
    faulty.begin = "HTTP/1.1 500 Failed\r\n\r\n";
    faulty.rest = std::string(200U << 10U, 'x');
    faulty.stops = true;
  }
  SECTION("a head of many small fields that stalls") {
    fixture.route.resumable = false;
    faulty.begin = "HTTP/1.1 200 OK\r\n";
    faulty.rest = fields;
    faulty.stops = true;
  }
  SECTION("a head of many small fields before a stalled body") {
    fixture.route.resumable = false;
    faulty.begin = stream;
    faulty.rest = fields + "\r\n";
    faulty.stops = true;
  }
  SECTION("trailers of many small fields that stall") {
    fixture.route.resumable = false;
    faulty.begin = chunked + "0\r\n";
    faulty.rest = fields;
    faulty.stops = true;
  }
  SECTION("a success that is no event stream, to callers that do not read") {
    fixture.route.kind = routes::RouteKind::kIdempotent;
    faulty.begin = "HTTP/1.1 200 OK\r\n\r\n";
    reads = false;
  }
  malloc_trim(0);
  const std::size_t before = ResidentBytes();
  std::size_t most = before;
  const auto watched = [&](const auto& done) {
    return [&] {
      most = std::max(most, ResidentBytes());
      return done();
    };
  };

  fixture.SetReplicas({faulty.Address()});
  std::vector<std::shared_ptr<const RelayFixture::Answer>> answers;
  std::vector<asio::ip::tcp::socket> unread;
  for (int i = 0; i < kManyCalls; ++i) {
    if (reads) {
      answers.push_back(fixture.Begin(std::to_string(i), false));
    } else {
      unread.push_back(fixture.BeginUnread());
    }
  }
  // Once a replica has failed, it gets no more of them.
  fixture.RunUntil(watched([&] { return faulty.asked == kManyCalls; }),
                   std::chrono::seconds(4));
  CHECK(faulty.asked > kManyCalls / 2);
  fixture.SetReplicas({sound.Address()});
  int whole = 0;
  constexpr int kSound = 10;
  for (int i = 0; i < kSound; ++i) {
    const auto answer = fixture.Begin("sound " + std::to_string(i));
    fixture.RunUntil(watched([&] { return answer->ended; }),
                     std::chrono::seconds(3));
    whole += answer->whole && answer->body == kEvents ? 1 : 0;
    fixture.RunUntil(watched([] { return false; }), milliseconds(50));
  }
  CHECK(whole == kSound);
  // Callers that read nothing are dropped after kMaxCallerStall.
  CHECK(fixture.RunUntil(watched([&] {
                           return faulty.open == 0 &&
                                  std::ranges::all_of(answers,
                                                      [](const auto& answer) {
                                                        return answer->ended;
                                                      });
                         }),
                         std::chrono::seconds(6)));
  INFO("calls grew memory by " << ((most - before) >> 10U) << " KB");
  CHECK(most - before < kManyCallsMemory);
}

}  // namespace papayarack::nodes
