#include <algorithm>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "nodes/batchrunner.h"
#include "nodes/tests/batchfixtures.h"
#include "transport/peerdispatch.h"
#include "transport/peerserver.h"

namespace papayarack::nodes {
namespace {

using coordination::GroupReply;
using std::chrono::milliseconds;

constexpr milliseconds kTick{5};
/// Far longer than anything here takes.
constexpr milliseconds kPatience{8000};
constexpr milliseconds kAmpleTime{60000};

/// An engine whose answer to each item is one event, whole or not ended yet.
class Engine {
 public:
  explicit Engine(asio::io_context& context)
      : server(context, {"127.0.0.1", 0}, {}, this->Handlers()) {}

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server.port());
  }

  std::string text = "made";  ///< Of the event.
  bool ends = true;           ///< Whether the answer ends behind it.
  std::size_t asked = 0;

 private:
  http::HttpServerHandlers Handlers() {
    http::HttpServerHandlers handlers;
    handlers.on_request = [this](http::ExchangeId exchange,
                                 const http::HttpRequest& request) {
      ++this->asked;
      this->server.BeginStream(
          exchange, 200,
          http::Headers{{"Id", std::string(request.headers.Get("Id"))}});
      this->server.Write(exchange, "id: 1\ndata: " + this->text + "\n\n");
      if (this->ends) {
        this->server.EndStream(exchange);
      }
    };
    handlers.on_gone = [](http::ExchangeId) {};
    return handlers;
  }

  http::HttpServer server;
};

/// The job group's leader as a runner sees it; the test answers.
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
  std::set<std::string> listed;  ///< Items of reports that were taken.
  std::size_t reports_to_refuse = 0;
  bool holds_reports = false;  ///< Without an answer, until AnswerReports.
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

coordination::LeaderSearch SearchAmong(const std::string& member) {
  coordination::LeaderSearch search;
  search.SetMembers({member});
  return search;
}

/// A runner between an engine and a leader.
struct Bench {
  explicit Bench(std::uint32_t slots) {
    this->desk.SetSlots(slots);
    this->runner.SetEngine("e");
    this->runner.SetRoutes(MakeBatchTable());
  }

  bool RunUntil(const std::function<bool()>& done,
                milliseconds time = kPatience) {
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
  /// Online requests take `count` slots.
  void Occupy(std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) {
      const Time now = MonotonicNow();
      this->desk.Acquire({++this->last_ticket, 0, now + kAmpleTime}, now);
    }
    this->runner.Balance();
  }
  void Leave(std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) {
      this->desk.Release(this->last_ticket--, MonotonicNow());
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
  slots::SlotAllocator desk;
  Dialect dialect = MakeBatchDialect();
  slots::TicketId last_ticket = 0;
  BatchRunner runner{{"g", 1, "llm", this->engine.Address()},
                     this->dialect,
                     this->client,
                     this->jobs,
                     this->desk};
};

}  // namespace

// Symptom: gates that could not report for a moment send ever larger reports
// without a pause, until the links to the leader carry nothing else. Sequence:
// a report fails; the next one is sent at once, with all that ended meanwhile,
// takes longer and fails as well. Cause: neither the size of a report nor the
// pace of the attempts was bounded.
TEST_CASE("reports are bounded in size, and in pace while they fail") {
  constexpr std::uint32_t kItems = 6;
  constexpr std::size_t kRefused = 4;
  Bench bench(kItems);
  bench.leader.on_pull = [&](Leader::Pull& pull) {
    if (bench.leader.pulls.size() == 1) {
      batches::PulledItems items;
      for (std::uint32_t i = 0; i < kItems; ++i) {
        items.items.push_back(MakeItem(std::to_string(i), kAmpleTime));
      }
      bench.leader.Answer(pull, items);
    }
  };
  const auto all_listed = [&] { return bench.leader.listed.size() == kItems; };
  /// What a report has besides the texts.
  constexpr std::size_t kMargin = 1000;
  SECTION("several texts, one after the other") {
    bench.engine.text = std::string(BatchRunner::kMostReportBytes / 3, 't');
    bench.leader.reports_to_refuse = kRefused;
    REQUIRE(bench.RunUntil(all_listed));
    for (const Leader::Report& report : bench.leader.reports) {
      CHECK(report.bytes <= BatchRunner::kMostReportBytes + kMargin);
    }
    milliseconds least = BatchRunner::kReportPause;
    for (std::size_t i = 1; i <= kRefused; ++i) {
      CHECK(bench.leader.reports[i].at - bench.leader.reports[i - 1].at >=
            least);
      least = std::min(2 * least, BatchRunner::kLongestReportPause);
    }
    CHECK(bench.RunUntil([&] { return bench.runner.Held() == 0; }));
  }
  SECTION("a text larger than the bound goes alone") {
    bench.engine.text = std::string(BatchRunner::kMostReportBytes + 1, 't');
    REQUIRE(bench.RunUntil(all_listed));
    for (const Leader::Report& report : bench.leader.reports) {
      CHECK(report.items.size() == 1);
    }
  }
  SECTION("nothing waits when they succeed") {
    const Time start = MonotonicNow();
    REQUIRE(bench.RunUntil(all_listed));
    CHECK(MonotonicNow() - start < milliseconds(1000));
  }
}

