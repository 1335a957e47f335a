#include "coordination/quarantinekeeper.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "global/logging.h"

namespace papayarack::coordination {

using quarantine::CrashReport;
using quarantine::Fingerprint;
using quarantine::Verdict;

void QuarantineKeeper::BeginTerm() { this->ledger.Clear(); }

void QuarantineKeeper::Heard(const WatchRequest& request, Time now) {
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
  this->Judge(now);
}

void QuarantineKeeper::Judge(Time now) {
  for (const Verdict& verdict : this->ledger.Judge(now)) {
    Log(LogLevel::kWarn, "request_quarantined",
        {{"fingerprint", verdict.request.ToString()},
         {"crashes", verdict.replicas.size()},
         {"replicas", fmt::format("{}", fmt::join(verdict.replicas, " "))},
         {"rivals", verdict.rivals},
         {"revision", this->ledger.revision()}});
  }
}

bool QuarantineKeeper::IsNews(const WatchRequest& request) const {
  return request.self.Role() == NodeRole::kEntry &&
         request.quarantine_revision != 0 &&
         request.quarantine_revision != this->ledger.revision();
}

void QuarantineKeeper::AddTo(const WatchRequest& request,
                             WatchReply& reply) const {
  reply.quarantine_revision = this->ledger.revision();
  const bool other_leader = request.term != reply.term;
  if (request.self.Role() != NodeRole::kEntry ||
      !(other_leader || this->IsNews(request))) {
    return;
  }
  reply.has_quarantined = true;
  reply.quarantined = this->ledger.Verdicts();
}

}  // namespace papayarack::coordination
