#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/httpserver.h"
#include "http/requestmemory.h"
#include "serverfixtures.h"

namespace papayarack::http {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLarge = 1'000'000;
constexpr std::size_t kSmall = 1000;

/// A memory for four large requests, and who was refused by others.
struct Fixture {
  MemoryHolderId Add() {
    const MemoryHolderId id = this->memory.Add([this, next = this->last + 1] {
      this->refused.push_back(next);
      this->memory.Release(next);
    });
    this->last = id;
    return id;
  }
  bool Hold(MemoryHolderId id, std::size_t bytes) {
    return this->memory.Hold(id, bytes, this->now);
  }
  RequestMemory memory{4 * kLarge};
  MemoryHolderId last = 0;
  std::vector<MemoryHolderId> refused;
  Time now = Time{} + std::chrono::hours(1);
};

}  // namespace

// Guards against a process that runs out of memory: its clients keep within the
// limits of each request, but not together.
TEST_CASE("requests hold a bounded memory together") {
  Fixture fixture;
  const MemoryHolderId still = fixture.Add();
  const MemoryHolderId slow = fixture.Add();
  const MemoryHolderId fast = fixture.Add();
  CHECK(fixture.Hold(still, kLarge));
  CHECK(fixture.Hold(slow, kLarge / 2));
  fixture.now += milliseconds(1000);
  CHECK(fixture.Hold(slow, kLarge));
  CHECK(fixture.Hold(fast, kLarge));

  SECTION("the one that stands still is refused first") {
    const MemoryHolderId more = fixture.Add();
    CHECK(fixture.Hold(more, kLarge));
    CHECK(fixture.refused == std::vector{still});
    SECTION("then the one that is slow") {
      CHECK(fixture.Hold(fixture.Add(), kLarge));
      CHECK(fixture.refused == std::vector{still, slow});
      CHECK(fixture.memory.held() == 3 * kLarge);
    }
  }
  SECTION("a request that is the slowest is refused itself") {
    fixture.memory.Release(slow);
    fixture.memory.Release(fast);
    CHECK(fixture.Hold(slow, kLarge - kLarge / 10));
    CHECK(fixture.Hold(fast, kLarge - kLarge / 10));
    CHECK_FALSE(fixture.Hold(still, kLarge + kLarge / 3));
    CHECK(fixture.memory.refused() == 1);
  }
  SECTION("one that is served is not refused any more") {
    CHECK(fixture.memory.Serve(still, kLarge, fixture.now));
    CHECK(fixture.Hold(fixture.Add(), kLarge));
    CHECK(fixture.refused == std::vector{slow});
  }
  SECTION("one that does not fit is not served") {
    CHECK(fixture.memory.Serve(still, kLarge, fixture.now));
    CHECK(fixture.memory.Serve(slow, kLarge, fixture.now));
    CHECK_FALSE(fixture.memory.Serve(fast, 2 * kLarge, fixture.now));
  }
  SECTION("small requests have room beside the large ones") {
    CHECK(fixture.memory.Serve(still, kLarge, fixture.now));
    CHECK(fixture.memory.Serve(slow, kLarge, fixture.now));
    CHECK(fixture.memory.Serve(fast, kLarge, fixture.now));
    const MemoryHolderId small = fixture.Add();
    CHECK(fixture.Hold(small, kSmall));
    CHECK(fixture.memory.Serve(small, 2 * kSmall, fixture.now));
    CHECK(fixture.refused.empty());
    SECTION("as long as all fit") {
      int refusals = 0;
      for (int i = 0; i < 2000; ++i) {
        const MemoryHolderId one_more = fixture.Add();
        if (!fixture.Hold(one_more, kSmall)) {
          fixture.memory.Release(one_more);
          ++refusals;
        }
      }
      CHECK(fixture.memory.held() <= 4 * kLarge);
      CHECK(static_cast<std::size_t>(refusals) + fixture.refused.size() > 900);
    }
  }
  SECTION("what is over gives its memory back") {
    fixture.memory.Release(still);
    fixture.memory.Remove(slow);
    fixture.memory.Remove(slow);
    CHECK(fixture.memory.held() == kLarge);
  }
}

TEST_CASE("a single request is served whatever it takes") {
  Fixture fixture;
  const MemoryHolderId only = fixture.Add();
  CHECK(fixture.Hold(only, 5 * kLarge));
  CHECK(fixture.memory.Serve(only, 10 * kLarge, fixture.now));
  CHECK(fixture.refused.empty());
}

// Guards against servers of one process that keep their bounds each, but not
// together, and against what a refused request keeps.
TEST_CASE("the servers of a process share a memory") {
  constexpr std::size_t kBody = 400'000;
  asio::io_context context;
  RequestMemory memory(1'000'000);
  std::map<ExchangeId, std::size_t> open;
  HttpServerHandlers handlers;
  handlers.on_request = [&](ExchangeId exchange, const HttpRequest& request) {
    open[exchange] = request.body.size();
  };
  handlers.on_gone = [&](ExchangeId exchange) { open.erase(exchange); };
  const auto serve = [&] {
    return std::make_unique<HttpServer>(context, kAnyPort, HttpServerLimits{},
                                        handlers, &memory);
  };
  const auto one = serve();
  const auto other = serve();
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(kBody) +
      "\r\n\r\n";
  const std::string most = head + std::string(kBody - 1, 'b');
  RawCaller first(context, one->port());
  first.Send(most);
  REQUIRE(RunUntil(context, [&] { return memory.held() > kBody; }));

  SECTION("an unfinished request makes room for one of another server") {
    RawCaller second(context, other->port());
    second.Send(most);
    RunUntil(context, [&] { return !first.received.empty(); });
    CHECK(first.received.starts_with("HTTP/1.1 503"));
    CHECK(first.received.find("Retry-After: ") != std::string::npos);
    CHECK(first.received.find("Connection: close") != std::string::npos);
    CHECK(memory.held() < 2 * kBody);
    CHECK(second.received.empty());
  }
  SECTION("one that is served counts until its response is complete") {
    first.Send("b");
    REQUIRE(RunUntil(context, [&] { return open.size() == 1; }));
    CHECK(memory.held() >= 2 * kBody);
    one->Respond(open.begin()->first, {});
    CHECK(memory.held() == 0);
  }
  SECTION("one whose client leaves counts no more") {
    first.socket.close();
    CHECK(RunUntil(context, [&] { return memory.held() == 0; }));
  }
  SECTION("one that is refused counts no more") {
    one->RefuseUnread();
    CHECK(memory.held() == 0);
  }
}

}  // namespace papayarack::http
