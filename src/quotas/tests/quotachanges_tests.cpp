#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <optional>
#include <vector>

#include "quotas/creditbook.h"
#include "quotas/quotaauthority.h"

namespace papayarack::quotas {
namespace {

using std::chrono::milliseconds;

constexpr const char* kName = "acme";
constexpr std::size_t kEntries = 4;

int Draw(int end) { return *rc::gen::inRange(0, end); }

/// An entry, its report on the way to the leader, and the answer on the way
/// back.
struct Entry {
  CreditBook book;
  std::size_t version = 0;
  std::optional<ReportCredit> report;
  std::optional<CreditReply> reply;
  std::deque<Time> running;  ///< Arrivals that may prove not to have run.
};

/// A leader that has led for long and entries that hear of changes of a limit
/// at different times, and may miss some of them.
class Changes {
 public:
  explicit Changes(const QuotaLimit& last) : last(last) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      this->entries.push_back(
          {{"e" + std::to_string(i), 1, {}}, 0, {}, {}, {}});
    }
    this->authority.BeginTerm(this->now - std::chrono::minutes(1));
    this->versions.push_back({{kName, last}});
    this->TellAll();
  }

  /// The limit is removed, set, raised and lowered.
  void Change() {
    const std::array<QuotaLimits, 4> choices = {
        QuotaLimits{}, QuotaLimits{{kName, {2, 3}}},
        QuotaLimits{{kName, {73, 73}}}, QuotaLimits{{kName, this->last}}};
    this->versions.push_back(
        choices.at(static_cast<std::size_t>(Draw(choices.size()))));
  }
  /// From here on the last limit is in force everywhere.
  void End() {
    this->versions.push_back({{kName, this->last}});
    this->TellAll();
    this->ran.clear();
  }
  void Step() {
    this->now += milliseconds(Draw(30));
    if (Draw(10) == 0) {
      this->TellLeader();
    }
    for (Entry& entry : this->entries) {
      if (Draw(10) == 0) {
        this->Tell(entry);
      }
      this->Exchange(entry);
      for (int i = Draw(6); i > 0; --i) {
        this->Arrive(entry);
      }
    }
  }
  void Check() const {
    const QuotaTolerance tolerance;
    const double window = ToSeconds(tolerance.window);
    const double most =
        (this->last.requests_per_second * window + this->last.burst) *
            (1 + tolerance.share) +
        tolerance.requests;
    for (auto from = this->ran.begin(); from != this->ran.end(); ++from) {
      const auto to =
          std::lower_bound(from, this->ran.end(), *from + tolerance.window);
      RC_ASSERT(static_cast<double>(to - from) <= most);
    }
  }

 private:
  void TellAll() {
    this->TellLeader();
    for (Entry& entry : this->entries) {
      this->Tell(entry);
    }
  }
  void TellLeader() {
    if (this->leader_version != this->versions.size()) {
      this->authority.SetLimits(this->versions.back(), this->now);
      this->leader_version = this->versions.size();
    }
  }
  void Tell(Entry& entry) {
    if (entry.version != this->versions.size()) {
      entry.book.SetLimits(this->versions.back(), this->now);
      entry.version = this->versions.size();
    }
  }
  void Exchange(Entry& entry) {
    if (entry.reply.has_value() && Draw(3) > 0) {
      entry.book.Answered(*entry.reply, this->now);
      entry.reply.reset();
      entry.report.reset();
    } else if (entry.report.has_value() && Draw(3) > 0) {
      entry.reply = this->authority.Take(*entry.report, this->now);
    } else if (!entry.report.has_value() && entry.book.ReportDue(this->now)) {
      entry.report = entry.book.MakeReport(this->now);
    }
  }
  void Arrive(Entry& entry) {
    if (!entry.running.empty() && Draw(4) == 0) {
      entry.book.GiveBack(kName, entry.running.front(), this->now);
      entry.running.pop_front();
    }
    const Admission admission = entry.book.Admit(kName, this->now);
    if (!std::holds_alternative<Admitted>(admission)) {
      return;
    }
    if (Draw(6) == 0) {
      entry.running.push_back(this->now);
    } else {
      this->ran.push_back(this->now);
    }
  }

  QuotaLimit last;
  Time now{std::chrono::seconds(1000)};
  QuotaAuthority authority{QuotaTolerance{}};
  std::size_t leader_version = 0;
  std::vector<Entry> entries;
  std::vector<QuotaLimits> versions;
  std::vector<Time> ran;
};

}  // namespace

// Guards against credit from before a change that is used beside the credit
// from after it, or is used twice.
TEST_CASE("no window after changes of a limit has more than the limit allows") {
  const auto check = [](const QuotaLimit& last) {
    return rc::check("in random histories of changes", [&last] {
      constexpr int kChanges = 8;
      constexpr int kStepsOfOne = 40;
      constexpr int kStepsAfter = 400;
      Changes model(last);
      for (int change = 0; change < kChanges; ++change) {
        model.Change();
        for (int step = Draw(kStepsOfOne); step > 0; --step) {
          model.Step();
        }
      }
      model.End();
      for (int step = 0; step < kStepsAfter; ++step) {
        model.Step();
      }
      model.Check();
    });
  };
  SECTION("of a small organisation") { CHECK(check({2, 3})); }
  SECTION("of a large one") { CHECK(check({73, 73})); }
}

}  // namespace papayarack::quotas
