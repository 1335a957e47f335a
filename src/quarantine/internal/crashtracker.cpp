#include "quarantine/crashtracker.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <optional>
#include <utility>

namespace papayarack::quarantine {
namespace {

/// Weight of a crash in halves: whole, or half if a quarantined trait explains
/// it. What one culprit explains weighs as much as one whole crash at most.
constexpr std::size_t kWholeCrash = 2;
constexpr std::size_t kExplainedCrash = 1;
constexpr std::size_t kMaxExplained = kWholeCrash;
constexpr std::size_t kHalvesThreshold =
    CrashTracker::kCrashThreshold * kWholeCrash;
constexpr std::size_t kSoundHalvesThreshold =
    CrashTracker::kSoundCrashThreshold * kWholeCrash;
constexpr std::size_t kFirstPartHalvesThreshold =
    CrashTracker::kFirstPartCrashThreshold * kWholeCrash;
constexpr std::uint8_t kFirstPartDepth = 0;

bool IsBelow(std::size_t halves, double share, std::size_t most) {
  return static_cast<double>(halves) < share * static_cast<double>(most);
}

/// Drops the older half, so that the search for the oldest pays off. Of those
/// at the middle, any.
void DropOlderHalf(std::map<Fingerprint, Time>& times) {
  std::vector<Time> sorted;
  sorted.reserve(times.size());
  for (const auto& [trait, when] : times) {
    sorted.push_back(when);
  }
  const auto middle =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::ranges::nth_element(sorted, middle);
  std::size_t left = sorted.size() / 2;
  std::erase_if(times, [middle = *middle, &left](const auto& entry) {
    const bool drops = left > 0 && entry.second <= middle;
    left -= drops ? 1 : 0;
    return drops;
  });
}

}  // namespace

std::uint32_t AgeMs(Time when, Time now) {
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - when);
  return static_cast<std::uint32_t>(age.count());
}

Time SinceAt(std::span<const std::uint32_t> ages_ms, std::size_t index,
             Time now) {
  const std::uint32_t age = index < ages_ms.size() ? ages_ms[index] : 0;
  return now - std::chrono::milliseconds(age);
}

void CrashTracker::Clear() {
  this->crashes.clear();
  this->suspects.clear();
  this->quarantined.clear();
  this->trials.clear();
  this->survivals.clear();
  ++this->changes;
}

void CrashTracker::Crashed(const CrashObservation& observation, Time now) {
  const Time when = now - std::chrono::milliseconds(observation.age_ms);
  const auto [crash, is_new] = this->crashes.try_emplace(observation.replica);
  this->trials_outdated = true;
  if (is_new) {
    crash->second.when = when;
  }
  for (const SuspectTrait& trait : observation.traits) {
    if (trait.survived_ms != SuspectTrait::kNeverSurvived) {
      this->RecordSurvival(trait.id,
                           when - std::chrono::milliseconds(trait.survived_ms));
    }
    const bool full = crash->second.ran.size() >= kMaxTraitsPerCrash;
    if (full || !crash->second.ran.insert(trait.id).second) {
      continue;
    }
    if (this->Quarantined(trait.id)) {
      crash->second.culprits.insert(trait.id);
      continue;
    }
    const auto survival = this->survivals.find(trait.id);
    if (survival == this->survivals.end() ||
        survival->second < crash->second.when) {
      Suspect& suspect = this->suspects[trait.id];
      suspect.depth = trait.depth;
      suspect.replicas.insert(observation.replica);
    }
  }
  if (this->crashes.size() > kMaxCrashes) {
    this->Drop(std::ranges::min_element(
        this->crashes, {},
        [](const auto& entry) { return entry.second.when; }));
  }
}

CrashTracker::Crashes::iterator CrashTracker::Drop(Crashes::iterator crash) {
  for (const Fingerprint& trait : crash->second.ran) {
    const auto suspect = this->suspects.find(trait);
    if (suspect == this->suspects.end()) {
      continue;
    }
    suspect->second.replicas.erase(crash->first);
    if (suspect->second.replicas.empty()) {
      this->suspects.erase(suspect);
    }
  }
  return this->crashes.erase(crash);
}

void CrashTracker::RecordSurvival(const Fingerprint& trait, Time when) {
  const auto [survival, is_new] = this->survivals.try_emplace(trait, when);
  survival->second = std::max(survival->second, when);
  if (is_new && this->survivals.size() > kMaxSurvivals) {
    DropOlderHalf(this->survivals);
  }
  const auto suspect = this->suspects.find(trait);
  if (suspect == this->suspects.end()) {
    return;
  }
  std::erase_if(suspect->second.replicas, [&](const std::string& replica) {
    return this->crashes.at(replica).when <= when;
  });
  if (suspect->second.replicas.empty()) {
    this->suspects.erase(suspect);
  }
}

void CrashTracker::Survived(const Fingerprint& trait, Time when) {
  this->RecordSurvival(trait, when);
  const auto verdict = this->quarantined.find(trait);
  if (verdict != this->quarantined.end() && when > verdict->second) {
    this->RemoveFromQuarantine(trait);
  }
}

