#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/transferplan.h"

namespace papayarack::coordination {
namespace {

/// Simulates processes that need a text, with the plan under test. A round is
/// the time of one fetch.
class Spread {
 public:
  struct Process {
    std::string name;
    std::string zone;
    bool present = true;
    bool holds = false;
    std::string source;        ///< Empty: fetches from none.
    int failures_left = 0;     ///< Number of next fetches from it that fail.
    bool goes_silent = false;  ///< Once it has a source.
    bool silent = false;       ///< Neither fetches nor reports.
    std::string failed_from;
    int failed_round = -100;
  };

  explicit Spread(std::size_t count) {
    constexpr std::size_t kZones = 3;
    for (std::size_t i = 0; i < count; ++i) {
      Process process;
      process.name = "p" + std::to_string(i);
      process.zone = "z" + std::to_string(i % kZones);
      this->processes[process.name] = process;
    }
    this->plan.SetVersion(kVersion);
  }

  /// All processes report, those that need a source request one, and the
  /// fetches end.
  void Round() {
    this->now += kRound;
    ++this->rounds;
    this->plan.ForgetSilent(this->now);
    for (auto& [name, process] : this->processes) {
      this->Report(process);
    }
    for (auto& [name, process] : this->processes) {
      this->AskFor(process);
    }
    if (this->leader_changes) {
      this->leader_changes = false;
      this->plan.Clear();
      for (auto& [name, process] : this->processes) {
        this->Report(process);
      }
      for (auto& [name, process] : this->processes) {
        this->AskFor(process);
      }
    }
    this->CountLoads();
    for (auto& [name, process] : this->processes) {
      this->EndFetch(process);
    }
  }

  int RoundsTillAllHold(int most) {
    while (this->rounds < most && !this->AllHold()) {
      this->Round();
    }
    return this->rounds;
  }

  bool AllHold() const {
    return std::ranges::all_of(this->processes, [](const auto& entry) {
      const Process& process = entry.second;
      return !process.present || process.holds || process.silent;
    });
  }

  void Remove(const std::string& name) {
    this->processes.at(name).present = false;
    this->plan.Remove(name);
  }

  /// Addresses are names here.
  static constexpr const char* kLeader = "leader";
  static constexpr std::uint64_t kVersion = 5;
  /// 400 KB in parts on a shared link: about a second.
  static constexpr std::chrono::milliseconds kRound{1000};

  std::map<std::string, Process> processes;
  TransferPlan plan{kLeader};
  Time now{std::chrono::seconds(100)};
  int rounds = 0;
  bool leader_changes = false;  ///< In the next round, during fetches.
  std::size_t most_served = 0;  ///< By one process at once.
  std::size_t leader_gave = 0;  ///< Copies.
  int same_again = 0;           ///< A failed source was assigned again at once.

 private:
  void Report(Process& process) {
    if (process.present && !process.silent) {
      TransferReport report;
      report.name = process.name;
      report.address = process.name;
      report.zone = process.zone;
      report.held = process.holds ? kVersion : 1;
      report.fetching_from = process.source;
      this->plan.OnReport(report, this->now);
    }
  }

  void AskFor(Process& process) {
    if (!process.present || process.holds || process.silent ||
        !process.source.empty()) {
      return;
    }
    const std::optional<std::string> source =
        this->plan.Assign(process.name, this->now);
    if (source.has_value()) {
      process.source = *source;
      process.silent = process.goes_silent;
      const bool soon = this->rounds - process.failed_round < 2;
      this->same_again += soon && process.failed_from == *source ? 1 : 0;
    }
  }

  void CountLoads() {
    std::map<std::string, std::size_t> served;
    for (const auto& [name, process] : this->processes) {
      if (process.present && !process.source.empty() && !process.silent) {
        this->most_served =
            std::max(this->most_served, ++served[process.source]);
      }
    }
    this->leader_gave += served[kLeader];
  }

