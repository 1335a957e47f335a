#include <asio.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "coordination/tests/groupmembers.h"
#include "global/variantcodec.h"
#include "nodes/callerquotas.h"
#include "nodes/quotaserver.h"

namespace papayarack::nodes {
namespace {

using std::chrono::milliseconds;

routes::FleetConfiguration WithRate(double requests_per_second) {
  routes::FleetConfiguration configuration;
  configuration.organisations = {{"acme", {"k"}, 0, requests_per_second, 20}};
  return configuration;
}

}  // namespace

// Guards against a request that is refused over a limit that is gone, as no
// answer comes that would wake it up.
TEST_CASE("a request that waits for credit runs once its limit is removed") {
  asio::io_context context;
  coordination::Host silent(context);
  silent.dispatch.On(kQuotaReportPath,
                     [](transport::StreamId, const std::string&) {});
  coordination::Host entry(context);
  coordination::LeaderSearch search;
  search.SetMembers({silent.Address()});
  coordination::GroupClient leader(context, entry.peers, search);
  Metrics metrics;
  CallerQuotas quotas(context, leader, NodeOptions{}, 1, metrics);
  quotas.SetLimits(WithRate(10));
  std::optional<QuotaOutcome> outcome;
  quotas.Admit(1, "acme",
               [&outcome](const QuotaOutcome& known) { outcome = known; });
  coordination::RunFor(context, milliseconds(20));
  REQUIRE_FALSE(outcome.has_value());

  quotas.SetLimits(WithRate(0));
  REQUIRE(outcome.has_value());
  CHECK(std::holds_alternative<quotas::Admitted>(*outcome));
}

}  // namespace papayarack::nodes
