#ifndef PAPAYARACK_NODES_TESTS_RESULTFLEET_H_
#define PAPAYARACK_NODES_TESTS_RESULTFLEET_H_

#include <algorithm>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "batches/tests/storemember.h"
#include "nodes/batchrunner.h"
#include "nodes/tests/batchfixtures.h"

namespace papayarack::nodes {
using batches::StoreMember;
using std::chrono::milliseconds;

constexpr std::size_t kMembers = 3;
constexpr std::size_t kGates = 144;
constexpr std::uint32_t kSlots = 8;
constexpr std::size_t kTextBytes = 20'000;
constexpr std::size_t kItems = kGates * kSlots;
constexpr std::size_t kItemsOfBatch = 12;
constexpr double kWholeProcessor = 1.0;
constexpr milliseconds kStep{10};
constexpr milliseconds kTimeout{8000};

/// All engines share one address. Each answer is one event; the test ends it.
class Engines {
 public:
  explicit Engines(asio::io_context& context)
      : server(context, {"127.0.0.1", 0}, {}, this->Handlers()) {}

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server.port());
  }
  std::size_t Running() const { return this->running.size(); }
  /// Sends a comment on all streams, so that no run times out.
  void KeepAlive() {
    for (const http::ExchangeId exchange : this->running) {
      this->server.Write(exchange, ":\n\n");
    }
  }
  void End(std::size_t count) {
    for (; count > 0 && !this->running.empty(); --count) {
      this->server.EndStream(this->running.front());
      this->running.pop_front();
    }
  }

 private:
  http::HttpServerHandlers Handlers() {
    http::HttpServerHandlers handlers;
    handlers.on_request = [this](http::ExchangeId exchange,
                                 const http::HttpRequest& request) {
      this->server.BeginStream(
          exchange, 200,
          http::Headers{{"Id", std::string(request.headers.Get("Id"))}});
      this->server.Write(
          exchange, "id: 1\ndata: " + std::string(kTextBytes, 't') + "\n\n");
      this->running.push_back(exchange);
    };
    handlers.on_gone = [this](http::ExchangeId exchange) {
      std::erase(this->running, exchange);
    };
    return handlers;
  }

  http::HttpServer server;
  std::deque<http::ExchangeId> running;
};

/// A gate with its own connections to the group.
struct Gate {
  Gate(asio::io_context& context, const Engines& engines,
       const Dialect& dialect, const std::vector<std::string>& members,
       const std::string& name)
      : peers(context),
        jobs(context, this->peers, this->search),
        client(context),
        runner({name, 1, "llm", engines.Address()}, dialect, this->client,
               this->jobs, this->allocator) {
    this->search.SetMembers(members);
    this->allocator.SetSlots(kSlots);
    this->runner.SetEngine({"e", {"llm", "v1"}});
    this->runner.SetRoutes(MakeBatchTable());
  }

  transport::PeerClient peers;
  coordination::LeaderSearch search;
  coordination::GroupClient jobs;
  http::HttpClient client;
  slots::SlotAllocator allocator;
  BatchRunner runner;
};

/// The real group, gates and engines on one thread; members get a share of
/// processor time.
class Fleet {
 public:
  Fleet() {
    consensus::MemberList founders;
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < kMembers; ++i) {
      this->members.emplace_back(i + 1);
      addresses.push_back(this->members.back().Address());
      founders.members.push_back({i + 1, addresses.back(), true});
    }
    for (StoreMember& member : this->members) {
      member.Start(founders);
      member.SetRoutes(MakeBatchTable());
    }
    for (std::size_t i = 0; i < kGates; ++i) {
      this->gates.emplace_back(this->context, this->engines, this->dialect,
                               addresses, "g" + std::to_string(i));
    }
  }

  StoreMember* Leader() {
    const auto found = std::ranges::find_if(
        this->members, [](const StoreMember& member) { return member.leads; });
    return found != this->members.end() ? &*found : nullptr;
  }

  /// Runs one step in which each member may use `share` of a processor.
  void Step(double share) {
    const std::chrono::nanoseconds most(
        static_cast<std::int64_t>(share * 1e6 * kStep.count()));
    for (StoreMember& member : this->members) {
      if (&member != this->frozen) {
        member.RunWithin(most);
      }
    }
    if (MonotonicNow() >= this->next_comment) {
      this->next_comment = MonotonicNow() + milliseconds(1000);
      this->engines.KeepAlive();
    }
    this->context.run_for(milliseconds(2));
    this->context.restart();
    for (Gate& gate : this->gates) {
      gate.runner.Tick();
    }
  }

  /// Limits steps, not time: a step slowed down by other processes makes no
  /// more progress.
  bool RunUntil(const std::function<bool()>& done, double share,
                milliseconds time) {
    for (auto left = time / kStep; left > 0 && !done(); --left) {
      const Time begun = MonotonicNow();
      this->Step(share);
      std::this_thread::sleep_until(begun + kStep);
    }
    return done();
  }

  std::size_t HeldCount() const {
    std::size_t held = 0;
    for (const Gate& gate : this->gates) {
      held += gate.runner.HeldCount();
    }
    return held;
  }

  asio::io_context context;
  std::list<StoreMember> members;
  Engines engines{this->context};
  Dialect dialect = MakeBatchDialect();
  std::list<Gate> gates;
  Time next_comment{};
  const StoreMember* frozen = nullptr;  ///< Does not run.
};

/// Submits enough items to fill every slot, and waits until all run.
inline void FillSlots(Fleet& fleet) {
  REQUIRE(fleet.RunUntil([&] { return fleet.Leader() != nullptr; },
                         kWholeProcessor, kTimeout));
  std::vector<ResultCode> codes;
  for (std::size_t i = 0; i < kItems / kItemsOfBatch; ++i) {
    batches::SubmitBatch batch;
    batch.id = "b" + std::to_string(i);
    batch.host = "h";
    batch.route_key = "h/r/";
    for (std::size_t j = 0; j < kItemsOfBatch; ++j) {
      const std::string id = batch.id + "-" + std::to_string(j);
      batch.items.push_back({id, "/r/" + id, {}, "body", 100});
    }
    fleet.Leader()->Ask("/jobs/submit", batch, codes);
  }
  REQUIRE(fleet.RunUntil([&] { return fleet.engines.Running() == kItems; },
                         kWholeProcessor, 2 * kTimeout));
}

/// Maximum time until a result reaches the next leader: silent connection
/// closed, election, report retried.
inline milliseconds FailoverTime() {
  constexpr milliseconds kElection{1200};
  const transport::PeerClientOptions connection;
  return connection.ping_after + connection.silent_after + kElection +
         BatchRunner::kMaxReportBackoff;
}

/// Ends one run of each gate; true when all results are accepted in time.
inline bool ResultsAcceptedInTime(Fleet& fleet) {
  const std::size_t left = kItems - kGates;
  fleet.engines.End(kGates);
  return fleet.RunUntil([&] { return fleet.HeldCount() <= left; },
                        kWholeProcessor, FailoverTime());
}

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_TESTS_RESULTFLEET_H_
