#include <algorithm>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "nodes/batchrunner.h"
#include "nodes/crashdetector.h"
#include "nodes/itemtraits.h"
#include "nodes/tests/batchfixtures.h"
#include "transport/peerdispatch.h"
#include "transport/peerserver.h"

namespace papayarack::nodes {
namespace {

using coordination::GroupReply;
using std::chrono::milliseconds;

constexpr milliseconds kTick{5};
/// Far longer than any step here takes.
constexpr milliseconds kTimeout{8000};
constexpr milliseconds kAmpleTime{60000};

/// An engine that answers each item with one event.
class Engine {
 public:
  explicit Engine(asio::io_context& context) : context(context) {
    this->Start();
    this->port = this->server->port();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }

  /// Breaks off all answers and refuses connections.
  void Crash() { this->server.reset(); }
  /// Starts, again at the same port.
  void Start() {
    this->server = std::make_unique<http::HttpServer>(
        this->context, Endpoint{"127.0.0.1", this->port},
        http::HttpServerLimits{}, this->Handlers());
  }

  std::string text = "made";  ///< Text of the event.
  bool ends = true;           ///< Whether the answer ends after it.
  int status = 200;
  bool silent = false;  ///< Sends nothing: the head waits for the body.
  std::string filler;   ///< Sent instead of the event, without an end.
  /// Sent in place of the event again and again, slowly and without an end.
  std::string drip;
  std::size_t asked = 0;
  std::vector<std::string> paths;  ///< Of all requests.
  std::vector<http::HttpRequest> requests;

 private:
  http::HttpServerHandlers Handlers() {
    http::HttpServerHandlers handlers;
    handlers.on_request = [this](http::ExchangeId exchange,
                                 const http::HttpRequest& request) {
      ++this->asked;
      this->paths.emplace_back(request.Path());
      this->requests.push_back(request);
      this->server->BeginStream(
          exchange, this->status,
          http::Headers{{"Id", std::string(request.headers.Get("Id"))}});
      this->server->Write(exchange, this->filler);
      if (!this->drip.empty()) {
        this->Drip(exchange);
        return;
      }
      if (this->silent || !this->filler.empty()) {
        return;
      }
      this->server->Write(exchange, "id: 1\ndata: " + this->text + "\n\n");
      if (this->ends) {
        this->server->EndStream(exchange);
      }
    };
    handlers.on_gone = [](http::ExchangeId) {};
    return handlers;
  }

  /// Ends with the test.
  void Drip(http::ExchangeId exchange) {
    constexpr milliseconds kBetween{50};
    const auto timer =
        std::make_shared<asio::steady_timer>(this->context, kBetween);
    timer->async_wait([this, exchange, timer](std::error_code) {
      this->server->Write(exchange, this->drip);
      this->Drip(exchange);
    });
  }

  asio::io_context& context;
  std::uint16_t port = 0;
  std::unique_ptr<http::HttpServer> server;
};

/// Stand-in for the job group's leader; the test gives the answers.
class Leader {
 public:
  struct Pull {
    transport::StreamId stream = 0;
    batches::PullItems asked;
    Time at{};
    bool cancelled = false;
    bool answered = false;
  };
  struct Report {
    std::size_t bytes = 0;
    std::vector<std::string> items;
    Time at{};
  };

  explicit Leader(asio::io_context& context)
      : server(context, {"127.0.0.1", 0}, this->dispatch.For(this->target)) {
    this->target = &this->server;
    this->dispatch.On("/jobs/pull", [this](transport::StreamId stream,
                                           const std::string& body) {
      this->pulls.push_back(
          {stream, DecodeMessage<batches::PullItems>(body), MonotonicNow()});
      this->on_pull(this->pulls.back());
    });
    this->dispatch.On("/jobs/report", [this](transport::StreamId stream,
                                             const std::string& body) {
      this->OnReport(stream, body);
    });
    this->dispatch.OnCancel([this](transport::StreamId stream) {
      for (Pull& pull : this->pulls) {
        pull.cancelled = pull.cancelled || pull.stream == stream;
      }
    });
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server.port());
  }

  void Answer(Pull& pull, const batches::PulledItems& items) {
    pull.answered = true;
    this->Send(pull.stream, ResultCode::kOk, EncodeMessage(items));
  }
  void Refuse(Pull& pull) {
    pull.answered = true;
    this->Send(pull.stream, ResultCode::kNotReady, {});
  }

  void AnswerReports() {
    this->holds_reports = false;
    for (const transport::StreamId stream :
         std::exchange(this->held_reports, {})) {
      this->Send(stream, ResultCode::kOk, {});
    }
  }

