#include "coordination/crashreports.h"

#include <algorithm>
#include <utility>

namespace papayarack::coordination {

using quarantine::AgeMs;
using quarantine::CrashTracker;
using quarantine::Fingerprint;
using quarantine::SinceAt;
using quarantine::SuspectTrait;

namespace {

/// A leader of an earlier release knows no trials; the quarantine then ends
/// without one.
Time TrialDue(const WatchReply& reply, std::size_t index, Time now) {
  return index < reply.trial_in_ms.size()
             ? now + std::chrono::milliseconds(reply.trial_in_ms[index])
             : now + CrashTracker::kRetention;
}

}  // namespace

void CrashReports::Add(Report report) {
  report.number = ++this->last_number;
  this->reports.push_back(std::move(report));
  if (this->reports.size() <= kMaxReports) {
    return;
  }
  // Survivals are many, and the next one says the same.
  const auto survival =
      std::ranges::find_if(this->reports, [](const Report& kept) {
        return std::holds_alternative<Survival>(kept.what);
      });
  this->reports.erase(survival != this->reports.end() ? survival
                                                      : this->reports.begin());
}

void CrashReports::Crashed(std::string replica,
                           std::vector<SuspectTrait> traits, Time now) {
  this->Add({Crash{std::move(replica), std::move(traits)}, now});
}

void CrashReports::Survived(const Fingerprint& trait, Time now) {
  this->quarantined.erase(trait);
  this->Add({Survival{trait}, now});
}

void CrashReports::Write(const Crash& crash, std::uint32_t age_ms,
                         WatchRequest& request) {
  request.observations.push_back({crash.replica, age_ms, crash.traits});
  for (const SuspectTrait& trait : crash.traits) {
    if (trait.depth == quarantine::kWholeRequestDepth) {
      request.crashes.push_back({trait.id, crash.replica, age_ms});
    }
  }
}

void CrashReports::Write(const Survival& survival, std::uint32_t age_ms,
                         WatchRequest& request) {
  request.survivals.push_back({survival.trait, age_ms});
  request.survived.push_back(survival.trait);
}

void CrashReports::AddTo(WatchRequest& request, Time now) {
  std::erase_if(this->reports, [now](const Report& report) {
    return now - report.when > CrashTracker::kRetention;
  });
  std::erase_if(this->quarantined, [now](const auto& entry) {
    return now - entry.second.since > CrashTracker::kRetention;
  });
  request.reports_traits = true;
  this->requested_number = this->last_number;
  this->requested_term = request.term;
  for (const Report& report : this->reports) {
    if (report.reported_term == request.term) {
      continue;
    }
    std::visit(
        [&](const auto& what) {
          Write(what, AgeMs(report.when, now), request);
        },
        report.what);
  }
  request.quarantine_revision = this->list_revision;
  if (this->list_term != request.term) {
    for (const auto& [trait, known] : this->quarantined) {
      request.quarantined.push_back(trait);
      request.quarantined_ages_ms.push_back(AgeMs(known.since, now));
    }
  }
}

void CrashReports::Answered(const WatchReply& reply, Time now) {
  for (Report& report : this->reports) {
    const bool was_asked = report.number <= this->requested_number;
    if (was_asked && report.reported_term != this->requested_term) {
      report.reported_term = reply.term;
    }
  }
  const bool same_leader = this->requested_term == reply.term;
  if (reply.has_quarantined) {
    // A new leader does not know yet which traits earlier leaders
    // quarantined, so its list only adds.
    if (same_leader) {
      this->quarantined.clear();
    }
    for (std::size_t i = 0; i < reply.quarantined.size(); ++i) {
      const Time since = SinceAt(reply.quarantined_ages_ms, i, now);
      const auto [known, added] =
          this->quarantined.try_emplace(reply.quarantined[i]);
      if (added) {
        known->second.since = since;
      }
      known->second.trial_due = TrialDue(reply, i, now);
    }
    this->list_revision = reply.quarantine_revision;
  }
  if (same_leader) {
    this->list_term = reply.term;
  }
}

}  // namespace papayarack::coordination