// Guards against gates that make a slow leader slower: each copy of a report
// costs it as much as the first.
TEST_CASE("a report is not sent again while its leader is there") {
  constexpr milliseconds kLateAnswer{3500};
  Bench bench(1);
  bench.leader.holds_reports = true;
  bench.leader.on_pull = [&](Leader::Pull& pull) {
    batches::PulledItems items;
    if (bench.leader.pulls.size() == 1) {
      items.items = {MakeItem("1", kAmpleTime)};
    }
    bench.leader.Answer(pull, items);
  };
  REQUIRE(bench.RunUntil([&] { return !bench.leader.reports.empty(); }));
  bench.RunFor(kLateAnswer);
  CHECK(bench.leader.reports.size() == 1);
  bench.leader.AnswerReports();
  CHECK(bench.RunUntil([&] { return bench.runner.Held() == 0; }));
  CHECK(bench.leader.reports.size() == 1);
}

// Symptom: items that were handed back begin from nothing at the next gate, and
// are late. Sequence: a gate hands an item back with what its run has made; the
// pull that carries it is refused, or given up for a newer one. Cause: what a
// pull carries was forgotten when it left, not when it was answered.
TEST_CASE("what a pull hands back goes with the next one unless it arrived") {
  Bench bench(1);
  bench.engine.ends = false;
  const milliseconds late(-1000);
  bench.leader.on_pull = [&](Leader::Pull& pull) {
    if (bench.leader.pulls.size() == 1) {
      bench.leader.Answer(pull, {{MakeItem("1", late)}, {}});
    }
  };
  REQUIRE(bench.RunUntil([&] { return bench.engine.asked == 1; }));
  bench.RunFor(milliseconds(50));
  // The online request takes the slot; the late item goes back 0.4 s later.
  bench.Occupy(1);
  const auto handed_back = [&] {
    return !bench.leader.pulls.back().asked.returned.empty();
  };
  const auto check = [&] {
    const auto& returned = bench.leader.pulls.back().asked.returned;
    REQUIRE(returned.size() == 1);
    CHECK(returned.front().item == batches::ItemRef{"b", "1"});
    CHECK(returned.front().partial.text == "made");
    CHECK(returned.front().partial.last_event == 1);
  };
  REQUIRE(bench.RunUntil(handed_back));
  check();
  const std::size_t pulls = bench.leader.pulls.size();
  const auto next_pull = [&] { return bench.leader.pulls.size() > pulls; };
  SECTION("after a refusal") {
    bench.leader.Refuse(bench.leader.pulls.back());
    REQUIRE(bench.RunUntil(next_pull));
    check();
  }
  SECTION("after it was given up for a newer one") {
    bench.Leave(1);
    REQUIRE(bench.RunUntil(next_pull));
    check();
    CHECK(bench.leader.pulls.back().asked.room == 1);
  }
  SECTION("but not once it was answered") {
    bench.leader.Answer(bench.leader.pulls.back(), {});
    REQUIRE(bench.RunUntil(next_pull));
    CHECK(bench.leader.pulls.back().asked.returned.empty());
  }
}