  std::vector<Pull> pulls;
  std::vector<Report> reports;
  std::set<std::string> listed;  ///< Items of accepted reports.
  std::size_t reports_to_refuse = 0;
  bool holds_reports = false;  ///< Answered by AnswerReports only.
  std::function<void(Pull&)> on_pull = [](Pull&) {};

 private:
  void OnReport(transport::StreamId stream, const std::string& body) {
    Report report{body.size(), {}, MonotonicNow()};
    for (const auto& outcome :
         DecodeMessage<batches::ReportOutcomes>(body).outcomes) {
      report.items.push_back(outcome.item);
    }
    this->reports.push_back(report);
    if (this->holds_reports) {
      this->held_reports.push_back(stream);
      return;
    }
    if (this->reports.size() <= this->reports_to_refuse) {
      this->Send(stream, ResultCode::kUnknownOutcome, {});
      return;
    }
    this->listed.insert(report.items.begin(), report.items.end());
    this->Send(stream, ResultCode::kOk, {});
  }

  void Send(transport::StreamId stream, ResultCode code, std::string body) {
    this->server.Send(stream, EncodeMessage(GroupReply{static_cast<int>(code),
                                                       "", std::move(body)}));
    this->server.Finish(stream);
  }

  std::vector<transport::StreamId> held_reports;
  transport::PeerDispatch dispatch;
  transport::PeerServer* target = nullptr;
  transport::PeerServer server;
};

batches::LeasedItem MakeItem(const std::string& id, milliseconds due) {
  batches::LeasedItem item;
  item.batch = "b";
  item.host = "h";
  item.route_key = "h/r/";
  item.spec = {id, "/r/" + id, {}, "body", 100};
  item.due_in_ms = due.count();
  return item;
}

/// An item whose prompt has a part besides its own.
batches::LeasedItem WithPart(batches::LeasedItem item,
                             const std::string& part) {
  item.spec.headers = {{"Parts", part}};
  return item;
}

coordination::LeaderSearch SearchAmong(const std::string& member) {
  coordination::LeaderSearch search;
  search.SetMembers({member});
  return search;
}

/// A runner connected to an engine and a leader.
struct RunnerFixture {
  explicit RunnerFixture(std::uint32_t slots) {
    this->allocator.SetSlots(slots);
    this->runner.SetEngine({"e", {"llm", "v1"}});
    this->runner.SetRoutes(MakeBatchTable());
  }

  bool RunUntil(const std::function<bool()>& done,
                milliseconds time = kTimeout) {
    const Time until = MonotonicNow() + time;
    while (!done() && MonotonicNow() < until) {
      this->context.run_for(kTick);
      this->context.restart();
      this->runner.Tick();
    }
    return done();
  }
  void RunFor(milliseconds time) {
    this->RunUntil([] { return false; }, time);
  }
  /// Puts the part in quarantine.
  void Quarantine(const std::string& part) {
    constexpr std::uint64_t kCrashes = 3;
    // Not a first part, which takes more crashes.
    const std::vector<quarantine::Trait> traits = {
        {quarantine::PartFingerprint("llm", part), 1}};
    for (std::uint64_t i = 0; i < kCrashes; ++i) {
      asio::ip::tcp::acceptor closed(this->context,
                                     {asio::ip::make_address("127.0.0.1"), 0});
      const std::string address =
          "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
      closed.close();
      this->crash_detector.ConnectionBroke(
          {"r", traits, {address, "gone", i}, {}});
      this->RunFor(milliseconds(70));
    }
    REQUIRE(this->crash_detector.FindQuarantined(traits) != nullptr);
  }
  /// Fills `count` slots with online requests.
  void Occupy(std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) {
      const Time now = MonotonicNow();
      this->allocator.Acquire({++this->last_ticket, 0, now + kAmpleTime}, now);
    }
    this->runner.Balance();
  }
  void Leave(std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) {
      this->allocator.Release(this->last_ticket--, MonotonicNow());
    }
    this->runner.Balance();
  }

  asio::io_context context;
  Engine engine{this->context};
  Leader leader{this->context};
  transport::PeerClient peers{this->context};
  coordination::LeaderSearch job_search = SearchAmong(this->leader.Address());
  coordination::GroupClient jobs{this->context, this->peers, this->job_search};
  http::HttpClient client{this->context};
  slots::SlotAllocator allocator;
  Dialect dialect = MakeBatchDialect();
  slots::TicketId last_ticket = 0;
  coordination::FleetWatch fleet{
      this->context, this->peers, {}, {}, [](const coordination::FleetChange&) {
      }};
  CrashDetector crash_detector{this->context, this->fleet};
  BatchRunner runner{{"g", 1, "llm", this->engine.Address()},
                     this->dialect,
                     this->client,
                     this->jobs,
                     this->allocator,
                     &this->crash_detector};
};

}  // namespace

