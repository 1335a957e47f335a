#include <asio.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "http/httpserver.h"
#include "nodes/listreading.h"

namespace papayarack::nodes {
namespace {

using EngineList = std::vector<coordination::EngineInstance>;

/// A stand-in for the platform's list. A page is a list of ids separated by
/// spaces, then a bar and the path of the next page; an id that ends in "!" is
/// draining, one with "@" is followed by its address, and "?" stands for an
/// entry that names no usable replica.
struct PagedList {
  PagedList()
      : server(this->context, Endpoint{"127.0.0.1", 0}, {}, this->Handlers()) {
    this->dialect.list_target = [](const std::string& token) {
      return "/" + token;
    };
    this->dialect.read_engine_page = ReadWords;
  }

  static EnginePage ReadWords(std::string_view text) {
    EnginePage page;
    const std::size_t bar = text.find('|');
    if (bar == std::string_view::npos) {
      throw ResultError(ResultCode::kBadInput, "no bar");
    }
    page.next = text.substr(bar + 1);
    std::string_view words = text.substr(0, bar);
    while (!words.empty()) {
      const std::size_t end = std::min(words.find(' '), words.size());
      coordination::EngineInstance engine;
      const std::string_view word = words.substr(0, end);
      engine.id = word.substr(0, word.find('@'));
      engine.address = word.substr(std::min(word.find('@'), word.size()));
      engine.draining = engine.id.ends_with('!');
      if (engine.draining) {
        engine.id.pop_back();
      }
      if (word == "?") {
        ++page.skipped;
        page.first_problem = "unusable";
      } else {
        page.engines.push_back(engine);
      }
      words.remove_prefix(std::min(end + 1, words.size()));
    }
    return page;
  }

  http::HttpServerHandlers Handlers() {
    http::HttpServerHandlers handlers;
    handlers.on_request = [this](http::ExchangeId exchange,
                                 const http::HttpRequest& request) {
      const std::string path(request.Path());
      const int asked = ++this->asked[path];
      http::HttpResponse response;
      if (path == this->silent_at) {
        return;
      }
      if (path == this->refused_at && asked <= this->refusals) {
        response.status = this->refusal;
      } else {
        response.body = this->pages[path];
      }
      this->server.Respond(exchange, response);
    };
    handlers.on_gone = [](http::ExchangeId) {};
    return handlers;
  }

  /// Runs one read and sets `took` to its duration.
  std::optional<EngineList> Read(const ListReadLimits& extent = {}) {
    std::optional<EngineList> result;
    int ended = 0;
    const Time begun = MonotonicNow();
    ReadEngineList(this->context, this->client, this->dialect,
                   Endpoint{"127.0.0.1", this->server.port()}, this->reader,
                   extent, [&](std::optional<EngineList> list) {
                     result = std::move(list);
                     ++ended;
                     this->context.stop();
                   });
    this->context.restart();
    this->context.run_for(std::chrono::seconds(10));
    this->took = MonotonicNow() - begun;
    CHECK(ended == 1);
    return result;
  }

  std::vector<std::string> IdsOf(const std::optional<EngineList>& list) {
    std::vector<std::string> ids;
    if (list.has_value()) {
      for (const coordination::EngineInstance& engine : *list) {
        ids.push_back(engine.id + (engine.draining ? "!" : ""));
      }
    }
    return ids;
  }

