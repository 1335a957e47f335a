#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "coordination/nodetable.h"
#include "nodes/fleetengines.h"

namespace papayarack::nodes {
namespace {

using coordination::NodeReport;
using coordination::NodeRole;
using std::chrono::milliseconds;

constexpr milliseconds kStep{50};
/// A report is answered after this long when nothing changes.
constexpr milliseconds kReportInterval{1000};
/// Maximum delay of the leader's changes: one tick of the leader and one hop.
constexpr milliseconds kSpread{150};
/// Maximum time without an owner after a loss.
constexpr milliseconds kLongestOwnerless{3000};

enum class Link { kThere, kCutOff, kGone };

struct Process {
  NodeReport report;
  Link link = Link::kThere;
  Time linked_since{};  ///< Since when `link` holds.
  Time next_report{};
  coordination::FleetKnowledge known;
};

/// A leader's real node table, and processes that report to it and follow its
/// list with different delays. Time advances in steps.
class FleetSimulation {
 public:
  FleetSimulation(std::size_t stores, std::size_t engines, std::size_t gates) {
    this->table.Clear(this->now);
    for (std::size_t i = 0; i < stores; ++i) {
      this->Add("store-" + std::to_string(i), NodeRole::kStore, {});
    }
    for (std::size_t i = 0; i < engines; ++i) {
      coordination::EngineInstance engine;
      engine.id = "i-" + std::to_string(i);
      engine.service = "llm";
      engine.address = "10.0.0." + std::to_string(i) + ":80";
      engine.zone = "z";
      engine.slots = 8;
      this->engines.push_back(engine);
      if (i < gates) {
        this->Add("gate-" + std::to_string(i), NodeRole::kGate, engine.address);
      }
    }
  }

  void Set(std::size_t process, Link link) {
    Process& changed = this->processes[process % this->processes.size()];
    if (changed.link != link) {
      changed.linked_since = this->now;
    }
    changed.link = link;
    if (link == Link::kGone) {
      changed.known = {};
    }
    this->last_change = this->now;
  }

  void Run(Duration time) {
    for (const Time until = this->now + time; this->now < until;) {
      this->now += kStep;
      this->ReportAll();
      this->table.DropSilent(this->now);
      this->FollowAll();
      this->Check();
    }
  }

  Duration LongestOwnerless() const { return this->longest_ownerless; }
  /// Maximum time for which two hosts that hear the leader own the same engine.
  Duration LongestShared() const { return this->longest_shared; }
  /// Maximum time for which a host still owns an engine after it was cut off
  /// from the leader.
  Duration LongestByOldList() const { return this->longest_by_old_list; }

 private:
  void Add(const std::string& name, NodeRole role, const std::string& engine) {
    Process process;
    process.report.name = name;
    process.report.role = static_cast<std::uint8_t>(role);
    process.report.address = name + ":7720";
    process.report.zone = "z";
    process.report.engine_address = engine;
    this->processes.push_back(process);
  }

  void ReportAll() {
    for (Process& process : this->processes) {
      if (process.link == Link::kThere && this->now >= process.next_report) {
        this->table.Take(process.report, this->now);
        process.next_report = this->now + kReportInterval;
      }
    }
  }

  /// Each process follows the list with a different part of the delay.
  void FollowAll() {
    for (std::size_t i = 0; i < this->processes.size(); ++i) {
      Process& process = this->processes[i];
      const auto turn = static_cast<std::size_t>(this->now.time_since_epoch() /
                                                 Duration(kStep));
      const bool hears = (turn + i) % (kSpread / kStep) == 0;
      if (process.link != Link::kThere || !hears) {
        continue;
      }
      process.known.nodes = this->table.ChangesFor(NodeRole::kStore, 0).set;
      process.known.engines = this->engines;
      process.known.hosts_known |= this->table.HostsKnown(this->now);
      process.known.heard = this->now;
    }
  }

  bool Owns(const Process& process, const std::string& engine) const {
    const auto owned =
        EnginesOwnedBy(process.known, process.report.address, this->now);
    return process.link != Link::kGone &&
           std::ranges::any_of(owned, [&engine](const EngineLocation& at) {
             return at.address == engine;
           });
  }

  std::size_t HostsOf(const std::string& engine, Link link) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(this->processes, [&](const Process& process) {
          return process.link == link && this->Owns(process, engine);
        }));
  }

  void CheckCutOff(const std::string& engine) {
    for (const Process& process : this->processes) {
      if (process.link == Link::kCutOff && this->Owns(process, engine)) {
        this->longest_by_old_list = std::max(this->longest_by_old_list,
                                             this->now - process.linked_since);
      }
    }
  }

  bool HasGate(const std::string& engine) const {
    return std::ranges::any_of(
        this->processes, [&engine](const Process& process) {
          return process.report.engine_address == engine &&
                 process.link != Link::kGone;
        });
  }

  bool SomeHostIsThere() const {
    return std::ranges::any_of(this->processes, [](const Process& process) {
      return process.report.Role() == NodeRole::kStore &&
             process.link == Link::kThere;
    });
  }

  void Check() {
    for (const coordination::EngineInstance& engine : this->engines) {
      this->CheckCutOff(engine.address);
      const std::size_t hosts = this->HostsOf(engine.address, Link::kThere);
      const bool owned = hosts > 0 || this->HasGate(engine.address);
      Time& since_owned = this->owned_last[engine.address];
      if (owned || !this->SomeHostIsThere()) {
        since_owned = this->now;
      }
      // A later loss restarts the wait.
      this->longest_ownerless =
          std::max(this->longest_ownerless,
                   this->now - std::max(since_owned, this->last_change));
      Time& since_alone = this->alone_last[engine.address];
      if (hosts < 2) {
        since_alone = this->now;
      }
      this->longest_shared =
          std::max(this->longest_shared, this->now - since_alone);
    }
  }

  coordination::NodeTable table;
  std::vector<Process> processes;
  std::vector<coordination::EngineInstance> engines;
  std::map<std::string, Time> owned_last;
  std::map<std::string, Time> alone_last;
  Duration longest_ownerless{0};
  Duration longest_shared{0};
  Duration longest_by_old_list{0};
  Time now{std::chrono::seconds(1)};
  Time last_change{std::chrono::seconds(1)};
};

}  // namespace

// Guards against an engine that is idle for seconds, or filled by two
// processes, after processes were lost, cut off from the leader or restored.
TEST_CASE("engine owners under random losses") {
  rc::check("an engine soon has an owner, and not two for long", [] {
    FleetSimulation simulation(*rc::gen::inRange<std::size_t>(1, 6),
                               *rc::gen::inRange<std::size_t>(1, 12),
                               *rc::gen::inRange<std::size_t>(0, 6));
    simulation.Run(std::chrono::seconds(4));
    const auto losses = *rc::gen::inRange(1, 12);
    for (int i = 0; i < losses; ++i) {
      simulation.Set(
          *rc::gen::inRange<std::size_t>(0, 100),
          *rc::gen::element(Link::kThere, Link::kCutOff, Link::kGone));
      simulation.Run(milliseconds(*rc::gen::inRange(0, 9000)));
    }
    RC_ASSERT(simulation.LongestOwnerless() <= kLongestOwnerless);
    RC_ASSERT(simulation.LongestShared() <= kSpread);
    RC_ASSERT(simulation.LongestByOldList() <= kHostListValidity);
  });
}

}  // namespace papayarack::nodes
