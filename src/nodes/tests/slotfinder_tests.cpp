#include <asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "nodes/slotfinder.h"
#include "transport/peerserver.h"

namespace papayarack::nodes {
namespace {

using std::chrono::milliseconds;

constexpr SlotFinder::RequestId kRequest = 7;
const ReplicaSoftware kVersion{"llm", "v1"};

SlotReply ReplyOf(SlotVerdict verdict) {
  SlotReply reply;
  reply.verdict = static_cast<std::uint8_t>(verdict);
  reply.engine_started_ms = 1;
  reply.service = "llm";
  reply.service_holds_ms = 500;
  return reply;
}

/// A gate that gives each ask the same reply, or none.
class FakeGate {
 public:
  explicit FakeGate(asio::io_context& context)
      : server(context, {"127.0.0.1", 0}, this->Handlers()) {}

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server.port());
  }

  /// Replies to the last ask.
  void Reply(const SlotReply& message) {
    this->server.Send(this->last_stream, EncodeMessage(message));
  }

  std::optional<SlotReply> reply;
  std::vector<AcquireSlot> asks;
  int released = 0;

 private:
  transport::PeerServerHandlers Handlers() {
    transport::PeerServerHandlers handlers;
    handlers.on_request = [this](transport::StreamId stream, std::string_view,
                                 const std::string& body) {
      this->asks.push_back(DecodeMessage<AcquireSlot>(body));
      this->last_stream = stream;
      if (this->reply.has_value()) {
        this->Reply(*this->reply);
      }
    };
    handlers.on_cancel = [this](transport::StreamId) { ++this->released; };
    return handlers;
  }

  transport::StreamId last_stream = 0;
  transport::PeerServer server;
};

/// A finder and the gates of two replicas; the first is chosen first.
struct Fixture {
  Fixture() : first(this->context), second(this->context) {
    this->first.reply = ReplyOf(SlotVerdict::kGranted);
    this->second.reply = ReplyOf(SlotVerdict::kGranted);
    placement::EngineOption option;
    option.address = "10.0.0.1:80";
    option.id = "e1";
    option.gate = this->first.Address();
    option.slots = 8;
    option.started_ms = 1;
    option.unowned_share = 1;
    option.software = kVersion;
    placement::EngineOption other = option;
    other.address = "10.0.0.2:80";
    other.id = "e2";
    other.gate = this->second.Address();
    this->chooser.SetOptions("llm", {option, other});
    this->chooser.Reported(other.address, {4}, MonotonicNow());
    SlotRequest request;
    request.id = "r1";
    request.service = "llm";
    request.organisation = "o1";
    this->finder.Set(kRequest, request);
  }

  /// Searches until the result is known; false when there is none.
  bool Find() {
    const Time now = MonotonicNow();
    this->finder.Find(kRequest, {now, now + std::chrono::seconds(5),
                                 std::chrono::seconds(1)});
    return this->RunUntil(
        [this] { return this->found.has_value() || this->none.has_value(); });
  }
  bool RunUntil(const std::function<bool()>& done) {
    const Time until = MonotonicNow() + std::chrono::seconds(3);
    while (!done() && MonotonicNow() < until) {
      this->context.run_for(milliseconds(2));
      this->context.restart();
      this->finder.CheckReply(kRequest, MonotonicNow());
    }
    return done();
  }

  SlotFinder::Handlers Handlers() {
    SlotFinder::Handlers handlers;
    handlers.on_asked = [this](SlotFinder::RequestId,
                               const placement::EngineOption& engine,
                               Time) { this->asked.push_back(engine); };
    handlers.on_found = [this](SlotFinder::RequestId, const FoundSlot& slot) {
      this->found = slot;
      ++this->times_found;
    };
    handlers.on_none = [this](SlotFinder::RequestId,
                              const placement::NoSlot& result) {
      this->none = result;
    };
    handlers.on_restart = [this](const placement::EngineRestart& restart) {
      this->restarted = restart.now.id;
    };
    return handlers;
  }

  asio::io_context context;
  Metrics metrics;
  transport::PeerClient peers{this->context};
  placement::EngineChooser chooser{1};
  SpeedLearner speed_learner{this->chooser, this->metrics};
  FakeGate first;
  FakeGate second;
  std::vector<placement::EngineOption> asked;
  std::optional<FoundSlot> found;
  int times_found = 0;
  std::optional<placement::NoSlot> none;
  std::string restarted;
  SlotFinder finder{this->peers, this->chooser, this->speed_learner, "z",
                    this->Handlers()};
};

}  // namespace