  std::map<std::string, std::string> pages = {
      {"/", "a b|2"}, {"/2", "c d|3"}, {"/3", "e|"}};
  std::string refused_at;
  std::string silent_at;
  int refusal = 429;
  int refusals = 0;
  std::map<std::string, int> asked;
  Duration took{};
  asio::io_context context;
  Dialect dialect;
  ListReaderState reader;
  http::HttpServer server;
  http::HttpClient client{this->context};
};

const std::vector<std::string> kWhole = {"a", "b", "c", "d", "e"};

}  // namespace

// Guards against processes that get no list of replicas while many read it:
// page 2 is refused as the platform's rate is used up, and the read was
// abandoned with the pages before it.
TEST_CASE("a refused page is retried without those before it") {
  PagedList list;
  list.refused_at = "/2";
  list.refusals = 1;
  SECTION("refused by the rate limit") {
    CHECK(list.IdsOf(list.Read()) == kWhole);
    CHECK(list.reader.refused == 1);
  }
  SECTION("failed temporarily") {
    list.refusal = 503;
    CHECK(list.IdsOf(list.Read()) == kWhole);
    CHECK(list.reader.refused == 0);
  }
  CHECK(list.asked["/"] == 1);
  CHECK(list.asked["/2"] == 2);
  CHECK(list.asked["/3"] == 1);
  CHECK(list.reader.pages == 3);
}

TEST_CASE("a read ends in bounded time") {
  PagedList list;
  list.refused_at = "/2";
  list.refusals = 1000;
  SECTION("when a page is refused repeatedly") {
    CHECK_FALSE(list.Read().has_value());
    CHECK(list.took < PageRetry::kMaxReadTime + std::chrono::seconds(1));
    CHECK(list.asked["/2"] <= static_cast<int>(PageRetry::kMaxRepeats) + 1);
    CHECK(list.asked["/2"] > 2);
    CHECK(list.reader.refused == static_cast<std::size_t>(list.asked["/2"]));
  }
  SECTION("when a page is not answered") {
    list.silent_at = "/2";
    CHECK_FALSE(list.Read().has_value());
    CHECK(list.took >= PageRetry::kMaxReadTime);
    CHECK(list.took < PageRetry::kMaxReadTime + std::chrono::seconds(1));
  }
  SECTION("at once when a retry would fail the same way") {
    list.refusal = 404;
    CHECK_FALSE(list.Read().has_value());
    CHECK(list.asked["/2"] == 1);
  }
  SECTION("at once when the page cannot be parsed") {
    list.refusals = 0;
    list.pages["/2"] = "no end";
    CHECK_FALSE(list.Read().has_value());
    CHECK(list.asked["/2"] == 1);
  }
  SECTION("at once for a search") {
    CHECK_FALSE(list.Read({SearchBackoff::kMaxPages, 0}).has_value());
    CHECK(list.asked["/2"] == 1);
  }
  // The list is known to have a second page.
  CHECK(list.reader.pages == 2);
}

// Guards against a replica that is counted twice, and used although one of its
// entries is draining: a replica is added to the list between two page reads,
// so that the last entry of the first page starts the second.
TEST_CASE("an entry on two pages is returned once, as on the later page") {
  PagedList list;
  list.pages["/2"] = "b! c d|3";
  CHECK(list.IdsOf(list.Read()) ==
        std::vector<std::string>{"a", "b!", "c", "d", "e"});
}

// Guards against usable replicas that get no requests because another writer
// added entries to the list: unusable ones, or an id or address of theirs.
TEST_CASE("entries of another writer leave those of other pages valid") {
  PagedList list;
  SECTION("unusable ones on several pages") {
    list.pages = {{"/", "? a b|2"}, {"/2", "c ? d|3"}, {"/3", "e ?|"}};
    CHECK(list.IdsOf(list.Read()) == kWhole);
  }
  SECTION("a page of nothing else") {
    list.pages = {{"/", "a b c|2"}, {"/2", "? ?|3"}, {"/3", "d e|"}};
    CHECK(list.IdsOf(list.Read()) == kWhole);
  }
  SECTION("an id at a second address") {
    list.pages = {{"/", "a@1 b@2|2"}, {"/2", "a@3 c@4|"}};
    CHECK(list.IdsOf(list.Read()) ==
          std::vector<std::string>{"a", "b", "a", "c"});
  }
  SECTION("an address with a second id") {
    list.pages = {{"/", "a@1 b@2|2"}, {"/2", "c@1|"}};
    CHECK(list.IdsOf(list.Read()) == std::vector<std::string>{"a", "b", "c"});
  }
}

TEST_CASE("a search reads no more pages than its limit") {
  PagedList list;
  CHECK(list.IdsOf(list.Read({2, 0})) ==
        std::vector<std::string>{"a", "b", "c", "d"});
  CHECK(list.asked["/3"] == 0);
}

}  // namespace papayarack::nodes
