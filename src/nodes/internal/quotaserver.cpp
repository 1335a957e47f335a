#include "nodes/quotaserver.h"

#include <utility>

#include "global/logging.h"
#include "nodes/callerquotas.h"

namespace papayarack::nodes {

QuotaServer::QuotaServer(coordination::Coordinator& coordinator,
                         transport::PeerServer*& server,
                         transport::PeerDispatch& dispatch,
                         const quotas::QuotaTolerance& tolerance,
                         Metrics& metrics)
    : coordinator(coordinator),
      server(server),
      metrics(metrics),
      authority(tolerance) {
  dispatch.On(kQuotaReportPath,
              [this](transport::StreamId stream, const std::string& body) {
                this->OnReport(stream, body);
              });
  dispatch.OnCancel([this](transport::StreamId stream) {
    this->early_reports.erase(stream);
  });
}

QuotaServer::~QuotaServer() { *this->alive = false; }

void QuotaServer::SetLimits(const routes::FleetConfiguration& configuration) {
  const quotas::QuotaLimits limits = LimitsOf(configuration);
  this->has_limits = !limits.empty();
  this->authority.SetLimits(limits, this->LedAt().value_or(MonotonicNow()));
}

std::optional<Time> QuotaServer::LedAt() const {
  const std::optional<Time> contact = this->coordinator.QuorumContact();
  const bool recent = contact.has_value() &&
                      MonotonicNow() - *contact <= quotas::kMaxContactAge;
  return recent ? contact : std::nullopt;
}

bool QuotaServer::KnowsReserves() {
  const consensus::Term term = this->coordinator.term();
  if (this->served_term == term) {
    return true;
  }
  if (this->reading_term != term) {
    this->reading_term = term;
    this->coordinator.reserves().Read(
        [this, term, alive = this->alive](
            std::optional<coordination::CreditReserves> reserves) {
          if (*alive) {
            this->OnReserves(term, std::move(reserves));
          }
        });
  }
  return this->served_term == term;
}

void QuotaServer::OnReserves(
    consensus::Term term,
    std::optional<coordination::CreditReserves> reserves) {
  if (this->reading_term == term) {
    this->reading_term = 0;
  }
  const bool leads = reserves.has_value() && this->LedAt().has_value() &&
                     this->coordinator.term() == term;
  if (leads) {
    this->served_term = term;
    Log(LogLevel::kInfo, "quota_term_began",
        {{"term", term}, {"reserves", reserves->size()}});
    this->authority.BeginTerm(MonotonicNow(), std::move(*reserves));
  }
  for (const auto& [stream, body] : std::exchange(this->early_reports, {})) {
    if (leads) {
      this->Take(stream, body);
    } else {
      this->Refuse(stream);
    }
  }
}

void QuotaServer::Tick() {
  const std::optional<Time> led_at = this->LedAt();
  if (!led_at.has_value() || !this->has_limits || !this->KnowsReserves()) {
    return;
  }
  this->authority.ForgetSilent(*led_at);
  this->ProposeReserves();
}

/// Changes the reserves in the log, one change at a time. A lower one is asked
/// for by the report that needs it, so this is called after each.
void QuotaServer::ProposeReserves() {
  const std::optional<Time> led_at = this->LedAt();
  if (!led_at.has_value() || !this->coordinator.reserves().Usable()) {
    return;
  }
  auto changed = this->authority.ProposeReserves(*led_at);
  if (!changed.has_value()) {
    return;
  }
  this->metrics.Add("quota_reserve_changes_total");
  Log(LogLevel::kInfo, "quota_reserves_proposed",
      {{"changed", changed->size()},
       {"kept", this->authority.ReservedOrganisations()}});
  const consensus::Term term = this->served_term;
  this->coordinator.reserves().Propose(
      {std::move(*changed)}, [this, term, alive = this->alive](bool committed) {
        if (*alive && this->served_term == term) {
          this->authority.ReservesProposed(committed);
        }
      });
}

void QuotaServer::OnReport(transport::StreamId stream,
                           const std::string& body) {
  const bool leads = this->LedAt().has_value();
  if (leads && this->KnowsReserves()) {
    this->Take(stream, body);
  } else if (leads && this->early_reports.size() < kMaxEarlyReports) {
    this->early_reports[stream] = body;
  } else {
    this->Refuse(stream);
  }
}

void QuotaServer::Take(transport::StreamId stream, const std::string& body) {
  const std::optional<Time> led_at = this->LedAt();
  if (!led_at.has_value()) {
    this->Refuse(stream);
    return;
  }
  this->Reply(stream, ResultCode::kOk,
              EncodeMessage(this->authority.Take(
                  DecodeMessage<quotas::ReportCredit>(body), *led_at)));
  this->ProposeReserves();
}

void QuotaServer::Refuse(transport::StreamId stream) {
  this->Reply(stream, ResultCode::kNotLeader, {});
}

void QuotaServer::Reply(transport::StreamId stream, ResultCode code,
                        std::string body) {
  coordination::GroupReply reply;
  reply.code = static_cast<int>(code);
  reply.leader = this->coordinator.LeaderAddress();
  reply.body = std::move(body);
  this->server->Send(stream, EncodeMessage(reply));
  this->server->Finish(stream);
}

}  // namespace papayarack::nodes
