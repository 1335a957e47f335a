#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "quotas/creditbook.h"
#include "quotas/quotaauthority.h"

namespace papayarack::quotas {
namespace {

using std::chrono::milliseconds;

constexpr const char* kName = "acme";

bool Runs(const Admission& admission) {
  return std::holds_alternative<Admitted>(admission);
}
bool Waits(const Admission& admission) {
  return std::holds_alternative<AwaitCredit>(admission);
}

/// An entry beside a leader that has led for long.
struct Fixture {
  explicit Fixture(const QuotaLimit& limit) {
    this->authority.BeginTerm(this->now - std::chrono::minutes(1));
    this->SetLimit(limit);
    this->now += std::chrono::minutes(1);
  }
  void SetLimit(const QuotaLimit& limit) {
    this->authority.SetLimits({{kName, limit}}, this->now);
    this->book.SetLimits({{kName, limit}}, this->now);
  }
  void Exchange() {
    const ReportCredit report = this->book.MakeReport(this->now);
    this->book.Answered(this->authority.Take(report, this->now), this->now);
  }
  Admission Admit() { return this->book.Admit(kName, this->now); }

  Time now{std::chrono::seconds(1000)};
  QuotaTolerance tolerance;
  QuotaAuthority authority{tolerance};
  CreditBook book{"e1", 1, tolerance};
};

}  // namespace

TEST_CASE("an entry admits what its organisation may send") {
  Fixture fixture({10, 20});

  SECTION("one without a limit costs nothing") {
    CHECK(Runs(fixture.book.Admit("bolt", fixture.now)));
    CHECK_FALSE(fixture.book.ReportDue(fixture.now));
  }
  SECTION("the first request waits for credit, the next ones do not") {
    CHECK(Waits(fixture.Admit()));
    CHECK(fixture.book.ReportDue(fixture.now));
    fixture.Exchange();
    CHECK(Runs(fixture.book.AdmitWaiting(kName, fixture.now)));
    CHECK(Runs(fixture.Admit()));
  }
  SECTION("beyond the limit it refuses at once, and says when to return") {
    int ran = 0;
    std::vector<milliseconds> turns;
    for (int i = 0; i < 200; ++i) {
      Admission last = fixture.Admit();
      if (Waits(last)) {
        fixture.Exchange();
        last = fixture.book.AdmitWaiting(kName, fixture.now);
      }
      ran += Runs(last) ? 1 : 0;
      if (std::holds_alternative<OverLimit>(last)) {
        turns.push_back(std::get<OverLimit>(last).retry_after);
      }
    }
    CHECK(ran <= 20 + 28);
    CHECK(ran >= 20);
    REQUIRE(turns.size() > 20);
    CHECK(turns.front() > milliseconds(0));
    CHECK(turns.front() <= milliseconds(500));
    SECTION("each at the turn of its own, as credit comes at the rate") {
      constexpr milliseconds kPerRequest{100};
      for (int i = 1; i < 10; ++i) {
        CHECK(turns[i] - turns[i - 1] >= kPerRequest);
      }
      CHECK(turns.back() <= milliseconds(1500));
    }
    SECTION("and who returns then is admitted") {
      fixture.now += turns.front();
      CHECK(Waits(fixture.Admit()));
      fixture.Exchange();
      CHECK(Runs(fixture.book.AdmitWaiting(kName, fixture.now)));
    }
  }
  SECTION("a request that did not run is not counted") {
    fixture.Admit();
    fixture.Exchange();
    while (Runs(fixture.Admit())) {
    }
    fixture.book.GiveBack(kName, fixture.now, fixture.now);
    CHECK(Runs(fixture.Admit()));
    CHECK_FALSE(Runs(fixture.Admit()));
  }
  SECTION("while no leader answers it goes on with its credit for a time") {
    for (int i = 0; i < 10; ++i) {
      fixture.Admit();
    }
    fixture.Exchange();
    fixture.now += kCreditValidity - milliseconds(1);
    CHECK(Runs(fixture.Admit()));
    fixture.now += milliseconds(1);
    CHECK_FALSE(Runs(fixture.Admit()));
    SECTION("and a request of before does not bring it back") {
      fixture.book.GiveBack(kName, fixture.now, fixture.now);
      CHECK_FALSE(Runs(fixture.Admit()));
    }
    SECTION("nor does one of before once there is credit again") {
      const Time arrived = fixture.now - milliseconds(1);
      fixture.Exchange();
      while (Runs(fixture.Admit())) {
      }
      fixture.book.GiveBack(kName, arrived, fixture.now);
      CHECK_FALSE(Runs(fixture.Admit()));
    }
  }
  SECTION("a lowered limit takes credit back at once") {
    for (int i = 0; i < 10; ++i) {
      fixture.Admit();
    }
    fixture.Exchange();
    fixture.SetLimit({0.5, 0});
    int ran = 0;
    while (Runs(fixture.Admit())) {
      ++ran;
    }
    CHECK(ran <= 10);
  }
  SECTION("credit that is no longer needed is given up") {
    for (int i = 0; i < 10; ++i) {
      fixture.Admit();
    }
    fixture.Exchange();
    fixture.now += milliseconds(2900);
    fixture.Exchange();
    for (int i = 0; i < 40; ++i) {
      fixture.now += milliseconds(1000);
      fixture.Exchange();
    }
    CHECK_FALSE(Runs(fixture.Admit()));
  }
}

/// Guards against credit for a limit that is no longer in force: a grant that
/// the leader made for a higher limit was used beside the lower one.
TEST_CASE("credit for a higher limit than the entry's is kept in proportion") {
  const QuotaLimit low{2, 3};
  const QuotaLimit high{73, 73};
  Fixture fixture(low);
  const double standing = FloatOf(low, fixture.tolerance).standing;
  const auto admit_all = [&fixture] {
    constexpr int kMany = 100;
    int ran = 0;
    for (int i = 0; i < kMany; ++i) {
      ran += Runs(fixture.Admit()) ? 1 : 0;
    }
    return ran;
  };

  SECTION("also if the entry never hears of the higher limit") {
    fixture.authority.SetLimits({{kName, high}}, fixture.now);
    admit_all();
    fixture.Exchange();
    fixture.authority.SetLimits({{kName, low}}, fixture.now);
    CHECK(admit_all() <= standing);
  }
  SECTION("while it has not heard, its requests below the limit go on") {
    constexpr int kReports = 20;
    fixture.authority.SetLimits({{kName, high}}, fixture.now);
    int ran = 0;
    for (int i = 0; i < kReports; ++i) {
      fixture.now += milliseconds(500);
      ran += Runs(fixture.Admit()) ? 1 : 0;
      fixture.Exchange();
      ran += Runs(fixture.book.AdmitWaiting(kName, fixture.now)) ? 1 : 0;
    }
    CHECK(ran >= kReports / 2);
  }
  SECTION("also if its grant was lost and is repeated after the change") {
    fixture.SetLimit(high);
    fixture.now += milliseconds(1);
    admit_all();
    fixture.authority.Take(fixture.book.MakeReport(fixture.now), fixture.now);
    fixture.book.Unanswered(fixture.now);
    fixture.SetLimit(low);
    fixture.now += milliseconds(1);
    fixture.Exchange();
    CHECK(admit_all() <= standing);
  }
  SECTION("a leader of an earlier release states no limit") {
    admit_all();
    CreditReply reply = fixture.authority.Take(
        fixture.book.MakeReport(fixture.now), fixture.now);
    reply.grants.front().limit_rate = 0;
    reply.grants.front().limit_burst = 0;
    fixture.book.Answered(reply, fixture.now);
    CHECK(admit_all() > 0);
  }
}

TEST_CASE("a limit that goes and comes back brings no credit of its own") {
  Fixture fixture({10, 20});
  const auto admitted = [&fixture] {
    int count = 0;
    for (int round = 0; round < 50; ++round) {
      fixture.Exchange();
      while (Runs(fixture.Admit())) {
        ++count;
      }
    }
    return count;
  };

  // Such requests hold no credit: each one given back would bring one more.
  SECTION("requests admitted before there was a limit give nothing back") {
    fixture.Exchange();
    const Time arrived = fixture.now;
    fixture.book.SetLimits({}, fixture.now);
    REQUIRE(Runs(fixture.Admit()));
    fixture.now += milliseconds(10);
    fixture.book.SetLimits({{kName, {10, 20}}}, fixture.now);
    for (int request = 0; request < 100; ++request) {
      fixture.book.GiveBack(kName, arrived, fixture.now);
    }
    CHECK_FALSE(Runs(fixture.Admit()));
  }
  // Versions of a configuration may be skipped by the leader. It still counts
  // from the entry's start, so an entry that counts anew would get as credit
  // what it has used.
  SECTION("what was used stays used if the leader has missed the change") {
    REQUIRE(admitted() > 20);
    fixture.book.SetLimits({}, fixture.now);
    fixture.book.SetLimits({{kName, {10, 20}}}, fixture.now);
    CHECK(admitted() == 0);
  }
  SECTION("also if the change comes while a report is being answered") {
    REQUIRE(Waits(fixture.Admit()));
    fixture.Exchange();
    REQUIRE(Runs(fixture.Admit()));
    const ReportCredit report = fixture.book.MakeReport(fixture.now);
    const CreditReply reply = fixture.authority.Take(report, fixture.now);
    fixture.book.SetLimits({}, fixture.now);
    fixture.book.SetLimits({{kName, {10, 20}}}, fixture.now);
    fixture.book.Answered(reply, fixture.now);
    CHECK_FALSE(Runs(fixture.Admit()));
  }
  // Names come from the configuration, so they may change without end.
  SECTION("counts of removed limits are kept for a bounded number of names") {
    const std::size_t names = CreditBook::kMaxRemoved + 10;
    const std::uint64_t before =
        fixture.book.MakeReport(fixture.now).incarnation;
    for (std::size_t name = 0; name < names; ++name) {
      fixture.book.SetLimits({{std::to_string(name), {10, 20}}}, fixture.now);
    }
    CHECK(fixture.book.RemovedLimits() <= CreditBook::kMaxRemoved);
    CHECK(fixture.book.MakeReport(fixture.now).incarnation != before);
  }
}

}  // namespace papayarack::quotas