// Guards against gates that, after failed reports, send ever larger ones
// without a pause until they saturate the links to the leader: a failed report
// was repeated at once together with everything that had ended meanwhile, with
// no bound on its size or rate.
TEST_CASE("reports are bounded in size and, while they fail, in rate") {
  constexpr std::uint32_t kItems = 6;
  constexpr std::size_t kRefused = 4;
  RunnerFixture fixture(kItems);
  fixture.leader.on_pull = [&](Leader::Pull& pull) {
    if (fixture.leader.pulls.size() == 1) {
      batches::PulledItems items;
      for (std::uint32_t i = 0; i < kItems; ++i) {
        items.items.push_back(MakeItem(std::to_string(i), kAmpleTime));
      }
      fixture.leader.Answer(pull, items);
    }
  };
  const auto all_listed = [&] {
    return fixture.leader.listed.size() == kItems;
  };
  /// Bytes of a report besides the texts.
  constexpr std::size_t kMargin = 1000;
  SECTION("several texts are split over reports") {
    fixture.engine.text = std::string(BatchRunner::kMaxReportBytes / 3, 't');
    fixture.leader.reports_to_refuse = kRefused;
    REQUIRE(fixture.RunUntil(all_listed));
    for (const Leader::Report& report : fixture.leader.reports) {
      CHECK(report.bytes <= BatchRunner::kMaxReportBytes + kMargin);
    }
    milliseconds least = BatchRunner::kMinReportBackoff;
    for (std::size_t i = 1; i <= kRefused; ++i) {
      CHECK(fixture.leader.reports[i].at - fixture.leader.reports[i - 1].at >=
            least);
      least = std::min(2 * least, BatchRunner::kMaxReportBackoff);
    }
    CHECK(fixture.RunUntil([&] { return fixture.runner.HeldCount() == 0; }));
  }
  SECTION("a text larger than the bound is sent alone") {
    fixture.engine.text = std::string(BatchRunner::kMaxReportBytes + 1, 't');
    REQUIRE(fixture.RunUntil(all_listed));
    for (const Leader::Report& report : fixture.leader.reports) {
      CHECK(report.items.size() == 1);
    }
  }
  SECTION("reports are not delayed when they succeed") {
    const Time start = MonotonicNow();
    REQUIRE(fixture.RunUntil(all_listed));
    CHECK(MonotonicNow() - start < milliseconds(1000));
  }
}

// Guards against gates that slow down a slow leader: each copy of a report
// costs it as much as the first.
TEST_CASE("a report is not repeated while the leader is connected") {
  constexpr milliseconds kLateAnswer{3500};
  RunnerFixture fixture(1);
  fixture.leader.holds_reports = true;
  fixture.leader.on_pull = [&](Leader::Pull& pull) {
    batches::PulledItems items;
    if (fixture.leader.pulls.size() == 1) {
      items.items = {MakeItem("1", kAmpleTime)};
    }
    fixture.leader.Answer(pull, items);
  };
  REQUIRE(fixture.RunUntil([&] { return !fixture.leader.reports.empty(); }));
  fixture.RunFor(kLateAnswer);
  CHECK(fixture.leader.reports.size() == 1);
  fixture.leader.AnswerReports();
  CHECK(fixture.RunUntil([&] { return fixture.runner.HeldCount() == 0; }));
  CHECK(fixture.leader.reports.size() == 1);
}

// Guards against returned items that start over at the next gate and are late:
// a pull that carries a returned item with its partial text is refused or
// cancelled, and the item was dropped when the pull was sent instead of when it
// was answered.
TEST_CASE("unacknowledged returns of a pull are sent again with the next one") {
  RunnerFixture fixture(1);
  fixture.engine.ends = false;
  const milliseconds late(-1000);
  fixture.leader.on_pull = [&](Leader::Pull& pull) {
    if (fixture.leader.pulls.size() == 1) {
      fixture.leader.Answer(pull, {{MakeItem("1", late)}, {}});
    }
  };
  REQUIRE(fixture.RunUntil([&] { return fixture.engine.asked == 1; }));
  fixture.RunFor(milliseconds(50));
  // The online request takes the slot; the late item is returned 0.4 s later.
  fixture.Occupy(1);
  const auto handed_back = [&] {
    return !fixture.leader.pulls.back().asked.returned.empty();
  };
  const auto check = [&] {
    const auto& returned = fixture.leader.pulls.back().asked.returned;
    REQUIRE(returned.size() == 1);
    CHECK(returned.front().item == batches::ItemRef{"b", "1"});
    CHECK(returned.front().partial.text == "made");
    CHECK(returned.front().partial.last_event == 1);
  };
  REQUIRE(fixture.RunUntil(handed_back));
  check();
  const std::size_t pulls = fixture.leader.pulls.size();
  const auto next_pull = [&] { return fixture.leader.pulls.size() > pulls; };
  SECTION("after the pull was refused") {
    fixture.leader.Refuse(fixture.leader.pulls.back());
    REQUIRE(fixture.RunUntil(next_pull));
    check();
  }
  SECTION("after the pull was replaced by a newer one") {
    fixture.Leave(1);
    REQUIRE(fixture.RunUntil(next_pull));
    check();
    CHECK(fixture.leader.pulls.back().asked.room == 1);
  }
  SECTION("not after the pull was answered") {
    fixture.leader.Answer(fixture.leader.pulls.back(), {});
    REQUIRE(fixture.RunUntil(next_pull));
    CHECK(fixture.leader.pulls.back().asked.returned.empty());
  }
}

