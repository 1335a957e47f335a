#include <catch2/catch.hpp>

#include "quotas/quotaauthority.h"

namespace papayarack::quotas {
namespace {

using std::chrono::milliseconds;

constexpr const char* kName = "acme";

Time At(int ms) { return Time(std::chrono::seconds(1000) + milliseconds(ms)); }

/// An entry that asks for credit and uses it.
struct Entry {
  std::string name;
  std::uint64_t incarnation = 1;
  CreditReport report{kName, 0, 0, 0, 0, 0};

  /// Asks for credit and returns what was granted.
  std::int64_t Ask(QuotaAuthority& authority, std::uint32_t needed, Time now) {
    this->report.needed = needed;
    const CreditReply reply =
        authority.Take({this->name, this->incarnation, {this->report}}, now);
    if (reply.grants.empty()) {
      return 0;
    }
    const std::int64_t before = this->report.Credit();
    this->report.allowed = reply.grants.front().allowed;
    this->wait_ms = reply.grants.front().wait_ms;
    return this->report.Credit() - before;
  }
  void UseAll(QuotaAuthority& authority, Time now) {
    this->report.used += this->report.Credit();
    this->Ask(authority, 0, now);
  }

  std::uint32_t wait_ms = 0;
};

/// Asks until nothing more is granted.
std::int64_t Drain(QuotaAuthority& authority, Entry& entry, Time now) {
  std::int64_t sum = 0;
  for (std::int64_t granted = 1; granted > 0; sum += granted) {
    granted = entry.Ask(authority, 1000, now);
  }
  return sum;
}

}  // namespace

TEST_CASE("credit is what the bucket holds, and then the rate") {
  constexpr QuotaLimit kLimit{10, 20};
  const QuotaTolerance tolerance;
  const QuotaFloat bounds = FloatOf(kLimit, tolerance);
  QuotaAuthority authority(tolerance);
  authority.BeginTerm(At(0));
  authority.SetLimits({{kName, kLimit}}, At(0));
  Entry first{"e1"};
  Entry second{"e2"};
  const auto floor = [](double value) {
    return static_cast<std::int64_t>(value);
  };

  SECTION("a settled leader has the burst and part of the tolerance") {
    CHECK(Drain(authority, first, At(20000)) == floor(bounds.standing));
    SECTION("credit that is not used leaves no room for more") {
      CHECK(Drain(authority, second, At(30000)) == 0);
      CHECK(second.wait_ms > 0);
    }
    SECTION("what was used comes again at the rate") {
      first.UseAll(authority, At(20000));
      CHECK(Drain(authority, first, At(20000)) == 0);
      CHECK(Drain(authority, first, At(21000)) == 10);
    }
    SECTION("what is given up is there at once") {
      first.report.returned += 5;
      CHECK(first.Ask(authority, 0, At(20000)) == 0);
      CHECK(Drain(authority, second, At(20000)) == 5);
    }
    SECTION("a repeated report changes nothing") {
      first.report.returned += 5;
      first.Ask(authority, 0, At(20000));
      first.Ask(authority, 0, At(20000));
      CHECK(Drain(authority, second, At(20000)) == 5);
    }
    SECTION("credit of an entry that started again counts as used") {
      first = {"e1", 2};
      CHECK(Drain(authority, first, At(20000)) == 0);
      CHECK(Drain(authority, first, At(21000)) == 10);
    }
    SECTION("and so does that of one that fell silent, after its end") {
      authority.ForgetSilent(At(22900));
      CHECK(Drain(authority, second, At(22900)) == 0);
      // 0.3 s of the silence may be the age of the leader's contact.
      authority.ForgetSilent(At(23600));
      CHECK(Drain(authority, second, At(24600)) == 10);
    }
    SECTION("a new leader goes on from what entries hold") {
      first.report.used += 4;
      authority.BeginTerm(At(20000));
      first.Ask(authority, 0, At(20000));
      CHECK(first.report.Credit() == floor(bounds.standing) - 4);
      CHECK(Drain(authority, second, At(20000)) == floor(bounds.restart));
      SECTION("with no more than the rate until unknown credit has ended") {
        second.UseAll(authority, At(20000));
        CHECK(Drain(authority, second, At(20200)) == 2);
      }
    }
  }
  SECTION("an entry gets half of what is left, so that others get some") {
    const std::int64_t one = first.Ask(authority, 1000, At(20000));
    CHECK(one == floor(bounds.standing + 1) / 2);
    CHECK(second.Ask(authority, 1000, At(20000)) > 0);
  }
  SECTION("a leader that has just begun hands out little, and the rate") {
    CHECK(Drain(authority, first, At(0)) == floor(bounds.restart));
    first.UseAll(authority, At(0));
    CHECK(Drain(authority, first, At(300)) == 3);
  }
  SECTION("a lower limit holds at once, a higher one too") {
    authority.SetLimits({{kName, {10, 40}}}, At(20000));
    const std::int64_t raised = Drain(authority, first, At(20000));
    CHECK(raised >= floor(bounds.standing) + 20);
    authority.SetLimits({{kName, {1, 0}}}, At(20000));
    first.UseAll(authority, At(20000));
    CHECK(Drain(authority, first, At(21000)) == 1);
  }
  // Guards against a bucket that is filled by credit of a higher limit, beside
  // what entries used and kept of it.
  SECTION("what is given up for a lower limit does not fill the bucket") {
    authority.SetLimits({{kName, {10, 40}}}, At(20000));
    const std::int64_t raised = Drain(authority, first, At(20000));
    authority.SetLimits({{kName, {1, 0}}}, At(20000));
    first.report.used += 10;
    first.report.returned = static_cast<std::uint64_t>(raised - 10);
    const double standing = FloatOf({1, 0}, QuotaTolerance{}).standing;
    const auto ran = static_cast<double>(first.report.used);
    CHECK(ran + static_cast<double>(Drain(authority, first, At(20000))) <=
          standing);
  }
}

// Guards against limits that nobody can tell after a restart of all processes,
// and against credit that is handed out twice then.
TEST_CASE("a reserve in the log outlives the leader") {
  constexpr QuotaLimit kLimit{10, 20};
  const QuotaTolerance tolerance;
  QuotaAuthority authority(tolerance);
  authority.SetLimits({{kName, kLimit}}, At(0));
  authority.BeginTerm(At(0));
  Entry entry{"e1"};

  const auto first = authority.ProposeReserves(At(20000));
  REQUIRE(first.has_value());
  const QuotaFloat bounds = FloatOf(kLimit, tolerance);
  const auto standing = static_cast<std::int64_t>(bounds.standing);
  CHECK(first->at(kName) >= bounds.reserve / 2);
  CHECK(first->at(kName) <= bounds.reserve);

  SECTION("it is kept back from when it is proposed") {
    CHECK(Drain(authority, entry, At(20000)) ==
          standing - static_cast<std::int64_t>(first->at(kName)));
    CHECK(entry.wait_ms == 0);
    CHECK_FALSE(authority.ProposeReserves(At(20000)).has_value());
    SECTION("also if it is not known whether it was committed") {
      authority.ReservesProposed(false);
      CHECK(Drain(authority, entry, At(20000)) == 0);
    }
  }
  SECTION("a lower one is proposed before it stops a grant") {
    authority.ReservesProposed(true);
    constexpr int kMaxCommits = 12;
    std::int64_t granted = 0;
    std::uint32_t last = first->at(kName);
    for (int commits = 0; commits < kMaxCommits; ++commits) {
      granted += Drain(authority, entry, At(20000));
      const auto lower = authority.ProposeReserves(At(20000));
      if (!lower.has_value()) {
        continue;
      }
      CHECK(lower->at(kName) < last);
      last = lower->at(kName);
      authority.ReservesProposed(true);
    }
    CHECK(granted == standing);
    CHECK(last == 0);
  }
  SECTION("a new leader hands it out once it has committed a lower one") {
    QuotaAuthority next(tolerance);
    next.SetLimits({{kName, kLimit}}, At(20000));
    next.BeginTerm(At(20000), *first);
    Entry started{"e1", 2};
    CHECK(Drain(next, started, At(20000)) == 0);
    REQUIRE(next.ProposeReserves(At(20000)).has_value());
    next.ReservesProposed(true);
    CHECK(Drain(next, started, At(20000)) > 0);
  }
  SECTION("it is raised again when the bucket has filled, at intervals") {
    authority.ReservesProposed(true);
    Drain(authority, entry, At(20000));
    while (authority.ProposeReserves(At(20000)).has_value()) {
      authority.ReservesProposed(true);
      Drain(authority, entry, At(20000));
    }
    entry.UseAll(authority, At(20000));
    CHECK_FALSE(authority.ProposeReserves(At(20900)).has_value());
    const auto raised = authority.ProposeReserves(At(25000));
    REQUIRE(raised.has_value());
    CHECK(raised->at(kName) > 1);
  }
  SECTION("that of an organisation without a limit is removed") {
    authority.ReservesProposed(true);
    authority.SetLimits({{"bolt", kLimit}}, At(20000));
    const auto removed = authority.ProposeReserves(At(20000));
    REQUIRE(removed.has_value());
    CHECK(removed->at(kName) == 0);
  }
}

// The caller's first requests would be refused far below the limit otherwise,
// as the bucket of a limit that a new leader finds is almost empty.
TEST_CASE("a limit that is set while a leader leads is there in full at once") {
  constexpr QuotaLimit kLimit{10, 20};
  const QuotaTolerance tolerance;
  QuotaAuthority authority(tolerance);
  authority.BeginTerm(At(0));
  authority.SetLimits({{"bolt", kLimit}}, At(0));
  Entry entry{"e1"};
  const auto standing =
      static_cast<std::int64_t>(FloatOf(kLimit, tolerance).standing);

  SECTION("once nothing from before the term lies within a window") {
    authority.SetLimits({{"bolt", kLimit}, {kName, kLimit}}, At(20000));
    CHECK(Drain(authority, entry, At(20000)) == standing);
    SECTION("not again if it is removed and set within a window") {
      authority.SetLimits({{"bolt", kLimit}}, At(20010));
      authority.SetLimits({{"bolt", kLimit}, {kName, kLimit}}, At(20020));
      CHECK(Drain(authority, entry, At(20020)) < standing / 2);
    }
    // Guards against credit of the old bucket that fills the new one.
    SECTION("what was granted before the removal does not come back to it") {
      const CreditReport delayed = entry.report;
      authority.SetLimits({{"bolt", kLimit}}, At(20010));
      authority.SetLimits({{"bolt", kLimit}, {kName, kLimit}}, At(20020));
      authority.Take({"e1", 1, {delayed}}, At(20020));
      entry.report.returned = entry.report.allowed;
      CHECK(Drain(authority, entry, At(20020)) < standing / 2);
    }
    SECTION("again after that") {
      authority.SetLimits({{"bolt", kLimit}}, At(20010));
      entry = {"e1", 2};
      authority.SetLimits({{"bolt", kLimit}, {kName, kLimit}}, At(40000));
      CHECK(Drain(authority, entry, At(40000)) == standing);
    }
  }
  SECTION("not at the start of a term: others may have handed it out") {
    authority.SetLimits({{"bolt", kLimit}, {kName, kLimit}}, At(1000));
    CHECK(Drain(authority, entry, At(1000)) < standing / 2);
  }
}

// A leader that finds a reserve from before the limit was lowered would hand
// out the whole new limit beside what entries still hold.
TEST_CASE("a reserve from a higher limit does not fill the bucket of a lower") {
  constexpr QuotaLimit kLowered{10, 20};
  const QuotaTolerance tolerance;
  const QuotaFloat bounds = FloatOf(kLowered, tolerance);
  QuotaAuthority authority(tolerance);
  authority.SetLimits({{kName, kLowered}}, At(0));
  authority.BeginTerm(At(0), {{kName, 1000}});
  REQUIRE(authority.ProposeReserves(At(0)).has_value());
  authority.ReservesProposed(true);
  Entry entry{"e1"};
  std::int64_t granted = 0;
  for (int round = 0; round < 20; ++round) {
    granted += Drain(authority, entry, At(0));
    if (authority.ProposeReserves(At(0)).has_value()) {
      authority.ReservesProposed(true);
    }
  }
  CHECK(static_cast<double>(granted) <= bounds.reserve);
}

// After a restart of all processes an entry may report before the leader has
// loaded the configuration. The reserves are what is left for that moment.
TEST_CASE("reserves outlast a leader that does not know the limits yet") {
  constexpr QuotaLimit kLimit{10, 20};
  const QuotaTolerance tolerance;
  QuotaAuthority authority(tolerance);
  authority.BeginTerm(At(0), {{kName, 8}});
  Entry entry{"e1"};
  CHECK(entry.Ask(authority, 1, At(0)) == 0);
  CHECK_FALSE(authority.ProposeReserves(At(0)).has_value());
  authority.SetLimits({{kName, kLimit}}, At(100));
  CHECK(authority.ReservedOrganisations() == 1);
  REQUIRE(authority.ProposeReserves(At(100)).has_value());
  authority.ReservesProposed(true);
  CHECK(entry.Ask(authority, 1, At(100)) == 1);
}

}  // namespace papayarack::quotas
