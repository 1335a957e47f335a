#include "coordination/quarantinetracker.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "global/logging.h"

namespace papayarack::coordination {

using quarantine::CrashReport;
using quarantine::Fingerprint;
using quarantine::QuarantineDecision;

void QuarantineTracker::BeginTerm() { this->crash_tracker.Clear(); }

void QuarantineTracker::OnReport(const WatchRequest& request, Time now) {
  for (const Fingerprint& survived : request.survived) {
    if (this->crash_tracker.Quarantined(survived)) {
      Log(LogLevel::kWarn, "quarantine_lifted",
          {{"fingerprint", survived.ToString()},
           {"process", request.self.name}});
    }
    this->crash_tracker.Survived(survived, now);
  }
  for (const CrashReport& report : request.crashes) {
    this->crash_tracker.Crashed(report, now);
  }
  for (const Fingerprint& known : request.quarantined) {
    this->crash_tracker.Learn(known, now);
  }
  this->Evaluate(now);
}

void QuarantineTracker::Evaluate(Time now) {
  for (const QuarantineDecision& decision : this->crash_tracker.Evaluate(now)) {
    Log(LogLevel::kWarn, "request_quarantined",
        {{"fingerprint", decision.request.ToString()},
         {"crashes", decision.replicas.size()},
         {"replicas", fmt::format("{}", fmt::join(decision.replicas, " "))},
         {"rivals", decision.rivals},
         {"revision", this->crash_tracker.revision()}});
  }
}

bool QuarantineTracker::NeedsList(const WatchRequest& request) const {
  return request.self.Role() == NodeRole::kEntry &&
         request.quarantine_revision != 0 &&
         request.quarantine_revision != this->crash_tracker.revision();
}

void QuarantineTracker::AddTo(const WatchRequest& request,
                              WatchReply& reply) const {
  reply.quarantine_revision = this->crash_tracker.revision();
  const bool other_leader = request.term != reply.term;
  if (request.self.Role() != NodeRole::kEntry ||
      !(other_leader || this->NeedsList(request))) {
    return;
  }
  reply.has_quarantined = true;
  reply.quarantined = this->crash_tracker.QuarantinedRequests();
}

}  // namespace papayarack::coordination
