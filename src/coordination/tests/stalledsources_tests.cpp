#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/acknowledgementhold.h"
#include "coordination/transferplan.h"
#include "global/transfertime.h"

namespace papayarack::coordination {
namespace {

using std::chrono::milliseconds;

constexpr const char* kLeader = "leader";
constexpr std::uint64_t kVersion = 2;
constexpr std::size_t kTextBytes = 400'000;
/// Within which a change is to be in force after its acknowledgement.
constexpr milliseconds kInForce{2000};
/// The latest acknowledgement, which waits for nobody beyond its bound.
constexpr milliseconds kAcknowledged =
    AcknowledgementHold::kLongest + TransferTime(kTextBytes);
constexpr milliseconds kStep{20};
/// As TextFetch: a source that gives no first part, or no further one, for so
/// long is given up.
constexpr milliseconds kFirstSilence{500};
constexpr milliseconds kSourceSilence{1500};
/// As FleetWatch: the pause after a fetch that failed.
constexpr milliseconds kPause{40};
constexpr milliseconds kFetch{200};
constexpr milliseconds kFirstPart{60};
/// A process without news or need reports so often.
constexpr milliseconds kReportEvery{1000};

/// What befalls one process, counted from the commit of the version.
struct Stall {
  std::uint32_t process = 0;
  std::uint32_t begins_ms = 0;
};

void showValue(const Stall& stall, std::ostream& out) {
  out << "{" << stall.process << "," << stall.begins_ms << "}";
}

/// A fleet after the commit of a large version: a leader, members that read
/// their own logs, entries, and gates, which stand behind entries in turn. Some
/// of the processes that are no members stand still from some moment on; their
/// connections stay open. Time goes in steps.
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

  /// Entries that do not stand still and lack the version once it has to be in
  /// force.
  std::vector<std::string> LateEntries() {
    while (this->now < this->commit + kAcknowledged + kInForce) {
      this->Step();
    }
    std::vector<std::string> late;
    for (const Process& process : this->processes) {
      if (process.is_entry && !process.holds && !this->Stands(process)) {
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
  bool Stands(const Process& process) const {
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
    this->plan.Heard(report, this->now);
  }

  void Step() {
    this->now += kStep;
    for (Process& process : this->processes) {
      if (!this->Stands(process)) {
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

  /// The watch of one that stands still is open too: it is given a place.
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
      process.holds = !this->SourceStands(process);
      process.source.clear();
      process.next_ask = this->now + kPause;
      this->Report(process);
    } else if (news || this->now - process.reported >= kReportEvery) {
      this->Report(process);
    }
  }

  bool SourceStands(const Process& process) {
    return process.source != kLeader && this->Find(process.source).stalls_at <=
                                            process.source_since + kFetch;
  }

  bool SourceEnded(const Process& process) {
    const Duration took = this->now - process.source_since;
    if (!this->SourceStands(process)) {
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

// Guards against entries that obey an older configuration because the processes
// they were sent to for the new one stand still.
TEST_CASE("an entry has a new text in time though its sources stand still") {
  SECTION("as do those that were given all places at once") {
    Fleet fleet(2, 11, 0);
    for (std::uint32_t i = 0; i < 6; ++i) {
      fleet.Stop({i, 0});
    }
    CHECK(fleet.LateEntries().empty());
  }
  SECTION("as do those that had begun to fetch from all that have it") {
    Fleet fleet(2, 24, 0);
    for (std::uint32_t i = 0; i < 12; ++i) {
      fleet.Stop({i, 250});
    }
    CHECK(fleet.LateEntries().empty());
  }
  SECTION("two of them, one after the other") {
    Fleet fleet(2, 49, 6);
    for (const Stall& stall :
         {Stall{12, 0}, Stall{26, 0}, Stall{0, 421}, Stall{1, 681}}) {
      fleet.Stop(stall);
    }
    CHECK(fleet.LateEntries().empty());
  }
  SECTION("in fleets of any size, whoever stands still and when") {
    CHECK(rc::check("whoever stands still, and when", [] {
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