// Symptom and cause as for reports: what a gate could not hand back for a
// moment leaves in one ever larger pull.
TEST_CASE("what a pull hands back is bounded") {
  constexpr std::uint32_t kItems = 4;
  constexpr std::size_t kTextBytes = 100'000;
  Bench bench(kItems);
  bench.engine.ends = false;
  bench.engine.text = std::string(kTextBytes, 't');
  bench.leader.on_pull = [&](Leader::Pull& pull) {
    batches::PulledItems items;
    if (bench.leader.pulls.size() == 1) {
      for (std::uint32_t i = 0; i < kItems; ++i) {
        items.items.push_back(MakeItem(std::to_string(i), kAmpleTime));
      }
    }
    bench.leader.Answer(pull, items);
  };
  REQUIRE(bench.RunUntil([&] { return bench.engine.asked == kItems; }));
  bench.RunFor(milliseconds(100));
  bench.runner.Stop();
  std::set<std::string> returned;
  std::size_t looked_at = 0;
  REQUIRE(bench.RunUntil([&] {
    for (; looked_at < bench.leader.pulls.size(); ++looked_at) {
      const batches::PullItems& pull = bench.leader.pulls[looked_at].asked;
      CHECK(pull.returned.size() <= BatchRunner::kMostReturnBytes / kTextBytes);
      for (const batches::ReturnedItem& item : pull.returned) {
        CHECK(item.partial.text.size() == kTextBytes);
        returned.insert(item.item.item);
      }
      // What waits for the next pull is still this gate's.
      CHECK((returned.empty() ||
             pull.holding.size() + returned.size() == kItems));
    }
    return returned.size() == kItems;
  }));
  REQUIRE(bench.RunUntil(
      [&] { return bench.leader.pulls.back().asked.returned.empty(); }));
}

// Symptom: an item is run from its beginning though this gate has a part of
// it, and is given to another gate while it runs here. Sequence: the item waits
// to be handed back with the next pull when the answer to the one under way
// brings it here again. Cause: both were kept, the item and its return.
TEST_CASE("an item that comes back before it was handed back is held once") {
  const milliseconds late(-1000);
  Bench bench(2);
  bench.engine.ends = false;
  bench.engine.text = std::string(BatchRunner::kMostReturnBytes, 't');
  bool came_back = false;
  std::vector<batches::PullItems> after;
  bench.leader.on_pull = [&](Leader::Pull& pull) {
    batches::PulledItems items;
    if (bench.leader.pulls.size() == 1) {
      items.items = {MakeItem("1", late), MakeItem("2", late)};
    } else if (came_back) {
      after.push_back(pull.asked);
    } else if (!pull.asked.returned.empty()) {
      came_back = true;
      items.items = {MakeItem("2", late)};
    }
    bench.leader.Answer(pull, items);
  };
  REQUIRE(bench.RunUntil([&] { return bench.engine.asked == 2; }));
  bench.RunFor(milliseconds(300));
  bench.runner.Stop();
  REQUIRE(bench.RunUntil([&] { return !after.empty(); }));
  CHECK(after.front().returned.empty());
  CHECK(after.front().holding == std::vector<batches::ItemRef>{{"b", "2"}});
  REQUIRE(bench.RunUntil([&] { return !after.back().returned.empty(); }));
  CHECK(after.back().returned.front().partial.text == bench.engine.text);
}

