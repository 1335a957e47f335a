#include <catch2/catch.hpp>

#include "coordination/crashreports.h"
#include "coordination/quarantinekeeper.h"

namespace papayarack::coordination {
namespace {

using quarantine::Fingerprint;
using std::chrono::milliseconds;

constexpr Fingerprint kCulprit{1, 1};
constexpr Time kStart{std::chrono::seconds(100)};

Time At(int ms) { return kStart + milliseconds(ms); }

/// An entry's watch, one call after the other.
struct Entry {
  WatchReply Ask(QuarantineKeeper& leader, std::uint64_t leads_term, int ms) {
    WatchRequest request;
    request.self.role = static_cast<std::uint8_t>(NodeRole::kEntry);
    request.term = this->term;
    this->reports.AddTo(request, At(ms));
    this->told = request.crashes.size() + request.quarantined.size();
    leader.Heard(request, At(ms));
    this->was_news = leader.IsNews(request);
    WatchReply reply;
    reply.term = leads_term;
    leader.AddTo(request, reply);
    this->reports.Answered(reply);
    this->term = leads_term;
    return reply;
  }

  CrashReports reports;
  std::uint64_t term = 0;
  std::size_t told = 0;  ///< Reports and names in the last request.
  bool was_news = false;
};

}  // namespace

// Guards against a request that crashes replicas through many entries, each of
// which has seen too little of it.
TEST_CASE("what entries report is one count for the fleet") {
  QuarantineKeeper leader;
  leader.BeginTerm();
  Entry a;
  Entry b;
  Entry idle;
  for (Entry* entry : {&a, &b, &idle}) {
    entry->Ask(leader, 1, 0);
  }
  a.reports.Crashed(kCulprit, "r1", At(100));
  a.Ask(leader, 1, 100);
  b.reports.Crashed(kCulprit, "r2", At(200));
  b.Ask(leader, 1, 200);
  a.reports.Crashed(kCulprit, "r3", At(300));
  a.Ask(leader, 1, 300);

  SECTION("and every entry is told, also one that saw nothing") {
    CHECK(a.reports.Quarantined(kCulprit));
    idle.Ask(leader, 1, 301);
    CHECK(idle.was_news);
    CHECK(idle.reports.Quarantined(kCulprit));
    idle.Ask(leader, 1, 302);
    CHECK_FALSE(idle.was_news);
  }
  SECTION("each report once to each leader") {
    a.Ask(leader, 1, 400);
    CHECK(a.told == 0);
  }
  SECTION("and a new leader learns all of it") {
    b.Ask(leader, 1, 400);
    QuarantineKeeper next;
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
  SECTION("until one has seen it run to the end") {
    b.Ask(leader, 1, 400);
    REQUIRE(b.reports.Quarantined(kCulprit));
    b.reports.Survived(kCulprit, At(500));
    b.Ask(leader, 1, 500);
    a.Ask(leader, 1, 501);
    CHECK_FALSE(a.reports.Quarantined(kCulprit));
  }
  SECTION("and a gate is not troubled with it") {
    WatchRequest request;
    request.self.role = static_cast<std::uint8_t>(NodeRole::kGate);
    request.quarantine_revision = 1;
    CHECK_FALSE(leader.IsNews(request));
    WatchReply reply;
    leader.AddTo(request, reply);
    CHECK_FALSE(reply.has_quarantined);
  }
  SECTION("nor an entry of an earlier release, which would ask without end") {
    WatchRequest request;
    request.self.role = static_cast<std::uint8_t>(NodeRole::kEntry);
    CHECK_FALSE(leader.IsNews(request));
  }
}

}  // namespace papayarack::coordination