// Guards against slots that stay held after their request has ended, and
// against requests sent without a slot although a gate could grant one.
TEST_CASE("a slot is held until it is released") {
  Fixture fixture;
  REQUIRE(fixture.Find());
  REQUIRE(fixture.found.has_value());
  CHECK(fixture.found->engine.id == "e1");
  CHECK(fixture.found->granted);
  CHECK(fixture.found->service_holds_until > MonotonicNow());
  CHECK(fixture.found->service_holds_until <=
        MonotonicNow() + milliseconds(500));
  CHECK(fixture.finder.Holds(kRequest));
  REQUIRE(fixture.first.asks.size() == 1);
  CHECK(fixture.first.asks.front().organisation == "o1");
  CHECK(fixture.second.asks.empty());

  SECTION("whatever else its gate sends") {
    fixture.first.Reply(ReplyOf(SlotVerdict::kBusy));
    fixture.first.Reply(ReplyOf(SlotVerdict::kGranted));
    fixture.context.run_for(milliseconds(50));
    fixture.context.restart();
    CHECK(fixture.finder.Holds(kRequest));
    CHECK(fixture.times_found == 1);
    CHECK(fixture.asked.size() == 1);
    fixture.finder.Release(kRequest);
  }
  SECTION("by a request that goes on") { fixture.finder.Release(kRequest); }
  SECTION("by one that has ended") {
    fixture.finder.Remove(kRequest);
    fixture.finder.Remove(kRequest);
    fixture.finder.Set(kRequest, {"r1", "llm"});
  }
  CHECK_FALSE(fixture.finder.Holds(kRequest));
  CHECK(fixture.RunUntil([&] { return fixture.first.released == 1; }));
}

// Guards against a request that is rejected although another replica has a slot
// for it.
TEST_CASE("a gate that grants nothing is followed by another") {
  Fixture fixture;
  SECTION("it has no slot") {
    fixture.first.reply = ReplyOf(SlotVerdict::kBusy);
    fixture.first.reply->expected_wait_ms = 9000;
  }
  SECTION("its engine is down") {
    fixture.first.reply = ReplyOf(SlotVerdict::kClosed);
  }
  SECTION("it does not reply") { fixture.first.reply.reset(); }
  REQUIRE(fixture.Find());
  REQUIRE(fixture.found.has_value());
  CHECK(fixture.found->engine.id == "e2");
  CHECK(fixture.first.asks.size() == 1);
}

TEST_CASE("a search without a slot says how long one would take") {
  Fixture fixture;
  fixture.first.reply = ReplyOf(SlotVerdict::kBusy);
  fixture.first.reply->expected_wait_ms = 9000;
  fixture.second.reply = ReplyOf(SlotVerdict::kBusy);
  fixture.second.reply->expected_wait_ms = 8000;
  REQUIRE(fixture.Find());
  REQUIRE(fixture.none.has_value());
  CHECK_FALSE(fixture.none->no_replica);
  CHECK(fixture.finder.ShortestWait(kRequest) == milliseconds(8000));
  CHECK(fixture.finder.Asks(kRequest) == 2);
  CHECK_FALSE(fixture.finder.Holds(kRequest));
}

// Guards against requests that fail while a replica has no owner, although the
// replica runs.
TEST_CASE("a replica without an owner is used without a slot") {
  Fixture fixture;
  fixture.first.reply = ReplyOf(SlotVerdict::kNotOwner);
  REQUIRE(fixture.Find());
  REQUIRE(fixture.found.has_value());
  CHECK(fixture.found->engine.id == "e1");
  CHECK_FALSE(fixture.found->granted);
  CHECK_FALSE(fixture.finder.Holds(kRequest));
}

// Guards against text of two versions in one stream: a replica was upgraded
// under its id, which only its gate knows yet.
TEST_CASE("a stream does not go on at a replica that has restarted") {
  Fixture fixture;
  fixture.finder.ContinueOnly(kRequest, kVersion);
  fixture.first.reply->engine_started_ms = 2;
  REQUIRE(fixture.Find());
  REQUIRE(fixture.found.has_value());
  CHECK(fixture.found->engine.id == "e2");
  CHECK(fixture.restarted == "e1");
  CHECK_FALSE(fixture.asked.at(1).software.Known());
  CHECK(fixture.RunUntil([&] { return fixture.first.released == 1; }));
}