  void EndFetch(Process& process) {
    if (!process.present || process.source.empty() || process.silent) {
      return;
    }
    const std::string source = std::exchange(process.source, {});
    if (source == kLeader) {
      process.holds = true;
      return;
    }
    Process& giver = this->processes.at(source);
    process.holds = giver.present && giver.failures_left == 0;
    if (!process.holds) {
      giver.failures_left -= giver.failures_left > 0 ? 1 : 0;
      process.failed_from = source;
      process.failed_round = this->rounds;
    }
  }
};

/// Rounds needed if each source serves two fetches at a time, plus `slack`.
int LogarithmicRounds(std::size_t count, int slack) {
  constexpr double kFactor = 3.0;
  return static_cast<int>(std::ceil(std::log(static_cast<double>(count)) /
                                    std::log(kFactor))) +
         slack;
}

}  // namespace

TEST_CASE("a text spreads from process to process") {
  const std::size_t count = GENERATE(std::size_t{130}, std::size_t{300});
  CAPTURE(count);
  Spread spread(count);

  SECTION("in a number of rounds logarithmic in that of processes") {
    constexpr int kSlack = 0;
    CHECK(spread.RoundsTillAllHold(100) <= LogarithmicRounds(count, kSlack));
    CHECK(spread.AllHold());
    CHECK(spread.most_served <= TransferPlan::kMaxFetchers);
    // At most two in each of 5 or 6 rounds.
    constexpr std::size_t kFewCopies = 10;
    CHECK(spread.leader_gave <= kFewCopies);
    // The last processes report it in the next round.
    spread.Round();
    CHECK(spread.plan.Holders() == count);
  }
  SECTION("although every fifth source fails at first") {
    for (std::size_t i = 0; i < count; i += 5) {
      constexpr int kFailures = 3;
      spread.processes.at("p" + std::to_string(i)).failures_left = kFailures;
    }
    constexpr int kSlack = 2;
    CHECK(spread.RoundsTillAllHold(100) <= LogarithmicRounds(count, kSlack));
    CHECK(spread.AllHold());
    CHECK(spread.most_served <= TransferPlan::kMaxFetchers);
    // A failed source is not assigned again to the process that it failed.
    CHECK(spread.same_again == 0);
  }
  SECTION("although some fall silent once they have a source") {
    for (std::size_t i = 0; i < count; i += 6) {
      spread.processes.at("p" + std::to_string(i)).goes_silent = true;
    }
    // Their sources' slots are free again after kForgetAfter, three rounds.
    constexpr int kSlack = 1;
    CHECK(spread.RoundsTillAllHold(100) <= LogarithmicRounds(count, kSlack));
    CHECK(spread.AllHold());
    CHECK(spread.most_served <= TransferPlan::kMaxFetchers);
  }
  SECTION("although some sources disappear") {
    for (int round = 0; round < 3; ++round) {
      spread.Round();
      const auto holder =
          std::ranges::find_if(spread.processes, [](const auto& entry) {
            return entry.second.present && entry.second.holds;
          });
      REQUIRE(holder != spread.processes.end());
      spread.Remove(holder->first);
    }
    constexpr int kSlack = 1;
    CHECK(spread.RoundsTillAllHold(100) <= LogarithmicRounds(count, kSlack));
    CHECK(spread.AllHold());
    CHECK(spread.most_served <= TransferPlan::kMaxFetchers);
  }
  SECTION("although the leader changes during fetches") {
    spread.Round();
    spread.Round();
    spread.Round();
    spread.leader_changes = true;
    constexpr int kSlack = 0;
    CHECK(spread.RoundsTillAllHold(100) <= LogarithmicRounds(count, kSlack));
    CHECK(spread.AllHold());
    CHECK(spread.most_served <= TransferPlan::kMaxFetchers);
  }
  SECTION("although the leader changes between two rounds") {
    spread.Round();
    spread.Round();
    spread.plan.Clear();
    constexpr int kSlack = 0;
    CHECK(spread.RoundsTillAllHold(100) <= LogarithmicRounds(count, kSlack));
    CHECK(spread.AllHold());
    CHECK(spread.most_served <= TransferPlan::kMaxFetchers);
  }
}

TEST_CASE("a member of the group reads its own copy") {
  TransferPlan plan("leader");
  plan.SetVersion(2);
  const Time now{std::chrono::seconds(100)};
  const TransferReport member{"m", "m", "z", 0, 1, {}, true};
  plan.OnReport(member, now);
  CHECK(plan.Assign("m", now) == "m");
  SECTION("and retries that for a while if it lacks the version") {
    Time later = now;
    for (std::size_t i = 1; i < TransferPlan::kMaxOwnCopyAttempts; ++i) {
      plan.OnReport(member, later);
      CHECK_FALSE(plan.Assign("m", later).has_value());
      later += TransferPlan::kOwnCopyRetryDelay;
      CHECK(plan.Assign("m", later) == "m");
    }
    SECTION("then fetches from another source") {
      plan.OnReport(member, later);
      CHECK(plan.Assign("m", later + TransferPlan::kOwnCopyRetryDelay) ==
            "leader");
    }
    SECTION("while other processes may still fetch from it") {
      TransferReport holder = member;
      holder.held = 2;
      plan.OnReport(member, later);
      plan.OnReport(holder, later);
      plan.OnReport({"n", "n", "z", 1, 1, {}, false}, later);
      CHECK(plan.Assign("n", later) == "m");
    }
  }
  SECTION("and a process that has not reported gets no source") {
    CHECK_FALSE(plan.Assign("stranger", now).has_value());
  }
}

// Guards against processes that request a source from the leader many times a
// second after most of a fleet was killed. The dead processes had the text and
// stay listed for 4 s; each process is sent from one to the next if a dead
// source is remembered only for the process that it failed.
TEST_CASE("a source that failed one process is not assigned for a while") {
  TransferPlan plan("leader");
  plan.SetVersion(2);
  const Time now{std::chrono::seconds(100)};
  const TransferReport dead{"dead", "dead", "z", 1, 2, {}, false};
  const TransferReport first{"first", "first", "z", 1, 1, {}, false};
  const TransferReport second{"second", "second", "z", 1, 1, {}, false};
  plan.OnReport(dead, now);
  plan.OnReport(first, now);
  plan.OnReport(second, now);
  REQUIRE(plan.Assign("first", now) == "dead");

  SECTION("if the process asks again without the text") {
    plan.OnReport(first, now);
    CHECK(plan.Assign("second", now) == "leader");
    const Time later = now + TransferPlan::kSourceBackoff;
    plan.OnReport(dead, later);
    CHECK(plan.Assign("second", later) == "dead");
  }
  SECTION("unless that process itself has restarted") {
    TransferReport anew = first;
    anew.incarnation = 2;
    plan.OnReport(anew, now);
    CHECK(plan.Assign("second", now) == "dead");
  }
  SECTION("except the leader, which may be the only source") {
    plan.OnReport(first, now);
    REQUIRE(plan.Assign("first", now) == "leader");
    plan.OnReport(first, now);
    CHECK(plan.Assign("second", now) == "leader");
    CHECK(plan.HasFreeSource(now));
  }
}

namespace {

/// The report of a process that has version `held` of the text.
TransferReport Holds(const std::string& name, std::uint64_t held,
                     std::string fetching_from = {}) {
  return {name, name, "z", 1, held, std::move(fetching_from), false};
}

}  // namespace

// Guards against sources that serve twice as many fetches as allowed after a
// change of leader. The new leader starts with an empty plan, and counted only
// fetches that it assigned itself.
TEST_CASE("fetches that a previous leader assigned use their slots") {
  TransferPlan plan("leader");
  plan.SetVersion(2);
  const Time now{std::chrono::seconds(100)};
  plan.OnReport(Holds("source", 2), now);
  plan.OnReport(Holds("a", 1, "source"), now);
  plan.OnReport(Holds("b", 1, "source"), now);
  plan.OnReport(Holds("c", 1), now);
  CHECK(plan.Assign("c", now) == "leader");

  SECTION("until the fetch ends") {
    plan.OnReport(Holds("a", 2), now);
    plan.OnReport(Holds("d", 1), now);
    CHECK(plan.Assign("d", now) != "leader");
  }
  SECTION("until it times out, and again once it is reported") {
    const Time late = now + TransferPlan::kForgetAfter + Duration(1);
    plan.ForgetSilent(late);
    plan.OnReport(Holds("a", 1, "source"), late);
    plan.OnReport(Holds("b", 1, "source"), late);
    plan.OnReport(Holds("d", 1), late);
    CHECK(plan.Assign("d", late) == "leader");
  }
  SECTION("and its source is avoided if the fetch fails") {
    plan.OnReport(Holds("a", 1), now);
    CHECK(plan.Assign("a", now) == "leader");
  }
}

// Guards against a change that reaches some processes two seconds late because
// it follows another within a second. A process has fetched version 2 when
// version 3 is submitted; its source must not count as failed, and be avoided
// for 2 s, because what it served is no longer the newest.
TEST_CASE("a source that served a version that was newest has not failed") {
  TransferPlan plan("leader");
  plan.SetVersion(2);
  const Time now{std::chrono::seconds(100)};
  plan.OnReport(Holds("a", 1), now);
  REQUIRE(plan.Assign("a", now) == "leader");
  plan.SetVersion(3);
  SECTION("if a newer version was submitted meanwhile") {
    plan.OnReport(Holds("a", 2), now);
    CHECK(plan.Assign("a", now) == "leader");
  }
  SECTION("but it has if it did not serve that version") {
    plan.OnReport(Holds("a", 1), now);
    CHECK_FALSE(plan.Assign("a", now).has_value());
    CHECK(plan.Assign("a", now + TransferPlan::kSourceBackoff) == "leader");
  }
}

// Guards against a process that never gets a new text although the leader has
// it. It cannot reach two of the sources; each fetch fails after 1.5 s,
// and it alternates between them, as only the source that failed last is
// avoided, for 2 s.
TEST_CASE("a process that cannot reach some sources gets the text") {
  const int unreachable = GENERATE(1, 2, 5, 20);
  CAPTURE(unreachable);
  constexpr std::chrono::milliseconds kFetchTimeout{1500};
  TransferPlan plan("leader");
  plan.SetVersion(2);
  Time now{std::chrono::seconds(100)};
  for (int i = 0; i < unreachable; ++i) {
    plan.OnReport(Holds("h" + std::to_string(i), 2), now);
  }
  int fetches = 0;
  std::optional<std::string> source;
  while (source != "leader" && fetches < 100) {
    plan.OnReport(Holds("a", 1), now);
    source = plan.Assign("a", now);
    if (source.has_value()) {
      plan.OnReport(Holds("a", 1, *source), now);
      ++fetches;
    }
    now += kFetchTimeout;
  }
  // It fetches from the leader after at most one failed source.
  CHECK(fetches <= 2);
  SECTION("and tries those again after a long time") {
    plan.OnReport(Holds("a", 2), now);
    plan.SetVersion(3);
    plan.OnReport(Holds("h0", 3), now);
    plan.OnReport(Holds("a", 2), now);
    CHECK(plan.Assign("a", now) == "leader");
    plan.OnReport(Holds("a", 2), now);
    now += TransferPlan::kFailureRetention;
    plan.OnReport(Holds("a", 2), now);
    plan.OnReport(Holds("h0", 3), now);
    CHECK(plan.Assign("a", now) == "h0");
  }
}

}  // namespace papayarack::coordination
