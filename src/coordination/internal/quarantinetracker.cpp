#include "coordination/quarantinetracker.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "global/logging.h"

namespace papayarack::coordination {

using quarantine::CrashReport;
using quarantine::Fingerprint;
using quarantine::QuarantineDecision;

void QuarantineTracker::BeginTerm() { this->ledger.Clear(); }

void QuarantineTracker::OnReport(const WatchRequest& request, Time now) {
  for (const Fingerprint& survived : request.survived) {
    if (this->ledger.Quarantined(survived)) {
      Log(LogLevel::kWarn, "quarantine_lifted",
          {{"fingerprint", survived.ToString()},
           {"process", request.self.name}});
    }
    this->ledger.Survived(survived, now);
  }
  for (const CrashReport& report : request.crashes) {
    this->ledger.Crashed(report, now);
  }
  for (const Fingerprint& known : request.quarantined) {
    this->ledger.Learn(known, now);
  }
  this->Evaluate(now);
}

void QuarantineTracker::Evaluate(Time now) {
  for (const QuarantineDecision& verdict : this->ledger.Evaluate(now)) {
    Log(LogLevel::kWarn, "request_quarantined",
        {{"fingerprint", verdict.request.ToString()},
         {"crashes", verdict.replicas.size()},
         {"replicas", fmt::format("{}", fmt::join(verdict.replicas, " "))},
         {"rivals", verdict.rivals},
         {"revision", this->ledger.revision()}});
  }
}

bool QuarantineTracker::NeedsList(const WatchRequest& request) const {
  return request.self.Role() == NodeRole::kEntry &&
         request.quarantine_revision != 0 &&
         request.quarantine_revision != this->ledger.revision();
}

void QuarantineTracker::AddTo(const WatchRequest& request,
                              WatchReply& reply) const {
  reply.quarantine_revision = this->ledger.revision();
  const bool other_leader = request.term != reply.term;
  if (request.self.Role() != NodeRole::kEntry ||
      !(other_leader || this->NeedsList(request))) {
    return;
  }
  reply.has_quarantined = true;
  reply.quarantined = this->ledger.QuarantinedRequests();
}

}  // namespace papayarack::coordination