// Guards against a slot that is lost while its request looks for another, and
// against two that are held when it goes on.
TEST_CASE("a slot that is set aside is held while another is searched for") {
  Fixture fixture;
  REQUIRE(fixture.Find());
  REQUIRE(fixture.found->engine.id == "e1");
  fixture.finder.SetAside(kRequest);
  fixture.finder.Restart(kRequest, fixture.found->engine.Start());
  fixture.found.reset();
  SECTION("and held again when there is none") {
    fixture.second.reply = ReplyOf(SlotVerdict::kBusy);
    fixture.second.reply->expected_wait_ms = 9000;
    REQUIRE(fixture.Find());
    REQUIRE(fixture.none.has_value());
    fixture.finder.TakeBack(kRequest);
    CHECK(fixture.finder.Holds(kRequest));
    CHECK(fixture.first.released == 0);
  }
  SECTION("and held again when the search is ended") {
    fixture.second.reply.reset();
    const Time now = MonotonicNow();
    fixture.finder.Find(kRequest, {now, now + std::chrono::seconds(5),
                                   std::chrono::seconds(1)});
    REQUIRE(fixture.RunUntil([&] { return !fixture.second.asks.empty(); }));
    fixture.finder.TakeBack(kRequest);
    CHECK(fixture.RunUntil([&] { return fixture.second.released == 1; }));
    CHECK(fixture.finder.Holds(kRequest));
    CHECK(fixture.first.released == 0);
  }
  SECTION("and given back when there is one") {
    REQUIRE(fixture.Find());
    REQUIRE(fixture.found.has_value());
    CHECK(fixture.found->engine.id == "e2");
    fixture.finder.ReleaseSetAside(kRequest);
    CHECK(fixture.RunUntil([&] { return fixture.first.released == 1; }));
    CHECK(fixture.finder.Holds(kRequest));
    CHECK(fixture.second.released == 0);
  }
  fixture.finder.Release(kRequest);
  CHECK(fixture.RunUntil([&] {
    return fixture.first.released + fixture.second.released ==
           static_cast<int>(fixture.first.asks.size() +
                            fixture.second.asks.size()) -
               (fixture.none.has_value() ? 1 : 0);
  }));
}

// Guards against late messages of a gate that change a request which no longer
// waits for them.
TEST_CASE("replies to a search that was released are ignored") {
  Fixture fixture;
  fixture.first.reply.reset();
  const Time now = MonotonicNow();
  fixture.finder.Find(
      kRequest, {now, now + std::chrono::seconds(5), std::chrono::seconds(1)});
  REQUIRE(fixture.RunUntil([&] { return !fixture.first.asks.empty(); }));
  fixture.first.Reply(ReplyOf(SlotVerdict::kGranted));
  fixture.finder.Release(kRequest);
  CHECK(fixture.RunUntil([&] { return fixture.first.released == 1; }));
  CHECK_FALSE(fixture.found.has_value());
  CHECK_FALSE(fixture.none.has_value());
  CHECK(fixture.second.asks.empty());
}

// Guards against gates taken for lost because this process stood still.
TEST_CASE("time in which nothing was read is no delay of a gate") {
  Fixture fixture;
  fixture.first.reply.reset();
  const Time now = MonotonicNow();
  fixture.finder.Find(
      kRequest, {now, now + std::chrono::seconds(5), std::chrono::seconds(1)});
  const Time late = now + placement::SlotSearch::kAskTimeout * 2;
  fixture.finder.Excuse(placement::SlotSearch::kAskTimeout * 2, late);
  fixture.finder.CheckReply(kRequest, late);
  CHECK(fixture.asked.size() == 1);
  fixture.finder.CheckReply(
      kRequest, late + placement::SlotSearch::kAskTimeout + milliseconds(50));
  CHECK(fixture.asked.size() == 2);
}

// Guards against an item that is preempted although another gate has a free
// slot, and against a caller that gets none where all gates would preempt.
TEST_CASE("a caller of an organisation spares batch items") {
  Fixture fixture;
  fixture.first.reply = ReplyOf(SlotVerdict::kWouldPreempt);
  SECTION("where another gate has a free slot") {
    REQUIRE(fixture.Find());
    REQUIRE(fixture.found.has_value());
    CHECK(fixture.found->engine.id == "e2");
    CHECK(fixture.first.asks.front().spares_items);
  }
  SECTION("until no gate is left that was not asked") {
    fixture.second.reply = ReplyOf(SlotVerdict::kWouldPreempt);
    fixture.Find();
    REQUIRE(fixture.first.asks.size() == 2);
    CHECK(fixture.first.asks.front().spares_items);
    CHECK_FALSE(fixture.first.asks.back().spares_items);
  }
}

}  // namespace papayarack::nodes
