#include "coordination/crashreports.h"

#include <utility>

namespace papayarack::coordination {

using quarantine::CrashTracker;
using quarantine::Fingerprint;

void CrashReports::Add(Report report) {
  report.number = ++this->last_number;
  this->reports.push_back(std::move(report));
  if (this->reports.size() > kMaxReports) {
    this->reports.pop_front();
  }
}

void CrashReports::Crashed(const Fingerprint& request, std::string replica,
                           Time now) {
  this->Add({request, std::move(replica), now});
}

void CrashReports::Survived(const Fingerprint& request, Time now) {
  this->quarantined.erase(request);
  this->Add({request, {}, now});
}

void CrashReports::AddTo(WatchRequest& request, Time now) {
  std::erase_if(this->reports, [now](const Report& report) {
    return now - report.when > CrashTracker::kRetention;
  });
  this->requested_number = this->last_number;
  this->requested_term = request.term;
  for (const Report& report : this->reports) {
    if (report.reported_term == request.term) {
      continue;
    }
    if (report.replica.empty()) {
      request.survived.push_back(report.request);
    } else {
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
          now - report.when);
      request.crashes.push_back({report.request, report.replica,
                                 static_cast<std::uint32_t>(age.count())});
    }
  }
  request.quarantine_revision = this->list_revision;
  if (this->list_term != request.term) {
    request.quarantined.assign(this->quarantined.begin(),
                               this->quarantined.end());
  }
}

void CrashReports::Answered(const WatchReply& reply) {
  for (Report& report : this->reports) {
    const bool was_asked = report.number <= this->requested_number;
    if (was_asked && report.reported_term != this->requested_term) {
      report.reported_term = reply.term;
    }
  }
  const bool same_leader = this->requested_term == reply.term;
  if (reply.has_quarantined) {
    // A new leader does not know yet which requests earlier leaders
    // quarantined, so its list only adds.
    if (same_leader) {
      this->quarantined.clear();
    }
    this->quarantined.insert(reply.quarantined.begin(),
                             reply.quarantined.end());
    this->list_revision = reply.quarantine_revision;
  }
  if (same_leader) {
    this->list_term = reply.term;
  }
}

}  // namespace papayarack::coordination