// Guards against ever larger pulls after a gate could not return items, as for
// reports.
TEST_CASE("the bytes returned by one pull are bounded") {
  constexpr std::uint32_t kItems = 4;
  constexpr std::size_t kTextBytes = 100'000;
  RunnerFixture fixture(kItems);
  fixture.engine.ends = false;
  fixture.engine.text = std::string(kTextBytes, 't');
  fixture.leader.on_pull = [&](Leader::Pull& pull) {
    batches::PulledItems items;
    if (fixture.leader.pulls.size() == 1) {
      for (std::uint32_t i = 0; i < kItems; ++i) {
        items.items.push_back(MakeItem(std::to_string(i), kAmpleTime));
      }
    }
    fixture.leader.Answer(pull, items);
  };
  REQUIRE(fixture.RunUntil([&] { return fixture.engine.asked == kItems; }));
  fixture.RunFor(milliseconds(100));
  fixture.runner.Stop();
  std::set<std::string> returned;
  std::size_t looked_at = 0;
  REQUIRE(fixture.RunUntil([&] {
    for (; looked_at < fixture.leader.pulls.size(); ++looked_at) {
      const batches::PullItems& pull = fixture.leader.pulls[looked_at].asked;
      CHECK(pull.returned.size() <= BatchRunner::kMaxReturnBytes / kTextBytes);
      for (const batches::ReturnedItem& item : pull.returned) {
        CHECK(item.partial.text.size() == kTextBytes);
        returned.insert(item.item.item);
      }
      // Items that wait for the next pull are still listed as held.
      CHECK((returned.empty() ||
             pull.holding.size() + returned.size() == kItems));
    }
    return returned.size() == kItems;
  }));
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.leader.pulls.back().asked.returned.empty(); }));
}

// Guards against an item that starts over although this gate has a part of it,
// and is leased to another gate while it runs here: the answer to the pull in
// flight leases it here again while its return waits for the next pull, and
// both were kept.
TEST_CASE("an item leased again before its return was sent is held once") {
  const milliseconds late(-1000);
  RunnerFixture fixture(2);
  fixture.engine.ends = false;
  fixture.engine.text = std::string(BatchRunner::kMaxReturnBytes, 't');
  bool came_back = false;
  std::vector<batches::PullItems> after;
  fixture.leader.on_pull = [&](Leader::Pull& pull) {
    batches::PulledItems items;
    if (fixture.leader.pulls.size() == 1) {
      items.items = {MakeItem("1", late), MakeItem("2", late)};
    } else if (came_back) {
      after.push_back(pull.asked);
    } else if (!pull.asked.returned.empty()) {
      came_back = true;
      items.items = {MakeItem("2", late)};
    }
    fixture.leader.Answer(pull, items);
  };
  REQUIRE(fixture.RunUntil([&] { return fixture.engine.asked == 2; }));
  fixture.RunFor(milliseconds(300));
  fixture.runner.Stop();
  REQUIRE(fixture.RunUntil([&] { return !after.empty(); }));
  CHECK(after.front().returned.empty());
  CHECK(after.front().holding == std::vector<batches::ItemRef>{{"b", "2"}});
  REQUIRE(fixture.RunUntil([&] { return !after.back().returned.empty(); }));
  CHECK(after.back().returned.front().partial.text == fixture.engine.text);
}