void CrashTracker::Learn(const Fingerprint& trait, Time since, Time now) {
  const auto survival = this->survivals.find(trait);
  const bool was_refuted =
      survival != this->survivals.end() && survival->second > since;
  if (!was_refuted && !this->Quarantined(trait)) {
    this->AddToQuarantine(trait, since, now);
  }
}

void CrashTracker::AddToQuarantine(const Fingerprint& trait, Time since,
                                   Time now) {
  this->suspects.erase(trait);
  this->quarantined[trait] = since;
  const Time first = now + kFirstTrialWait;
  this->trials[trait] = {first, first};
  this->trials_outdated = true;
  for (auto& [replica, crash] : this->crashes) {
    if (crash.ran.contains(trait)) {
      crash.culprits.insert(trait);
    }
  }
  ++this->changes;
  if (this->quarantined.size() > kMaxQuarantined) {
    const Fingerprint oldest =
        std::ranges::min_element(this->quarantined, {}, [](const auto& entry) {
          return entry.second;
        })->first;
    this->RemoveFromQuarantine(oldest);
  }
}

/// What it explained stays explained: the crashes are no evidence against what
/// ran beside it.
void CrashTracker::RemoveFromQuarantine(const Fingerprint& trait) {
  this->quarantined.erase(trait);
  this->trials.erase(trait);
  ++this->changes;
}

bool CrashTracker::OthersCrashedNear(const Fingerprint& trait,
                                     Time when) const {
  return std::ranges::any_of(this->crashes, [&](const auto& entry) {
    const Crash& crash = entry.second;
    const bool near = crash.when > when - kCommonCauseWindow &&
                      crash.when < when + kCommonCauseWindow;
    return near && crash.culprits.empty() && !crash.ran.contains(trait);
  });
}

std::vector<CrashUnderTrait> CrashTracker::CrashesUnder(
    const Fingerprint& trait) const {
  std::vector<CrashUnderTrait> found;
  for (const auto& [replica, crash] : this->crashes) {
    if (crash.ran.contains(trait)) {
      found.push_back(
          {crash.when, !this->OthersCrashedNear(trait, crash.when)});
    }
  }
  std::ranges::sort(found, {}, &CrashUnderTrait::when);
  return found;
}

void CrashTracker::UpdateTrials() {
  if (!std::exchange(this->trials_outdated, false)) {
    return;
  }
  for (auto& [trait, trial] : this->trials) {
    const Time next = std::max(
        trial.not_before,
        NextTrial(this->quarantined.at(trait), this->CrashesUnder(trait)));
    if (next != trial.next) {
      trial.next = next;
      ++this->changes;
    }
  }
}

void CrashTracker::ForgetOld(Time now) {
  const auto old = [now](Time when) { return now - when > kRetention; };
  for (auto crash = this->crashes.begin(); crash != this->crashes.end();) {
    crash = old(crash->second.when) ? this->Drop(crash) : std::next(crash);
  }
  std::erase_if(this->survivals,
                [&](const auto& entry) { return old(entry.second); });
  std::vector<Fingerprint> ended;
  for (const auto& [trait, since] : this->quarantined) {
    if (old(since)) {
      ended.push_back(trait);
    }
  }
  for (const Fingerprint& trait : ended) {
    this->RemoveFromQuarantine(trait);
  }
}

CrashTracker::Evidence CrashTracker::EvidenceOf(const Fingerprint& trait,
                                                const Suspect& suspect) const {
  std::vector<std::pair<Time, std::string>> in_order;
  in_order.reserve(suspect.replicas.size());
  for (const std::string& replica : suspect.replicas) {
    in_order.emplace_back(this->crashes.at(replica).when, replica);
  }
  std::ranges::sort(in_order);
  Evidence found;
  found.trait = trait;
  found.depth = suspect.depth;
  found.survived_before = this->SurvivedBefore(trait);
  found.first = in_order.front().first;
  const auto same_event =
      found.survived_before ? kSoundEventWindow : kSameEventWindow;
  std::optional<Time> counted;
  std::map<Fingerprint, std::size_t> explained;  // By culprit, in halves.
  for (auto& [when, replica] : in_order) {
    const std::set<Fingerprint>& culprits = this->crashes.at(replica).culprits;
    found.replicas.push_back(std::move(replica));
    if (counted.has_value() && when - *counted < same_event) {
      continue;
    }
    counted = when;
    std::size_t weight = kWholeCrash;
    if (!culprits.empty()) {
      std::size_t& used = explained[*culprits.begin()];
      weight = std::min(kExplainedCrash, kMaxExplained - used);
      used += weight;
    }
    const bool was_reached = found.halves >= kHalvesThreshold;
    found.halves += weight;
    if (!was_reached && found.halves >= kHalvesThreshold) {
      found.threshold_reached = when;
    }
  }
  return found;
}

