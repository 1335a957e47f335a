#include "quarantine/crashtracker.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace papayarack::quarantine {
namespace {

/// Weight of a crash in halves: whole, or half if a quarantined request
/// explains it.
constexpr std::size_t kWholeCrash = 2;
constexpr std::size_t kExplainedCrash = 1;
constexpr std::size_t kHalvesThreshold =
    CrashTracker::kCrashThreshold * kWholeCrash;

template <typename Map>
void DropOldestAbove(Map& map, std::size_t limit) {
  while (map.size() > limit) {
    map.erase(std::ranges::min_element(
        map, {}, [](const auto& entry) { return entry.second; }));
  }
}

}  // namespace

void CrashTracker::Clear() {
  this->crashes.clear();
  this->suspects.clear();
  this->quarantined.clear();
  this->survivors.clear();
  ++this->changes;
}

void CrashTracker::Crashed(const CrashReport& report, Time now) {
  if (this->survivors.count(report.request) > 0) {
    return;
  }
  const Time when = now - std::chrono::milliseconds(report.age_ms);
  const auto [crash, is_new] = this->crashes.try_emplace(report.replica);
  if (is_new) {
    crash->second.when = when;
  }
  if (crash->second.ran.size() >= kMaxRequestsPerCrash) {
    return;
  }
  crash->second.ran.insert(report.request);
  if (!this->Quarantined(report.request)) {
    this->suspects[report.request].insert(report.replica);
  }
  if (this->crashes.size() > kMaxCrashes) {
    this->Drop(std::ranges::min_element(
        this->crashes, {},
        [](const auto& entry) { return entry.second.when; }));
  }
}

CrashTracker::Crashes::iterator CrashTracker::Drop(Crashes::iterator crash) {
  for (const Fingerprint& request : crash->second.ran) {
    const auto suspect = this->suspects.find(request);
    if (suspect != this->suspects.end()) {
      suspect->second.erase(crash->first);
    }
  }
  std::erase_if(this->suspects,
                [](const auto& suspect) { return suspect.second.empty(); });
  return this->crashes.erase(crash);
}

void CrashTracker::Survived(const Fingerprint& request, Time now) {
  this->survivors[request] = now;
  DropOldestAbove(this->survivors, kMaxCrashes);
  this->suspects.erase(request);
  for (auto& [replica, crash] : this->crashes) {
    crash.ran.erase(request);
  }
  this->changes += this->quarantined.erase(request);
}

void CrashTracker::Learn(const Fingerprint& request, Time now) {
  if (!this->Quarantined(request) && this->survivors.count(request) == 0) {
    this->AddToQuarantine(request, now);
  }
}

void CrashTracker::AddToQuarantine(const Fingerprint& request, Time now) {
  this->suspects.erase(request);
  this->quarantined[request] = now;
  DropOldestAbove(this->quarantined, kMaxQuarantined);
  ++this->changes;
}

void CrashTracker::ForgetOld(Time now) {
  const auto old = [now](Time when) { return now - when > kRetention; };
  for (auto crash = this->crashes.begin(); crash != this->crashes.end();) {
    crash = old(crash->second.when) ? this->Drop(crash) : std::next(crash);
  }
  std::erase_if(this->survivors,
                [&](const auto& entry) { return old(entry.second); });
  this->changes += std::erase_if(
      this->quarantined, [&](const auto& entry) { return old(entry.second); });
}

bool CrashTracker::ExplainedByOther(const Crash& crash,
                                    const Fingerprint& request) const {
  return std::ranges::any_of(crash.ran, [&](const Fingerprint& other) {
    return other != request && this->Quarantined(other);
  });
}

CrashTracker::Evidence CrashTracker::EvidenceOf(
    const Fingerprint& request, const std::set<std::string>& replicas) const {
  std::vector<std::pair<Time, std::string>> in_order;
  in_order.reserve(replicas.size());
  for (const std::string& replica : replicas) {
    in_order.emplace_back(this->crashes.at(replica).when, replica);
  }
  std::ranges::sort(in_order);
  Evidence found;
  std::optional<Time> counted;
  for (const auto& [when, replica] : in_order) {
    found.replicas.push_back(replica);
    if (counted.has_value() && when - *counted < kSameEventWindow) {
      continue;
    }
    counted = when;
    const bool was_reached = found.halves >= kHalvesThreshold;
    found.halves += this->ExplainedByOther(this->crashes.at(replica), request)
                        ? kExplainedCrash
                        : kWholeCrash;
    if (!was_reached && found.halves >= kHalvesThreshold) {
      found.threshold_reached = when;
    }
  }
  return found;
}

std::size_t CrashTracker::CountRivals(const Fingerprint& request,
                                      const Evidence& evidence) const {
  std::set<Fingerprint> beside;
  for (const std::string& replica : evidence.replicas) {
    const std::set<Fingerprint>& ran = this->crashes.at(replica).ran;
    beside.insert(ran.begin(), ran.end());
  }
  return static_cast<std::size_t>(
      std::ranges::count_if(beside, [&](const Fingerprint& other) {
        const auto suspect = this->suspects.find(other);
        return other != request && suspect != this->suspects.end() &&
               this->EvidenceOf(other, suspect->second).halves >=
                   evidence.halves;
      }));
}

std::vector<QuarantineDecision> CrashTracker::Evaluate(Time now) {
  this->ForgetOld(now);
  std::vector<QuarantineDecision> due;
  for (const auto& [request, replicas] : this->suspects) {
    if (replicas.size() < kCrashThreshold) {
      continue;
    }
    Evidence evidence = this->EvidenceOf(request, replicas);
    if (evidence.halves < kHalvesThreshold) {
      continue;
    }
    const std::size_t rivals = this->CountRivals(request, evidence);
    if (rivals == 0 || now - evidence.threshold_reached >= kTieDelay) {
      due.push_back({request, std::move(evidence.replicas), rivals});
    }
  }
  for (const QuarantineDecision& decision : due) {
    this->AddToQuarantine(decision.request, now);
  }
  return due;
}

std::vector<Fingerprint> CrashTracker::QuarantinedRequests() const {
  std::vector<Fingerprint> all;
  all.reserve(this->quarantined.size());
  for (const auto& [request, since] : this->quarantined) {
    all.push_back(request);
  }
  return all;
}

}  // namespace papayarack::quarantine
