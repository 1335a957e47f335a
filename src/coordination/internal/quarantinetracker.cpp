#include "coordination/quarantinetracker.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

#include "global/logging.h"

namespace papayarack::coordination {

using quarantine::CrashObservation;
using quarantine::CrashReport;
using quarantine::Fingerprint;
using quarantine::QuarantineDecision;
using quarantine::SurvivalReport;

void QuarantineTracker::BeginTerm() { this->crash_tracker.Clear(); }

/// Survivals come after crashes, as those of the same report may clear them.
void QuarantineTracker::OnReport(const WatchRequest& request, Time now) {
  if (!request.reports_traits) {
    this->OnEarlierRelease(request, now);
  }
  for (const CrashObservation& observation : request.observations) {
    this->crash_tracker.Crashed(observation, now);
  }
  for (const SurvivalReport& survival : request.survivals) {
    this->OnSurvival(survival, request.self.name, now);
  }
  for (std::size_t i = 0; i < request.quarantined.size(); ++i) {
    this->crash_tracker.Learn(
        request.quarantined[i],
        quarantine::SinceAt(request.quarantined_ages_ms, i, now), now);
  }
  const bool any_crash =
      !request.crashes.empty() || !request.observations.empty();
  if (any_crash) {
    this->Evaluate(now);
  }
}

void QuarantineTracker::OnEarlierRelease(const WatchRequest& request,
                                         Time now) {
  for (const CrashReport& report : request.crashes) {
    this->crash_tracker.Crashed(
        {report.replica, report.age_ms, {{report.request}}}, now);
  }
  for (const Fingerprint& survived : request.survived) {
    this->OnSurvival({survived, 0}, request.self.name, now);
  }
}

void QuarantineTracker::OnSurvival(const SurvivalReport& survival,
                                   const std::string& process, Time now) {
  const bool was = this->crash_tracker.Quarantined(survival.trait);
  this->crash_tracker.Survived(
      survival.trait, now - std::chrono::milliseconds(survival.age_ms));
  if (was && !this->crash_tracker.Quarantined(survival.trait)) {
    Log(LogLevel::kWarn, "quarantine_lifted",
        {{"fingerprint", survival.trait.ToString()}, {"process", process}});
  }
}

void QuarantineTracker::Evaluate(Time now) {
  for (const QuarantineDecision& decision : this->crash_tracker.Evaluate(now)) {
    Log(LogLevel::kWarn, "request_quarantined",
        {{"fingerprint", decision.trait.ToString()},
         {"part", decision.depth != quarantine::kWholeRequestDepth},
         {"depth", static_cast<int>(decision.depth)},
         {"crashes", decision.replicas.size()},
         {"replicas", fmt::format("{}", fmt::join(decision.replicas, " "))},
         {"rivals", decision.rivals},
         {"revision", this->crash_tracker.revision()}});
  }
}

bool QuarantineTracker::NeedsList(const WatchRequest& request) const {
  return request.quarantine_revision != 0 &&
         request.quarantine_revision != this->crash_tracker.revision();
}

void QuarantineTracker::AddTo(const WatchRequest& request, WatchReply& reply,
                              Time now) const {
  reply.quarantine_revision = this->crash_tracker.revision();
  const bool other_leader = request.term != reply.term;
  if (!other_leader && !this->NeedsList(request)) {
    return;
  }
  reply.has_quarantined = true;
  for (const auto& [trait, since] : this->crash_tracker.QuarantinedTraits()) {
    reply.quarantined.push_back(trait);
    reply.quarantined_ages_ms.push_back(quarantine::AgeMs(since, now));
    const Time trial = std::max(now, this->crash_tracker.TrialOf(trait));
    reply.trial_in_ms.push_back(quarantine::AgeMs(now, trial));
  }
}

}  // namespace papayarack::coordination