std::vector<CrashTracker::Evidence> CrashTracker::AllEvidence() const {
  std::vector<Evidence> all;
  for (const auto& [trait, suspect] : this->suspects) {
    if (suspect.replicas.size() >= kCrashThreshold) {
      all.push_back(this->EvidenceOf(trait, suspect));
    }
  }
  return all;
}

/// The deepest, which the fewest requests share. But where several requests tie
/// with a single part at the next depth, one culprit is likelier than several.
std::uint8_t CrashTracker::DecisiveDepth(const std::vector<Evidence>& tied) {
  constexpr std::size_t kMinRequests = 3;
  const auto at = [&tied](std::uint8_t depth) {
    return static_cast<std::size_t>(
        std::ranges::count(tied, depth, &Evidence::depth));
  };
  std::optional<std::uint8_t> deepest_part;
  for (const Evidence& evidence : tied) {
    if (evidence.depth != kWholeRequestDepth) {
      deepest_part = std::max(deepest_part.value_or(0), evidence.depth);
    }
  }
  const std::size_t requests = at(kWholeRequestDepth);
  const bool is_shared = deepest_part.has_value() && at(*deepest_part) == 1 &&
                         requests >= kMinRequests;
  if (requests > 0 && !is_shared) {
    return kWholeRequestDepth;
  }
  return deepest_part.value_or(kWholeRequestDepth);
}

std::vector<QuarantineDecision> CrashTracker::Strongest(
    std::vector<Evidence> candidates, std::size_t rivals_outside, Time now) {
  if (candidates.empty()) {
    return {};
  }
  const auto most = std::ranges::max(candidates, {}, &Evidence::halves).halves;
  std::erase_if(candidates, [most](const Evidence& evidence) {
    return evidence.halves < most;
  });
  const std::size_t rivals = candidates.size() - 1 + rivals_outside;
  if (rivals > 0) {
    std::erase_if(candidates, [now](const Evidence& evidence) {
      return now - evidence.threshold_reached < kTieDelay;
    });
  }
  if (candidates.empty()) {
    return {};
  }
  const std::uint8_t depth = DecisiveDepth(candidates);
  std::vector<QuarantineDecision> decisions;
  for (Evidence& evidence : candidates) {
    if (evidence.depth == depth) {
      decisions.push_back({evidence.trait, evidence.depth,
                           std::move(evidence.replicas), rivals});
    }
  }
  return decisions;
}

bool CrashTracker::Conclusive(const Evidence& evidence, Time now) {
  const Duration age = now - evidence.first;
  return evidence.survived_before
             ? evidence.halves >= kSoundHalvesThreshold && age >= kSoundDelay
             : evidence.halves >= kFirstPartHalvesThreshold &&
                   age >= kFirstPartDelay;
}

std::vector<QuarantineDecision> CrashTracker::Decide(Time now) const {
  std::vector<Evidence> fresh;
  std::vector<Evidence> others;
  std::size_t most_of_sound = 0;       // Without first parts.
  std::size_t most_of_first = 0;       // Of those that never survived.
  std::size_t most_of_conclusive = 0;  // Of these.
  for (Evidence& evidence : this->AllEvidence()) {
    const bool first_part = evidence.depth == kFirstPartDepth;
    if (!evidence.survived_before && !first_part) {
      fresh.push_back(std::move(evidence));
      continue;
    }
    if (!first_part) {
      most_of_sound = std::max(most_of_sound, evidence.halves);
    } else if (!evidence.survived_before) {
      most_of_first = std::max(most_of_first, evidence.halves);
      most_of_conclusive = std::max(
          most_of_conclusive, Conclusive(evidence, now) ? evidence.halves : 0);
    }
    others.push_back(std::move(evidence));
  }
  std::erase_if(fresh, [&](const Evidence& evidence) {
    return evidence.halves < kHalvesThreshold ||
           IsBelow(evidence.halves, kMinShareOfSound, most_of_sound) ||
           IsBelow(evidence.halves, kMinShareOfFirst, most_of_first) ||
           IsBelow(evidence.halves, kMinShareOfConclusive, most_of_conclusive);
  });
  if (!fresh.empty()) {
    const auto most = std::ranges::max(fresh, {}, &Evidence::halves).halves;
    const bool rival = std::max(most_of_sound, most_of_first) >= most;
    return Strongest(std::move(fresh), rival ? 1 : 0, now);
  }
  std::erase_if(others, [now](const Evidence& evidence) {
    return !Conclusive(evidence, now);
  });
  return Strongest(std::move(others), 0, now);
}

std::vector<QuarantineDecision> CrashTracker::Evaluate(Time now) {
  this->ForgetOld(now);
  std::vector<QuarantineDecision> all;
  for (auto due = this->Decide(now); !due.empty(); due = this->Decide(now)) {
    for (QuarantineDecision& decision : due) {
      this->AddToQuarantine(decision.trait, now, now);
      all.push_back(std::move(decision));
    }
  }
  this->UpdateTrials();
  return all;
}

}  // namespace papayarack::quarantine