// Guards against items that arrive late or never while online requests come and
// go: the leader answers a pull with leased items; before the answer is
// complete the number of free slots changes by one, and the gate cancels the
// pull and sends a new one.
TEST_CASE("a pull whose answer may be in flight is not cancelled") {
  constexpr std::uint32_t kSlots = 4;
  RunnerFixture fixture(kSlots);
  const auto pulls = [&]() -> std::vector<Leader::Pull>& {
    return fixture.leader.pulls;
  };
  const auto pulled = [&](std::size_t count) {
    return fixture.RunUntil([&, count] { return pulls().size() >= count; });
  };
  REQUIRE(pulled(1));
  REQUIRE(pulls()[0].asked.room == kSlots);
  const auto hand_out = [&](std::size_t pull) {
    fixture.leader.Answer(pulls()[pull], {{MakeItem("1", kAmpleTime)}, {}});
    CHECK(fixture.RunUntil([&] { return fixture.leader.listed.size() == 1; }));
  };
  SECTION("not at once when room shrinks") {
    fixture.Occupy(1);
    fixture.RunFor(BatchRunner::kAnswerTime / 2);
    CHECK_FALSE(pulls()[0].cancelled);
    CHECK(pulls().size() == 1);
    hand_out(0);
  }
  SECTION("not when room grows, which the next pull can fill") {
    fixture.Occupy(1);
    fixture.Leave(1);
    fixture.allocator.SetSlots(kSlots + 2);
    fixture.RunFor(3 * BatchRunner::kAnswerTime);
    CHECK_FALSE(pulls()[0].cancelled);
    hand_out(0);
  }
  SECTION("but the leader soon learns of less room") {
    fixture.Occupy(1);
    REQUIRE(pulled(2));
    CHECK(pulls()[1].at - pulls()[0].at > BatchRunner::kAnswerTime / 2);
    CHECK(pulls()[1].at - pulls()[0].at < 3 * BatchRunner::kAnswerTime);
    CHECK(pulls()[1].asked.room == kSlots - 1);
  }
  SECTION("not while room keeps changing by one") {
    constexpr auto kLate = BatchRunner::kAnswerTime / 2;
    bool occupied = false;
    const bool arrived = fixture.RunUntil([&] {
      occupied ? fixture.Leave(1) : fixture.Occupy(1);
      occupied = !occupied;
      for (Leader::Pull& pull : pulls()) {
        if (!pull.answered && MonotonicNow() - pull.at >= kLate) {
          fixture.leader.Answer(pull, {{MakeItem("1", kAmpleTime)}, {}});
        }
      }
      return fixture.engine.asked > 0;
    });
    CHECK(arrived);
  }
  SECTION("and a slower answer arrives eventually") {
    // Each answer takes longer than the first pull may, and the number of free
    // slots shrinks at each pull.
    constexpr auto kLate = 3 * BatchRunner::kAnswerTime;
    const bool arrived = fixture.RunUntil([&] {
      const std::uint32_t room = fixture.allocator.FreeBatchSlots();
      if (room > 1 && pulls().back().asked.room == room) {
        fixture.Occupy(1);
      }
      for (Leader::Pull& pull : pulls()) {
        if (!pull.answered && MonotonicNow() - pull.at >= kLate) {
          fixture.leader.Answer(pull, {{MakeItem("1", kAmpleTime)}, {}});
        }
      }
      return fixture.engine.asked > 0;
    });
    CHECK(arrived);
    CHECK(pulls()[0].cancelled);
  }
}

// Guards against items that wait for seconds at an engine that is gone: the
// engine of a gate stops answering, and the gate kept its items because the
// list still named the engine.
TEST_CASE("items of a lost engine are returned at once") {
  RunnerFixture fixture(2);
  fixture.engine.ends = false;
  fixture.leader.on_pull = [&](Leader::Pull& pull) {
    if (fixture.leader.pulls.size() == 1) {
      fixture.leader.Answer(
          pull, {{MakeItem("1", kAmpleTime), MakeItem("2", kAmpleTime)}, {}});
    }
  };
  REQUIRE(fixture.RunUntil([&] { return fixture.engine.asked == 2; }));
  fixture.RunFor(milliseconds(50));
  fixture.runner.SetEngine({});
  fixture.runner.ReturnAll();
  CHECK(fixture.runner.HeldCount() == 0);
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.leader.pulls.back().asked.returned.size() == 2; }));
  const batches::PullItems& pull = fixture.leader.pulls.back().asked;
  CHECK(pull.room == 0);
  CHECK(pull.returned[0].partial.last_event == 1);
  SECTION("and a gate that is not leaving pulls items again later") {
    fixture.leader.Answer(fixture.leader.pulls.back(), {});
    fixture.runner.SetEngine({"e", {"llm", "v1"}});
    REQUIRE(fixture.RunUntil(
        [&] { return fixture.leader.pulls.back().asked.room == 2; }));
  }
}

// Guards against a gate that holds an item for as long as its engine refuses it
// or answers nothing, while other gates could run it.
TEST_CASE("an item that its engine does not run is returned") {
  constexpr milliseconds kSoon{7000};
  RunnerFixture fixture(2);
  fixture.leader.on_pull = [&](Leader::Pull& pull) {
    if (fixture.leader.pulls.size() == 1) {
      fixture.leader.Answer(pull, {{MakeItem("1", kAmpleTime)}, {}});
    }
  };
  SECTION("when each run is refused") { fixture.engine.status = 503; }
  SECTION("when each run is silent") { fixture.engine.silent = true; }
  REQUIRE(fixture.RunUntil([&] { return fixture.engine.asked > 1; }));
  CHECK(fixture.RunUntil(
      [&] { return !fixture.leader.pulls.back().asked.returned.empty(); },
      kSoon));
}

