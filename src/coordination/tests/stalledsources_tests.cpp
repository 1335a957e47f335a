#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/acknowledgementqueue.h"
#include "coordination/transferplan.h"
#include "global/transfertime.h"

namespace papayarack::coordination {
namespace {

using std::chrono::milliseconds;

constexpr const char* kLeader = "leader";
constexpr std::uint64_t kVersion = 2;
constexpr std::size_t kTextBytes = 400'000;
/// Time within which a change must be in force after its acknowledgement.
constexpr milliseconds kInForce{2000};
/// The latest time of the acknowledgement, which waits no longer than its
/// bound.
constexpr milliseconds kAcknowledged =
    AcknowledgementQueue::kMaxDelay + TransferTime(kTextBytes);
constexpr milliseconds kStep{20};
/// As in TextFetch: timeouts of the first part and of each further one.
constexpr milliseconds kFirstSilence{500};
constexpr milliseconds kSourceSilence{1500};
/// As in FleetWatch: the delay after a failed fetch.
constexpr milliseconds kPause{40};
constexpr milliseconds kFetch{200};
constexpr milliseconds kFirstPart{60};
/// Interval at which a process reports if nothing has changed.
constexpr milliseconds kReportInterval{1000};

/// A stall of one process, relative to the commit of the version.
struct Stall {
  std::uint32_t process = 0;
  std::uint32_t begins_ms = 0;
};

void showValue(const Stall& stall, std::ostream& out) {
  out << "{" << stall.process << "," << stall.begins_ms << "}";
}

/// Simulates a fleet after the commit of a large version, in time steps: a
/// leader, members that read their own logs, entries, and gates, which are
/// served after entries. Some of the processes that are not members stall from
/// some time on; their connections stay open.
class Fleet {
 public:
  Fleet(int members, int entries, int gates) {
    for (int i = 0; i < members; ++i) {
      this->AddProcess(fmt::format("member-{}", i)).is_member = true;
    }
    for (int i = 0; i < entries; ++i) {
      this->others.push_back(
          this->AddProcess(fmt::format("entry-{:02}", i)).name);
      this->processes.back().is_entry = true;
    }
    for (int i = 0; i < gates; ++i) {
      this->others.push_back(
          this->AddProcess(fmt::format("gate-{:02}", i)).name);
    }
    this->plan.SetVersion(kVersion);
    for (Process& process : this->processes) {
      this->Report(process);
    }
  }

  void Stop(const Stall& stall) {
    Process& process =
        this->Find(this->others[stall.process % this->others.size()]);
    process.stalls_at = std::min(process.stalls_at,
                                 this->commit + milliseconds(stall.begins_ms));
  }

  /// Entries that are not stalled and lack the version when it must be in
  /// force.
  std::vector<std::string> LateEntries() {
    while (this->now < this->commit + kAcknowledged + kInForce) {
      this->Step();
    }
    std::vector<std::string> late;
    for (const Process& process : this->processes) {
      if (process.is_entry && !process.holds && !this->IsStalled(process)) {
        late.push_back(process.name);
      }
    }
    return late;
  }

 private:
  struct Process {
    std::string name;
    bool is_member = false;
    bool is_entry = false;
    bool holds = false;
    std::string source;
    Time stalls_at = Time::max();
    Time source_since{};
    Time next_ask{};
    Time reported{};
  };

  Process& AddProcess(std::string name) {
    Process process;
    process.name = std::move(name);
    process.next_ask = this->now;
    this->processes.push_back(std::move(process));
    return this->processes.back();
  }
  Process& Find(const std::string& name) {
    return *std::ranges::find(this->processes, name, &Process::name);
  }
  bool IsStalled(const Process& process) const {
    return this->now >= process.stalls_at;
  }

  void Report(Process& process) {
    process.reported = this->now;
    TransferReport report;
    report.name = process.name;
    report.address = process.name;
    report.held = process.holds ? kVersion : 1;
    report.fetching_from = process.source;
    report.is_member = process.is_member;
    this->plan.OnReport(report, this->now);
  }

