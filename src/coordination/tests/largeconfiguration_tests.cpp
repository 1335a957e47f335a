#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/coordinator.h"
#include "coordination/fleetwatch.h"
#include "global/timepoint.h"
#include "linkrelay.h"
#include "storage/memoryfilesystem.h"

namespace papayarack::coordination {
namespace {

using std::chrono::milliseconds;

/// 48 texts of 400 KB are 19 MB, nearly 5 s of the link: three times the
/// timeout of a watch.
constexpr std::size_t kProcesses = 48;
/// A third of a VM's 100 Mbit/s, for a third of a fleet of 130.
constexpr std::uint64_t kLinkBytesPerSecond = 4'000'000;
constexpr std::size_t kFewRoutes = 10;
/// About 300 bytes each, 400 KB in all.
constexpr std::size_t kManyRoutes = 1400;
constexpr std::uint32_t kTextSeed = 20261202;
constexpr std::size_t kReplicas = 40;

/// Less than half of the 9 s within which a change must be in force.
constexpr milliseconds kLargeInForce{4000};
/// A change of a few bytes needs only a few messages.
constexpr milliseconds kSmallChangeInForce{2000};
/// A replica drains for 3 s; the list is read each 0.5 s.
constexpr milliseconds kReplicasKnown{2500};
/// Each process needs the text once, from any source; the leader serves only a
/// few.
constexpr std::uint64_t kMaxTextsFromLeader = 6;
/// After 2.5 s a new leader's table of processes is settled and sent to all.
/// Those bytes must not be counted as part of a small change.
constexpr milliseconds kSettled{3000};
/// Observation time beyond the bound, to distinguish late from never.
constexpr milliseconds kWatched{6500};
constexpr milliseconds kStarted{5000};
constexpr milliseconds kSlice{5};

/// Random, so that the text is hardly compressible.
std::string HexName(std::mt19937& random) {
  return fmt::format("{:08x}{:08x}", random(), random());
}

std::string RoutesText(std::size_t routes) {
  std::mt19937 random(kTextSeed);
  std::string text = "{\"routes\":[\n";
  for (std::size_t i = 0; i < routes; ++i) {
    text += fmt::format(
        R"({{"name":"route-{}","organisation":"{}","model":"{}","key_hash":)"
        R"("{}{}{}{}","service":"svc-{}","fallback":"svc-{}","weight":{},)"
        R"("limits":{{"requests":{},"tokens":{}}}}},)"
        "\n",
        HexName(random), HexName(random), HexName(random), HexName(random),
        HexName(random), HexName(random), HexName(random), HexName(random),
        HexName(random), random() % 100, random() % 1000, random() % 100000);
  }
  return text + "{}]}\n";
}

std::string WithOtherMiddle(const std::string& text) {
  constexpr std::string_view kOther = "#other#";
  std::string changed = text;
  return changed.replace(text.size() / 2, kOther.size(), kOther);
}

std::vector<EngineInstance> Replicas(bool draining) {
  std::vector<EngineInstance> replicas;
  for (std::size_t i = 0; i < kReplicas; ++i) {
    EngineInstance replica;
    replica.id = fmt::format("replica-{:02}", i);
    replica.service = "svc";
    replica.address = fmt::format("10.0.0.{}:8000", i + 1);
    replica.slots = 8;
    replica.draining = draining && i % 4 == 0;
    replicas.push_back(replica);
  }
  return replicas;
}

/// A process with a watch, and its server and client.
struct Process {
  Process(asio::io_context& context, std::size_t number,
          const std::string& seed)
      : owned(context, {"127.0.0.1", 0}, this->dispatch.For(this->server)),
        peers(context),
        watch(context, this->peers, this->Report(number), {seed},
              [](const FleetChange&) {}) {
    this->server = &this->owned;
    this->watch.ServeHints(this->server, this->dispatch, true);
    this->watch.Start();
  }

  /// Entries without a disk and gates are not members of a group; stores found
  /// the job group.
  NodeReport Report(std::size_t number) const {
    constexpr std::array kRoles = {NodeRole::kGate, NodeRole::kEntry,
                                   NodeRole::kGate, NodeRole::kStore};
    const NodeRole role = kRoles[number % kRoles.size()];
    NodeReport report;
    report.name = fmt::format("process-{}", number);
    report.role = static_cast<std::uint8_t>(role);
    report.address = fmt::format("127.0.0.1:{}", this->owned.port());
    report.zone = fmt::format("zone-{}", number % 3);
    report.incarnation = number + 1;
    report.member = role == NodeRole::kStore ? 1000 + number : 0;
    return report;
  }

  transport::PeerDispatch dispatch;
  transport::PeerServer* server = nullptr;
  transport::PeerServer owned;
  transport::PeerClient peers;
  FleetWatch watch;
};

/// A leader behind its VM's limited link, and the processes that watch it.
class Fleet {
 public:
  Fleet()
      : server_owned(this->context, {"127.0.0.1", 0},
                     this->dispatch.For(this->server)),
        link(this->context, this->LeaderItself(), kLinkBytesPerSecond),
        peers(this->context) {
    this->server = &this->server_owned;
    constexpr consensus::MemberId kMember = 1;
    consensus::CreateGroup(this->files, kCoordinationGroup,
                           {{{kMember, this->link.Address(), true}}});
    consensus::WriteIdentity(this->files, {kMember, "test"});
    CoordinatorOptions options;
    options.member = kMember;
    options.has_disk = true;
    options.address = this->link.Address();
    options.seeds = [this] {
      return std::vector<std::string>{this->link.Address()};
    };
    this->leader = std::make_unique<Coordinator>(
        this->context, this->files, options, this->peers, this->server,
        this->dispatch, [this](const auto& done) { done(this->replicas); },
        [](const std::string& reason) { FAIL(reason); });
    for (std::size_t i = 0; i < kProcesses; ++i) {
      this->processes.emplace_back(this->context, i, this->link.Address());
    }
  }