// Guards against accepted items that a gate holds and never starts, or starts
// though their route leads elsewhere by now.
TEST_CASE("a gate runs what the route that accepted an item leads to it") {
  RunnerFixture fixture(1);
  routes::FleetConfiguration configuration = MakeBatchTable()->configuration();
  fixture.leader.on_pull = [&](Leader::Pull& pull) {
    if (fixture.leader.pulls.size() == 1) {
      fixture.leader.Answer(pull, {{MakeItem("1", kAmpleTime)}, {}});
    }
  };
  const auto set_routes = [&] {
    fixture.runner.SetRoutes(
        std::make_shared<routes::RouteTable>(configuration));
  };
  SECTION("whatever other route the item's path matches") {
    routes::Route other = configuration.routes.front();
    other.path_prefix = "/r/1";
    other.kind = routes::RouteKind::kStreaming;
    configuration.routes.push_back(other);
    set_routes();
    CHECK(fixture.RunUntil([&] { return !fixture.leader.listed.empty(); }));
  }
  SECTION("and not once it leads to another service") {
    configuration.routes.front().targets = {{"other", 1}, {"llm", 0}};
    set_routes();
    CHECK(fixture.RunUntil([&] {
      return !fixture.leader.pulls.empty() &&
             !fixture.leader.pulls.back().asked.returned.empty();
    }));
    CHECK(fixture.engine.asked == 0);
  }
}

// Guards against a slot that is held, and memory that grows, for as long as an
// engine sends bytes which are no result.
TEST_CASE("a run that receives endless bytes is ended") {
  constexpr std::size_t kFar = 2U << 20U;  // Several times each limit.
  RunnerFixture fixture(2);
  fixture.leader.on_pull = [&](Leader::Pull& pull) {
    if (fixture.leader.pulls.size() == 1) {
      fixture.leader.Answer(pull, {{MakeItem("1", kAmpleTime)}, {}});
    }
  };
  fixture.engine.filler = std::string(kFar, 'x');
  SECTION("after a refusal") { fixture.engine.status = 503; }
  SECTION("that form no event") {}
  SECTION("that are comments") {
    fixture.engine.filler.clear();
    while (fixture.engine.filler.size() < kFar) {
      fixture.engine.filler += ": still there\n\n";
    }
  }
  // Sooner than a silent run, which is ended after 2.5 s.
  CHECK(fixture.RunUntil([&] { return fixture.engine.asked > 1; },
                         milliseconds(1500)));
}

// Guards against an item that is never listed, as its engine sends bytes
// without an end that keep its run alive and are no event.
TEST_CASE("a run without events is ended however its engine stays alive") {
  RunnerFixture fixture(2);
  fixture.leader.on_pull = [&](Leader::Pull& pull) {
    if (fixture.leader.pulls.size() == 1) {
      fixture.leader.Answer(pull, {{MakeItem("1", kAmpleTime)}, {}});
    }
  };
  SECTION("by lines, each followed by a blank line") {
    fixture.engine.drip = "a line that is no event at all\n\n";
  }
  SECTION("by comments") { fixture.engine.drip = ":\n\n"; }
  SECTION("by events without an id") { fixture.engine.drip = "data: x\n\n"; }
  SECTION("by the slow body of a refusal") {
    fixture.engine.status = 503;
    fixture.engine.drip = "x";
  }
  // It runs again here, or goes back to the leader.
  CHECK(fixture.RunUntil([&] {
    const auto& pulls = fixture.leader.pulls;
    return fixture.engine.asked > 1 ||
           (!pulls.empty() && !pulls.back().asked.returned.empty());
  }));
}

// Guards against an item that is run for ever, as a failure whose body does not
// end is taken for a run that broke off.
TEST_CASE("a failure whose body does not end counts as a failed attempt") {
  RunnerFixture fixture(2);
  fixture.leader.on_pull = [&](Leader::Pull& pull) {
    if (fixture.leader.pulls.size() == 1) {
      fixture.leader.Answer(pull, {{MakeItem("1", kAmpleTime)}, {}});
    }
  };
  fixture.engine.status = 500;
  fixture.engine.drip = "x";
  CHECK(fixture.RunUntil([&] { return !fixture.leader.listed.empty(); }));
  CHECK(fixture.engine.asked == 1);
}