// Symptom: while online requests come and go, items reach their gates late or
// not at all, though the links carry them again and again. Sequence: the leader
// leases items to a gate and answers with their bodies; before the answer is
// whole the gate's room changes by one; it cancels the pull and asks anew.
// Cause: any change of room, and anything to hand back, gave up a pull, however
// much was on its way.
TEST_CASE("a pull whose answer may be on its way is not given up") {
  constexpr std::uint32_t kSlots = 4;
  Bench bench(kSlots);
  const auto pulls = [&]() -> std::vector<Leader::Pull>& {
    return bench.leader.pulls;
  };
  const auto pulled = [&](std::size_t count) {
    return bench.RunUntil([&, count] { return pulls().size() >= count; });
  };
  REQUIRE(pulled(1));
  REQUIRE(pulls()[0].asked.room == kSlots);
  const auto hand_out = [&](std::size_t pull) {
    bench.leader.Answer(pulls()[pull], {{MakeItem("1", kAmpleTime)}, {}});
    CHECK(bench.RunUntil([&] { return bench.leader.listed.size() == 1; }));
  };
  SECTION("because room shrank just now") {
    bench.Occupy(1);
    bench.RunFor(BatchRunner::kAnswerTime / 2);
    CHECK_FALSE(pulls()[0].cancelled);
    CHECK(pulls().size() == 1);
    hand_out(0);
  }
  SECTION("because room grew, which a further pull can fill") {
    bench.Occupy(1);
    bench.Leave(1);
    bench.desk.SetSlots(kSlots + 2);
    bench.RunFor(3 * BatchRunner::kAnswerTime);
    CHECK_FALSE(pulls()[0].cancelled);
    hand_out(0);
  }
  SECTION("though the leader, which may hold it, hears of less room soon") {
    bench.Occupy(1);
    REQUIRE(pulled(2));
    CHECK(pulls()[1].at - pulls()[0].at > BatchRunner::kAnswerTime / 2);
    CHECK(pulls()[1].at - pulls()[0].at < 3 * BatchRunner::kAnswerTime);
    CHECK(pulls()[1].asked.room == kSlots - 1);
  }
  SECTION("while room goes up and down by one all the time") {
    constexpr auto kLate = BatchRunner::kAnswerTime / 2;
    bool occupied = false;
    const bool arrived = bench.RunUntil([&] {
      occupied ? bench.Leave(1) : bench.Occupy(1);
      occupied = !occupied;
      for (Leader::Pull& pull : pulls()) {
        if (!pull.answered && MonotonicNow() - pull.at >= kLate) {
          bench.leader.Answer(pull, {{MakeItem("1", kAmpleTime)}, {}});
        }
      }
      return bench.engine.asked > 0;
    });
    CHECK(arrived);
  }
  SECTION("and an answer that is longer under way arrives in the end") {
    // Each answer takes longer than the first pull may, and room shrinks at
    // each pull.
    constexpr auto kLate = 3 * BatchRunner::kAnswerTime;
    const bool arrived = bench.RunUntil([&] {
      const std::uint32_t room = bench.desk.FreeBatchSlots();
      if (room > 1 && pulls().back().asked.room == room) {
        bench.Occupy(1);
      }
      for (Leader::Pull& pull : pulls()) {
        if (!pull.answered && MonotonicNow() - pull.at >= kLate) {
          bench.leader.Answer(pull, {{MakeItem("1", kAmpleTime)}, {}});
        }
      }
      return bench.engine.asked > 0;
    });
    CHECK(arrived);
    CHECK(pulls()[0].cancelled);
  }
}

// Symptom: items wait for seconds beside an engine that is gone. Sequence: the
// engine of a gate stops answering while items run and wait there. Cause: the
// gate kept what it had, for an engine that the list still named.
TEST_CASE("what an engine that is gone held goes to others at once") {
  Bench bench(2);
  bench.engine.ends = false;
  bench.leader.on_pull = [&](Leader::Pull& pull) {
    if (bench.leader.pulls.size() == 1) {
      bench.leader.Answer(
          pull, {{MakeItem("1", kAmpleTime), MakeItem("2", kAmpleTime)}, {}});
    }
  };
  REQUIRE(bench.RunUntil([&] { return bench.engine.asked == 2; }));
  bench.RunFor(milliseconds(50));
  bench.runner.SetEngine("");
  bench.runner.HandBackAll();
  CHECK(bench.runner.Held() == 0);
  REQUIRE(bench.RunUntil(
      [&] { return bench.leader.pulls.back().asked.returned.size() == 2; }));
  const batches::PullItems& pull = bench.leader.pulls.back().asked;
  CHECK(pull.room == 0);
  CHECK(pull.returned[0].partial.last_event == 1);
  SECTION("and a gate that is not leaving takes items again later") {
    bench.leader.Answer(bench.leader.pulls.back(), {});
    bench.runner.SetEngine("e");
    REQUIRE(bench.RunUntil(
        [&] { return bench.leader.pulls.back().asked.room == 2; }));
  }
}

// An answer to a pull that asked for nothing carries no items, so nothing is
// lost with it, and the leader would hold it for a second though there is room.
TEST_CASE("a pull without room is given up as soon as there is room") {
  Bench bench(1);
  bench.Occupy(1);
  REQUIRE(bench.RunUntil([&] { return bench.leader.pulls.size() == 1; }));
  REQUIRE(bench.leader.pulls[0].asked.room == 0);
  bench.RunFor(milliseconds(50));
  const Time start = MonotonicNow();
  bench.Leave(1);
  REQUIRE(bench.RunUntil([&] { return bench.leader.pulls.size() == 2; }));
  CHECK(MonotonicNow() - start < BatchRunner::kAnswerTime / 2);
  CHECK(bench.leader.pulls[1].asked.room == 1);
}

}  // namespace papayarack::nodes