  /// Runs until `done` returns true or `limit` has passed. Returns the elapsed
  /// time.
  milliseconds RunUntil(const std::function<bool()>& done, milliseconds limit) {
    const Time start = MonotonicNow();
    const auto passed = [start] {
      return std::chrono::duration_cast<milliseconds>(MonotonicNow() - start);
    };
    while (!done() && passed() < limit) {
      this->context.run_for(kSlice);
      this->context.restart();
    }
    return passed();
  }

  void RunFor(milliseconds time) {
    this->RunUntil([] { return false; }, time);
  }

  /// Submits directly to the leader, not over the link, and waits for the
  /// acknowledgement.
  void Submit(std::uint64_t version, const std::string& text) {
    auto code = static_cast<int>(ResultCode::kNotReady);
    transport::CallHandlers handlers;
    handlers.on_message = [&code](const std::string& message) {
      code = DecodeMessage<GroupReply>(message).code;
    };
    bool ended = false;
    handlers.on_end = [&ended](transport::CallEnd) { ended = true; };
    this->peers.Call(this->LeaderItself(), "/coordination/submit",
                     EncodeMessage(SubmitConfiguration{version, text}),
                     std::move(handlers));
    this->RunUntil([&ended] { return ended; }, kStarted);
    REQUIRE(code == static_cast<int>(ResultCode::kOk));
  }

  std::size_t CountHolding(std::uint64_t version,
                           const std::string& text) const {
    return this->Count([&](const FleetKnowledge& known) {
      return known.config_version == version && known.config == text;
    });
  }

  std::size_t CountKnowing(const std::vector<EngineInstance>& list) const {
    return this->Count(
        [&](const FleetKnowledge& known) { return known.engines == list; });
  }

  /// Waits for a leader, and until a small configuration is in force.
  void StartWith(const std::string& text) {
    this->RunUntil([this] { return this->leader->Leads(); }, kStarted);
    REQUIRE(this->leader->Leads());
    this->Submit(1, text);
    this->RunUntil(
        [&] {
          return this->CountHolding(1, text) == kProcesses &&
                 this->CountKnowing(this->replicas) == kProcesses;
        },
        kStarted);
    REQUIRE(this->CountHolding(1, text) == kProcesses);
    REQUIRE(this->CountKnowing(this->replicas) == kProcesses);
  }

  std::uint64_t BytesCarried() const { return this->link.BytesCarried(); }
  void SetReplicas(std::vector<EngineInstance> list) {
    this->replicas = std::move(list);
  }

 private:
  Endpoint LeaderItself() const {
    return {"127.0.0.1", this->server_owned.port()};
  }

  std::size_t Count(
      const std::function<bool(const FleetKnowledge&)>& wanted) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(this->processes, [&](const Process& process) {
          return wanted(process.watch.knowledge());
        }));
  }

  asio::io_context context;
  storage::MemoryFileSystem files;
  std::vector<EngineInstance> replicas = Replicas(false);
  transport::PeerDispatch dispatch;
  transport::PeerServer* server = nullptr;
  transport::PeerServer server_owned;
  LinkRelay link;
  transport::PeerClient peers;
  std::unique_ptr<Coordinator> leader;
  std::list<Process> processes;
};

}  // namespace

// Guards against a large configuration that fills the leader's link. 1400 more
// routes (400 KB) in a fleet of 130 processes kept a link of 100 Mbit/s full
// for 30 s. The change was acknowledged after 30.2 s, the leader exceeded its
// memory limit of 88 MB, and processes kept an outdated configuration and list
// of replicas. The leader put the full text into each reply to a watch, 52 MB
// in all over 12 MB/s. A watch times out after 1.6 s and is sent again, and the
// next reply started from the first byte, so none arrived.
TEST_CASE("a large configuration spreads despite the leader's link limit") {
  const std::string small = RoutesText(kFewRoutes);
  const std::string large = RoutesText(kManyRoutes);
  REQUIRE(large.size() > 400'000);
  REQUIRE(large.size() < 450'000);
  Fleet fleet;
  fleet.StartWith(small);

  SECTION("all processes get it soon, few of them over that link") {
    std::uint64_t before = fleet.BytesCarried();
    fleet.Submit(2, large);
    const milliseconds taken = fleet.RunUntil(
        [&] { return fleet.CountHolding(2, large) == kProcesses; }, kWatched);
    CHECK(fleet.CountHolding(2, large) == kProcesses);
    CHECK(taken.count() <= kLargeInForce.count());
    CHECK(fleet.BytesCarried() - before <= kMaxTextsFromLeader * large.size());

    SECTION("then a small change sends less than one full text") {
      const std::string changed = WithOtherMiddle(large);
      fleet.RunFor(kSettled);
      before = fleet.BytesCarried();
      fleet.Submit(3, changed);
      fleet.RunUntil(
          [&] { return fleet.CountHolding(3, changed) == kProcesses; },
          kSmallChangeInForce);
      CHECK(fleet.CountHolding(3, changed) == kProcesses);
      CHECK(fleet.BytesCarried() - before <= changed.size());
    }
  }

  SECTION("replicas that start draining meanwhile are known in time") {
    fleet.Submit(2, large);
    const std::vector<EngineInstance> draining = Replicas(true);
    fleet.SetReplicas(draining);
    fleet.RunUntil([&] { return fleet.CountKnowing(draining) == kProcesses; },
                   kReplicasKnown);
    CHECK(fleet.CountKnowing(draining) == kProcesses);
  }
}

}  // namespace papayarack::coordination
