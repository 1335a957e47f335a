#ifndef PAPAYARACK_NODES_CALLERQUOTAS_H_
#define PAPAYARACK_NODES_CALLERQUOTAS_H_

#include <asio.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "coordination/groupclient.h"
#include "global/metrics.h"
#include "http/httpserver.h"
#include "nodes/nodeoptions.h"
#include "quotas/creditbook.h"
#include "routes/fleetconfiguration.h"

namespace papayarack::nodes {

/// No leader answered in time, so nothing is known about the limit.
struct LimitUnknown {};
using QuotaOutcome =
    std::variant<quotas::Admitted, quotas::OverLimit, LimitUnknown>;

/// The limits of organisations, by name; without those that have none.
/// Thread safety: any thread.
quotas::QuotaLimits LimitsOf(const routes::FleetConfiguration& configuration);

/// Holds an entry's online requests to the limits of their organisations, over
/// all entries together: keeps credit from the coordination group's leader.
/// Thread safety: none, the loop's thread.
class CallerQuotas {
 public:
  using Done = std::function<void(const QuotaOutcome&)>;

  /// Requests that wait for an answer of the leader: more than an entry gets
  /// in kMaxWait.
  static constexpr std::size_t kMaxWaiting = 512;
  /// Half of a first-token target.
  static constexpr std::chrono::milliseconds kMaxWait{150};

  /// Precondition: the references outlive it.
  CallerQuotas(asio::io_context& context, coordination::GroupClient& leader,
               const NodeOptions& options, std::uint64_t incarnation,
               Metrics& metrics);
  ~CallerQuotas();
  CallerQuotas(const CallerQuotas&) = delete;
  CallerQuotas& operator=(const CallerQuotas&) = delete;

  void SetLimits(const routes::FleetConfiguration& configuration);
  /// Calls `done`, maybe at once.
  void Admit(http::ExchangeId exchange, const std::string& organisation,
             Done done);
  /// A request that was admitted, and arrived at `arrived`, did not run after
  /// all.
  void GiveBack(const std::string& organisation, Time arrived);
  /// Removes a waiting request whose caller is gone. False if there is none.
  bool Remove(http::ExchangeId exchange);

 private:
  struct Waiting {
    http::ExchangeId exchange = 0;
    std::string organisation;
    Time until{};
    Done done;
  };

  void Tick();
  void ReportIfDue();
  void OnAnswer(const Result& result, const std::string& body);
  void SettleWaiting();
  /// Ends the wait of requests whose organisation has no limit any more.
  void AdmitUnlimited(const quotas::QuotaLimits& limits);
  void EndExpired();

  coordination::GroupClient& leader;
  Metrics& metrics;
  quotas::CreditBook book;
  bool has_limits = false;
  std::deque<Waiting> waiting;
  asio::steady_timer timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_CALLERQUOTAS_H_