// Guards against a request that a replica finds inside an item, or an item that
// it reads with another body or for another host: the headers of an item are a
// caller's text.
TEST_CASE("an item's headers cannot change how its request is read") {
  RunnerFixture fixture(1);
  batches::LeasedItem item = MakeItem("1", kAmpleTime);
  fixture.leader.on_pull = [&](Leader::Pull& pull) {
    if (fixture.leader.pulls.size() == 1) {
      fixture.leader.Answer(pull, {{item}, {}});
    }
  };
  const auto listed = [&] { return !fixture.leader.listed.empty(); };

  SECTION("one with a line break is given up without a run") {
    SECTION("in a value") {
      item.spec.headers = {{"A", "b\r\n\r\nPOST /other HTTP/1.1"}};
    }
    SECTION("in a name") { item.spec.headers = {{"A: b\r\nC", "d"}}; }
    SECTION("in its path") { item.spec.path = "/r/1 HTTP/1.1\r\nA: b"; }
    SECTION("in its id") { item.spec.id = "1\r\nA: b"; }
    CHECK(fixture.RunUntil(listed));
    CHECK(fixture.engine.asked == 0);
  }
  SECTION(
      "those of a connection, of the body's length and the host are not "
      "sent") {
    item.spec.headers = {{"Transfer-Encoding", "chunked"},
                         {"Content-Length", "1"},
                         {"Host", "other"},
                         {"Kept", "yes"}};
    REQUIRE(fixture.RunUntil(listed));
    REQUIRE(fixture.engine.requests.size() == 1);
    const http::HttpRequest& request = fixture.engine.requests.front();
    CHECK(request.body == "body");
    CHECK(request.headers.Get("Host") == "h");
    CHECK(request.headers.Get("Kept") == "yes");
  }
}

// The answer to a pull that requested nothing carries no items, so cancelling
// it loses nothing; the leader would delay it for a second although there are
// free slots.
TEST_CASE("a pull without room is cancelled as soon as there is room") {
  RunnerFixture fixture(1);
  fixture.Occupy(1);
  REQUIRE(fixture.RunUntil([&] { return fixture.leader.pulls.size() == 1; }));
  REQUIRE(fixture.leader.pulls[0].asked.room == 0);
  fixture.RunFor(milliseconds(50));
  const Time start = MonotonicNow();
  fixture.Leave(1);
  REQUIRE(fixture.RunUntil([&] { return fixture.leader.pulls.size() == 2; }));
  CHECK(MonotonicNow() - start < BatchRunner::kAnswerTime / 2);
  CHECK(fixture.leader.pulls[1].asked.room == 1);
}

// Guards against the text of an item that one software version began and
// another continues, at the next gate or after its replica came back upgraded.
TEST_CASE("an item begins anew at another software version") {
  RunnerFixture fixture(1);
  fixture.engine.ends = false;
  fixture.engine.text = "anew";
  const auto lease = [&](const ReplicaSoftware& wrote) {
    batches::LeasedItem item = MakeItem("1", kAmpleTime);
    item.partial = {"made", 1, wrote};
    fixture.leader.on_pull = [&fixture, item](Leader::Pull& pull) {
      if (fixture.leader.pulls.size() == 1) {
        fixture.leader.Answer(pull, {{item}, {}});
      }
    };
    REQUIRE(fixture.RunUntil([&] { return fixture.engine.asked == 1; }));
    fixture.RunFor(milliseconds(50));
  };
  const auto returned = [&] {
    fixture.runner.ReturnAll();
    REQUIRE(fixture.RunUntil(
        [&] { return !fixture.leader.pulls.back().asked.returned.empty(); }));
    return fixture.leader.pulls.back().asked.returned.front().partial;
  };

  SECTION("its text goes on at the software that wrote it") {
    lease({"llm", "v1"});
    const batches::PartialText partial = returned();
    CHECK(partial.text.starts_with("made"));
    CHECK(partial.software == ReplicaSoftware{"llm", "v1"});
  }
  SECTION("and is dropped at another, or where one of them is unknown") {
    const auto wrote =
        GENERATE(ReplicaSoftware{"llm", "v2"}, ReplicaSoftware{"other", "v1"},
                 ReplicaSoftware{});
    lease(wrote);
    const batches::PartialText partial = returned();
    CHECK(partial.text == "anew");
    CHECK(partial.software == ReplicaSoftware{"llm", "v1"});
  }
  SECTION("also when its replica came back upgraded") {
    lease({"llm", "v1"});
    fixture.runner.SetEngine({"e-again", {"llm", "v2"}});
    fixture.runner.EngineRestarted();
    REQUIRE(fixture.RunUntil([&] { return fixture.engine.asked == 2; }));
    fixture.RunFor(milliseconds(50));
    const batches::PartialText partial = returned();
    CHECK(partial.text == "anew");
    CHECK(partial.software == ReplicaSoftware{"llm", "v2"});
  }
}

