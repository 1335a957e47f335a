#include "nodes/callerquotas.h"

#include <algorithm>
#include <utility>

#include "global/logging.h"
#include "global/variantcodec.h"
#include "nodes/quotaserver.h"

namespace papayarack::nodes {
namespace {

/// Interval of looking for reports to send, and while requests wait.
constexpr std::chrono::milliseconds kTick{50};
constexpr std::chrono::milliseconds kWaitingTick{5};
/// Timeout of a report and of one attempt at it; a new one is sent afterwards.
constexpr std::chrono::milliseconds kReportTime{400};
constexpr std::chrono::milliseconds kAttemptTime{150};

}  // namespace

quotas::QuotaLimits LimitsOf(const routes::FleetConfiguration& configuration) {
  quotas::QuotaLimits limits;
  for (const routes::Organisation& one : configuration.organisations) {
    if (one.requests_per_second > 0) {
      limits[one.name] = {one.requests_per_second, one.burst};
    }
  }
  return limits;
}

CallerQuotas::CallerQuotas(asio::io_context& context,
                           coordination::GroupClient& leader,
                           const NodeOptions& options,
                           std::uint64_t incarnation, Metrics& metrics)
    : leader(leader),
      metrics(metrics),
      book(options.name, incarnation, options.quota_tolerance),
      timer(context) {}

CallerQuotas::~CallerQuotas() { *this->alive = false; }

void CallerQuotas::SetLimits(const routes::FleetConfiguration& configuration) {
  const quotas::QuotaLimits limits = LimitsOf(configuration);
  this->book.SetLimits(limits, MonotonicNow());
  this->AdmitUnlimited(limits);
  const bool had_limits = std::exchange(this->has_limits, !limits.empty());
  if (this->has_limits && !had_limits) {
    this->Tick();
  }
}

void CallerQuotas::Tick() {
  this->timer.expires_after(this->waiting.empty() ? kTick : kWaitingTick);
  this->timer.async_wait([this, alive = this->alive](std::error_code error) {
    if (error || !*alive) {
      return;
    }
    this->ReportIfDue();
    this->EndExpired();
    if (this->has_limits || !this->waiting.empty()) {
      this->Tick();
    }
  });
}

void CallerQuotas::Admit(http::ExchangeId exchange,
                         const std::string& organisation, Done done) {
  const Time now = MonotonicNow();
  const quotas::Admission admission = this->book.Admit(organisation, now);
  std::visit(
      Overloaded{[&](const quotas::AwaitCredit&) {
                   if (this->waiting.size() >= kMaxWaiting) {
                     done(LimitUnknown{});
                     return;
                   }
                   this->waiting.push_back({exchange, organisation,
                                            now + kMaxWait, std::move(done)});
                   if (this->waiting.size() == 1) {
                     this->Tick();
                   }
                   this->ReportIfDue();
                 },
                 [&](const auto& known) { done(known); }},
      admission);
}

void CallerQuotas::GiveBack(const std::string& organisation, Time arrived) {
  this->book.GiveBack(organisation, arrived, MonotonicNow());
}

bool CallerQuotas::Remove(http::ExchangeId exchange) {
  return std::erase_if(this->waiting, [exchange](const Waiting& one) {
           return one.exchange == exchange;
         }) > 0;
}

void CallerQuotas::ReportIfDue() {
  const Time now = MonotonicNow();
  if (!this->book.ReportDue(now)) {
    return;
  }
  this->metrics.Add("quota_reports_total");
  this->leader.Call(kQuotaReportPath, EncodeMessage(this->book.MakeReport(now)),
                    kReportTime, kAttemptTime,
                    [this, alive = this->alive](const Result& result,
                                                const std::string& body) {
                      if (*alive) {
                        this->OnAnswer(result, body);
                      }
                    });
}

void CallerQuotas::OnAnswer(const Result& result, const std::string& body) {
  const Time now = MonotonicNow();
  if (!result.Ok()) {
    Log(LogLevel::kInfo, "quota_report_unanswered",
        {{"code", static_cast<int>(result.code)},
         {"waiting", this->waiting.size()}});
    this->book.Unanswered(now);
    return;
  }
  try {
    this->book.Answered(DecodeMessage<quotas::CreditReply>(body), now);
  } catch (const ResultError& error) {
    Log(LogLevel::kWarn, "quota_reply_unreadable", {{"text", error.what()}});
    this->book.Unanswered(now);
    return;
  }
  this->SettleWaiting();
  this->ReportIfDue();
}

void CallerQuotas::SettleWaiting() {
  const Time now = MonotonicNow();
  for (Waiting& one : std::exchange(this->waiting, {})) {
    const quotas::Admission admission =
        this->book.AdmitWaiting(one.organisation, now);
    std::visit(Overloaded{[&](const quotas::AwaitCredit&) {
                            this->waiting.push_back(std::move(one));
                          },
                          [&](const auto& known) { one.done(known); }},
               admission);
  }
}

/// No further answer of the leader concerns these requests.
void CallerQuotas::AdmitUnlimited(const quotas::QuotaLimits& limits) {
  for (Waiting& one : std::exchange(this->waiting, {})) {
    if (limits.contains(one.organisation)) {
      this->waiting.push_back(std::move(one));
    } else {
      one.done(quotas::Admitted{});
    }
  }
}

void CallerQuotas::EndExpired() {
  const Time now = MonotonicNow();
  while (!this->waiting.empty() && now >= this->waiting.front().until) {
    const Waiting expired = std::move(this->waiting.front());
    this->waiting.pop_front();
    expired.done(LimitUnknown{});
  }
}

}  // namespace papayarack::nodes
