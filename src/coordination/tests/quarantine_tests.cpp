#include <catch2/catch.hpp>

#include "coordination/crashreports.h"
#include "coordination/quarantinetracker.h"

namespace papayarack::coordination {
namespace {

using quarantine::Fingerprint;
using std::chrono::milliseconds;

constexpr Fingerprint kCulprit{1, 1};
constexpr Time kStart{std::chrono::seconds(100)};

Time At(int ms) { return kStart + milliseconds(ms); }

/// An entry's watch requests, one after the other.
struct Entry {
  WatchReply Ask(QuarantineTracker& leader, std::uint64_t leads_term, int ms) {
    WatchRequest request;
    request.self.role = static_cast<std::uint8_t>(NodeRole::kEntry);
    request.term = this->term;
    this->reports.AddTo(request, At(ms));
    this->told = request.observations.size() + request.quarantined.size();
    leader.OnReport(request, At(ms));
    this->was_news = leader.NeedsList(request);
    WatchReply reply;
    reply.term = leads_term;
    leader.AddTo(request, reply, At(ms));
    this->reports.Answered(reply, At(ms));
    this->term = leads_term;
    return reply;
  }

  CrashReports reports;
  std::uint64_t term = 0;
  /// Crash reports and quarantined requests in the last request.
  std::size_t told = 0;
  bool was_news = false;
};

}  // namespace

// Guards against a request that crashes replicas through many entries, each of
// which sees too few crashes to quarantine it.
TEST_CASE("crashes that entries report are counted for the whole fleet") {
  QuarantineTracker leader;
  leader.BeginTerm();
  Entry a;
  Entry b;
  Entry idle;
  for (Entry* entry : {&a, &b, &idle}) {
    entry->Ask(leader, 1, 0);
  }
  a.reports.Crashed("r1", {{kCulprit}}, At(100));
  a.Ask(leader, 1, 100);
  b.reports.Crashed("r2", {{kCulprit}}, At(200));
  b.Ask(leader, 1, 200);
  a.reports.Crashed("r3", {{kCulprit}}, At(300));
  a.Ask(leader, 1, 300);

  SECTION("and every entry gets the list, also one without crashes") {
    CHECK(a.reports.Quarantined(kCulprit));
    idle.Ask(leader, 1, 301);
    CHECK(idle.was_news);
    CHECK(idle.reports.Quarantined(kCulprit));
    idle.Ask(leader, 1, 302);
    CHECK_FALSE(idle.was_news);
  }
  SECTION("and each report is sent once to each leader") {
    a.Ask(leader, 1, 400);
    CHECK(a.told == 0);
  }
  SECTION("and a new leader learns the quarantined requests") {
    b.Ask(leader, 1, 400);
    QuarantineTracker next;
    next.BeginTerm();
    a.Ask(next, 2, 500);
    CHECK(a.reports.Quarantined(kCulprit));
    a.Ask(next, 2, 501);
    CHECK(a.told > 0);
    CHECK(a.reports.Quarantined(kCulprit));
    Entry started;
    started.Ask(next, 2, 502);
    CHECK(started.reports.Quarantined(kCulprit));
  }
  SECTION(
      "and everybody knows when it may be tried, also after a failed trial") {
    idle.Ask(leader, 1, 400);
    const Time first = idle.reports.all().at(kCulprit).trial_due;
    CHECK(first >= At(300) + quarantine::kFirstTrialWait);
    CHECK(first <= At(400) + quarantine::kFirstTrialWait);
    a.reports.Crashed("r4", {{kCulprit}}, first + milliseconds(100));
    a.Ask(leader, 1, 2300);
    idle.Ask(leader, 1, 2301);
    CHECK(idle.was_news);
    const Time second = idle.reports.all().at(kCulprit).trial_due;
    CHECK(second > first + quarantine::kFirstTrialWait * 2);
    SECTION("and a new leader allows no trial before it knows the crashes") {
      QuarantineTracker next;
      next.BeginTerm();
      idle.Ask(next, 2, 20000);
      idle.Ask(next, 2, 20001);
      CHECK(idle.reports.all().at(kCulprit).trial_due >=
            At(20000) + quarantine::kFirstTrialWait);
    }
  }
  SECTION("and no trial comes from a leader of an earlier release") {
    WatchReply reply;
    reply.term = 1;
    reply.has_quarantined = true;
    reply.quarantined = {kCulprit};
    CrashReports reports;
    reports.Answered(reply, At(0));
    CHECK(reports.all().at(kCulprit).trial_due >=
          At(0) + quarantine::CrashTracker::kRetention);
  }
  SECTION("and the quarantine ends once the request completes") {
    b.Ask(leader, 1, 400);
    REQUIRE(b.reports.Quarantined(kCulprit));
    b.reports.Survived(kCulprit, At(500));
    b.Ask(leader, 1, 500);
    a.Ask(leader, 1, 501);
    CHECK_FALSE(a.reports.Quarantined(kCulprit));
  }
  SECTION("and a gate gets the list, as it runs items of batches") {
    WatchRequest request;
    request.self.role = static_cast<std::uint8_t>(NodeRole::kGate);
    request.term = 1;
    request.quarantine_revision = 1;
    CHECK(leader.NeedsList(request));
    WatchReply reply;
    reply.term = 1;
    leader.AddTo(request, reply, At(400));
    CHECK(reply.has_quarantined);
    CHECK(reply.quarantined == std::vector<Fingerprint>{kCulprit});
  }
  SECTION("and crashes that an entry of an earlier release reports count") {
    constexpr Fingerprint kOther{2, 2};
    WatchRequest request;
    request.self.role = static_cast<std::uint8_t>(NodeRole::kEntry);
    for (const char* replica : {"r4", "r5", "r6"}) {
      const auto age = static_cast<std::uint32_t>(100 * (replica[1] - '0'));
      request.crashes.push_back({kOther, replica, age});
    }
    leader.OnReport(request, At(2000));
    a.Ask(leader, 1, 2001);
    CHECK(a.reports.Quarantined(kOther));
  }
  SECTION("and an entry of an earlier release is not answered early") {
    WatchRequest request;
    request.self.role = static_cast<std::uint8_t>(NodeRole::kEntry);
    CHECK_FALSE(leader.NeedsList(request));
  }
}

// Guards against a quarantine that ended long ago and comes back with an entry
// that heard of no leader meanwhile.
TEST_CASE("a new leader does not learn a quarantine that has ended") {
  QuarantineTracker leader;
  leader.BeginTerm();
  Entry a;
  a.Ask(leader, 1, 0);
  for (int i = 0; i < 3; ++i) {
    a.reports.Crashed("r" + std::to_string(i), {{kCulprit}}, At(100 * i));
    a.Ask(leader, 1, 100 * i);
  }
  REQUIRE(a.reports.Quarantined(kCulprit));
  constexpr int kHourMs = 3'600'000;
  QuarantineTracker next;
  next.BeginTerm();
  a.Ask(next, 2, kHourMs);
  a.Ask(next, 2, kHourMs + 1);
  Entry other;
  other.Ask(next, 2, kHourMs + 2);
  CHECK_FALSE(other.reports.Quarantined(kCulprit));
}

}  // namespace papayarack::coordination