// Guards against a gate that runs an item on which replicas are known to crash,
// and against one that takes it and returns it many times a second while the
// leader does not know of the quarantine.
TEST_CASE("a gate returns a quarantined item instead of running it") {
  constexpr milliseconds kObserved{2000};
  constexpr std::size_t kMaxLeases = 5;
  RunnerFixture fixture(4);
  std::size_t leases = 0;
  std::size_t returns = 0;
  const auto bad = WithPart(MakeItem("bad", kAmpleTime), "p");
  const auto sound = WithPart(MakeItem("sound", kAmpleTime), "q");
  bool leasing = false;
  bool sound_leased = false;
  fixture.leader.on_pull = [&](Leader::Pull& pull) {
    batches::PulledItems items;
    returns += pull.asked.returned.size();
    const bool holds_bad =
        std::ranges::find(pull.asked.holding, batches::ItemRef{"b", "bad"}) !=
        pull.asked.holding.end();
    if (leasing && !holds_bad && pull.asked.room > 0) {
      items.items.push_back(bad);
      ++leases;
      if (!std::exchange(sound_leased, true)) {
        items.items.push_back(sound);
      }
    }
    const bool returns_any = !pull.asked.returned.empty();
    if (!leasing || !items.items.empty() || returns_any) {
      fixture.leader.Answer(pull, items);
    }
  };

  SECTION("and does not take it again and again") {
    fixture.Quarantine("p");
    leasing = true;
    fixture.RunFor(kObserved);
    CHECK(fixture.engine.paths == std::vector<std::string>{"/r/sound"});
    CHECK(returns > 0);
    CHECK(leases <= kMaxLeases);
  }
  SECTION("but lets one that runs already go on to its end") {
    fixture.engine.ends = false;
    leasing = true;
    REQUIRE(fixture.RunUntil([&] { return fixture.engine.asked == 2; }));
    fixture.Quarantine("p");
    CHECK(fixture.runner.HeldCount() == 2);
    CHECK(returns == 0);
    SECTION("and does not begin it again after its run broke") {
      fixture.engine.Crash();
      fixture.RunFor(milliseconds(100));
      fixture.engine.Start();
      fixture.engine.paths.clear();
      REQUIRE(fixture.RunUntil([&] { return returns > 0; }));
      fixture.RunFor(milliseconds(300));
      CHECK(std::ranges::count(fixture.engine.paths, "/r/bad") == 0);
    }
  }
}

// Guards against taking for the cause of a crash an item that waited while its
// replica was down: it is sent again and again to a port that refuses it.
TEST_CASE("an item that was not sent is not blamed for a crash") {
  constexpr int kReplicas = 8;
  RunnerFixture fixture(1);
  const auto item = WithPart(MakeItem("1", kAmpleTime), "p");
  fixture.leader.on_pull = [&](Leader::Pull& pull) {
    if (fixture.leader.pulls.size() == 1) {
      fixture.leader.Answer(pull, {{item}, {}});
    }
  };
  fixture.engine.Crash();
  for (int i = 0; i < kReplicas; ++i) {
    fixture.runner.SetEngine({"e" + std::to_string(i), {"llm", "v1"}});
    fixture.RunFor(milliseconds(400));
  }
  CHECK(fixture.crash_detector.FindQuarantined(
            TraitsOfItem(fixture.dialect, item.spec, "llm")) == nullptr);
}

// Guards against missing crashes of a replica that restarts under the same id:
// all of them counted as one.
TEST_CASE("each start of a replica that crashes under an item counts") {
  constexpr std::uint64_t kMaxCrashes = 8;
  RunnerFixture fixture(1);
  fixture.engine.ends = false;
  const auto item = WithPart(MakeItem("1", kAmpleTime), "p");
  fixture.leader.on_pull = [&](Leader::Pull& pull) {
    if (fixture.leader.pulls.size() == 1) {
      fixture.leader.Answer(pull, {{item}, {}});
    }
  };
  const auto traits = TraitsOfItem(fixture.dialect, item.spec, "llm");
  const auto found = [&] {
    return fixture.crash_detector.FindQuarantined(traits) != nullptr;
  };
  for (std::uint64_t i = 1; i <= kMaxCrashes && !found(); ++i) {
    fixture.runner.SetEngine({"e", {"llm", std::to_string(i)}, i});
    REQUIRE(fixture.RunUntil([&] { return fixture.engine.asked == i; }));
    fixture.RunFor(milliseconds(100));
    fixture.engine.Crash();
    fixture.RunFor(milliseconds(500));
    fixture.engine.Start();
  }
  CHECK(found());
}

}  // namespace papayarack::nodes
