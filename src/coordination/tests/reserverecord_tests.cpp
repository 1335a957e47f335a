#include <catch2/catch.hpp>

#include "coordination/reserverecord.h"
#include "coordination/tests/groupmembers.h"

namespace papayarack::coordination {
namespace {

WatchRequest ReportOf(const Member& member, bool applies_reserves) {
  WatchRequest report;
  report.self = Report("m", member.host.Address());
  report.applies_reserves = applies_reserves;
  return report;
}

}  // namespace

// Guards against members whose states differ: one of an earlier release skips a
// command that it cannot decode.
TEST_CASE("reserves are proposed only to members that can apply them") {
  asio::io_context context;
  Member leader(context, 1);
  Member other(context, 2);
  leader.Found(context,
               {{{1, leader.host.Address()}, {2, other.host.Address()}}},
               NoReplicas());
  ReserveRecord& record = leader.coordinator->reserves();
  record.BeginTerm();

  CHECK_FALSE(record.Usable());
  record.OnReport(ReportOf(other, true));
  CHECK(record.Usable());
  SECTION("not to one that has started again with an earlier release") {
    record.OnReport(ReportOf(other, false));
    CHECK_FALSE(record.Usable());
  }
}

}  // namespace papayarack::coordination
