#include "nodes/rejections.h"

#include <fmt/format.h>

#include <string>

#include "global/logging.h"
#include "nodes/plainresponses.h"
#include "placement/admission.h"
#include "quarantine/crashtracker.h"

namespace papayarack::nodes {
namespace {

using std::chrono::milliseconds;

/// Logged when no gate stated an expected wait.
constexpr milliseconds kUnknownWait{-1};
/// Retry-After of a quarantined request: as long as the quarantine lasts.
constexpr std::chrono::seconds kQuarantineRetryAfter =
    quarantine::CrashTracker::kRetention;
/// Retry-After of a stream that cannot go on anywhere: its caller can begin
/// anew at once.
constexpr milliseconds kBeginAnewDelay{50};

}  // namespace

http::HttpResponse Rejections::NoSlot(const RejectedRequest& request,
                                      double draw, Time now) {
  return this->Refuse(request, this->ReturnOf(request, draw, now));
}

http::HttpResponse Rejections::NoContinuation(const RejectedRequest& request) {
  return this->Refuse(request, {kBeginAnewDelay});
}

http::HttpResponse Rejections::Quarantined(const char* reason) {
  http::HttpResponse response;
  response.status = kServiceUnavailable;
  response.headers.Set("Retry-After",
                       std::to_string(kQuarantineRetryAfter.count()));
  response.body = reason;
  return response;
}

/// Learned times are used where callers name organisations, and where gates
/// said that their slots are taken: what has another cause tells nothing about
/// slots.
placement::ReturnTime Rejections::ReturnOf(const RejectedRequest& request,
                                           double draw, Time now) {
  const milliseconds usual = placement::RetryAfter(request.shortest_wait, draw);
  if (!request.of_organisation || !request.shortest_wait.has_value()) {
    return {usual};
  }
  const auto remaining =
      std::chrono::duration_cast<milliseconds>(request.deadline - now);
  return this->return_schedule.Rejected(usual, remaining, now);
}

http::HttpResponse Rejections::Refuse(const RejectedRequest& request,
                                      const placement::ReturnTime& back) {
  const double delay_s = ToSeconds(back.delay);
  Log(LogLevel::kInfo, "request_refused",
      {{"request", request.id},
       {"reason", request.reason},
       {"asked", request.asks},
       {"expected_wait_ms",
        request.shortest_wait.value_or(kUnknownWait).count()},
       {"budget_ms", request.budget.count()},
       {"retry_after_ms", back.delay.count()},
       {"return_learned", back.learned},
       {"returning_at_once", back.at_once}});
  this->metrics.Observe("online_retry_after_seconds", delay_s);
  if (back.learned) {
    this->metrics.Add("online_returns_learned_total");
  }
  http::HttpResponse response;
  response.status = kServiceUnavailable;
  response.headers.Add("Retry-After", fmt::format("{:.2f}", delay_s));
  response.body = request.reason;
  return response;
}

}  // namespace papayarack::nodes