  void Step() {
    this->now += kStep;
    for (Process& process : this->processes) {
      if (!this->IsStalled(process)) {
        this->Fetch(process);
      }
    }
    this->plan.ForgetSilent(this->now);
    for (const bool entries : {true, false}) {
      for (Process& process : this->processes) {
        if (process.is_entry == entries) {
          this->Offer(process);
        }
      }
    }
  }

  /// The watch of a stalled process is open too, so it gets a slot.
  void Offer(Process& process) {
    if (process.holds || !process.source.empty() ||
        this->now < process.next_ask) {
      return;
    }
    const auto source = this->plan.Assign(process.name, this->now);
    if (source.has_value()) {
      process.source = *source;
      process.source_since = this->now;
    }
  }

  void Fetch(Process& process) {
    const bool news = process.source_since == this->now - kStep;
    if (!process.source.empty() && this->SourceEnded(process)) {
      process.holds = !this->SourceStalled(process);
      process.source.clear();
      process.next_ask = this->now + kPause;
      this->Report(process);
    } else if (news || this->now - process.reported >= kReportInterval) {
      this->Report(process);
    }
  }

  bool SourceStalled(const Process& process) {
    return process.source != kLeader && this->Find(process.source).stalls_at <=
                                            process.source_since + kFetch;
  }

  bool SourceEnded(const Process& process) {
    const Duration took = this->now - process.source_since;
    if (!this->SourceStalled(process)) {
      return took >= kFetch;
    }
    const bool gave_some = this->Find(process.source).stalls_at >
                           process.source_since + kFirstPart;
    return took >= (gave_some ? kSourceSilence : kFirstSilence);
  }

  TransferPlan plan{kLeader};
  Time commit{std::chrono::seconds(100)};
  Time now = commit;
  std::vector<Process> processes;
  std::vector<std::string> others;
};

rc::Gen<Stall> AnyStall() {
  return rc::gen::build<Stall>(
      rc::gen::set(&Stall::process, rc::gen::inRange<std::uint32_t>(0, 100)),
      rc::gen::set(&Stall::begins_ms,
                   rc::gen::inRange<std::uint32_t>(0, 1000)));
}

}  // namespace

// Guards against entries that use an older configuration because the sources
// assigned to them for the new one are stalled.
TEST_CASE("an entry gets a new text in time although sources stall") {
  SECTION("as those with the first slots stall at once") {
    Fleet fleet(2, 11, 0);
    for (std::uint32_t i = 0; i < 6; ++i) {
      fleet.Stop({i, 0});
    }
    CHECK(fleet.LateEntries().empty());
  }
  SECTION("as those that fetch from all sources stall") {
    Fleet fleet(2, 24, 0);
    for (std::uint32_t i = 0; i < 12; ++i) {
      fleet.Stop({i, 250});
    }
    CHECK(fleet.LateEntries().empty());
  }
  SECTION("as two of its sources stall one after the other") {
    Fleet fleet(2, 49, 6);
    for (const Stall& stall :
         {Stall{12, 0}, Stall{26, 0}, Stall{0, 421}, Stall{1, 681}}) {
      fleet.Stop(stall);
    }
    CHECK(fleet.LateEntries().empty());
  }
  SECTION("in fleets of any size, with any stalls") {
    CHECK(rc::check("any stalls", [] {
      const int members = *rc::gen::inRange(2, 9);
      const int entries = *rc::gen::inRange(2, 60);
      const int gates = *rc::gen::inRange(0, 60);
      const auto stalls = *rc::gen::container<std::vector<Stall>>(AnyStall());
      Fleet fleet(members, entries, gates);
      for (const Stall& stall : stalls) {
        fleet.Stop(stall);
      }
      RC_ASSERT(fleet.LateEntries().empty());
    }));
  }
}

}  // namespace papayarack::coordination
