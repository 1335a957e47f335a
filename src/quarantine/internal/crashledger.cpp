#include "quarantine/crashledger.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace papayarack::quarantine {
namespace {

/// Halves of a crash, by whether another request has been found to cause it.
constexpr std::size_t kWholeCrash = 2;
constexpr std::size_t kExplainedCrash = 1;
constexpr std::size_t kHalvesForVerdict =
    CrashLedger::kCrashesForVerdict * kWholeCrash;

template <typename Map>
void DropOldestAbove(Map& map, std::size_t most) {
  while (map.size() > most) {
    map.erase(std::ranges::min_element(
        map, {}, [](const auto& entry) { return entry.second; }));
  }
}

}  // namespace

void CrashLedger::Clear() {
  this->crashes.clear();
  this->suspects.clear();
  this->verdicts.clear();
  this->survivors.clear();
  ++this->changes;
}

void CrashLedger::Crashed(const CrashReport& report, Time now) {
  if (this->survivors.count(report.request) > 0) {
    return;
  }
  const Time when = now - std::chrono::milliseconds(report.age_ms);
  const auto [crash, is_new] = this->crashes.try_emplace(report.replica);
  if (is_new) {
    crash->second.when = when;
  }
  if (crash->second.ran.size() >= kMostRequestsOfCrash) {
    return;
  }
  crash->second.ran.insert(report.request);
  if (!this->Quarantined(report.request)) {
    this->suspects[report.request].insert(report.replica);
  }
  if (this->crashes.size() > kMostCrashes) {
    this->Drop(std::ranges::min_element(
        this->crashes, {},
        [](const auto& entry) { return entry.second.when; }));
  }
}

CrashLedger::Crashes::iterator CrashLedger::Drop(Crashes::iterator crash) {
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

void CrashLedger::Survived(const Fingerprint& request, Time now) {
  this->survivors[request] = now;
  DropOldestAbove(this->survivors, kMostCrashes);
  this->suspects.erase(request);
  for (auto& [replica, crash] : this->crashes) {
    crash.ran.erase(request);
  }
  this->changes += this->verdicts.erase(request);
}

void CrashLedger::Learn(const Fingerprint& request, Time now) {
  if (!this->Quarantined(request) && this->survivors.count(request) == 0) {
    this->AddVerdict(request, now);
  }
}

void CrashLedger::AddVerdict(const Fingerprint& request, Time now) {
  this->suspects.erase(request);
  this->verdicts[request] = now;
  DropOldestAbove(this->verdicts, kMostVerdicts);
  ++this->changes;
}

void CrashLedger::ForgetOld(Time now) {
  const auto old = [now](Time when) { return now - when > kRemember; };
  for (auto crash = this->crashes.begin(); crash != this->crashes.end();) {
    crash = old(crash->second.when) ? this->Drop(crash) : std::next(crash);
  }
  std::erase_if(this->survivors,
                [&](const auto& entry) { return old(entry.second); });
  this->changes += std::erase_if(
      this->verdicts, [&](const auto& entry) { return old(entry.second); });
}

bool CrashLedger::ExplainedByOther(const Crash& crash,
                                   const Fingerprint& request) const {
  return std::ranges::any_of(crash.ran, [&](const Fingerprint& other) {
    return other != request && this->Quarantined(other);
  });
}

CrashLedger::Evidence CrashLedger::EvidenceOf(
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
    if (counted.has_value() && when - *counted < kSameMoment) {
      continue;
    }
    counted = when;
    const bool had_enough = found.halves >= kHalvesForVerdict;
    found.halves += this->ExplainedByOther(this->crashes.at(replica), request)
                        ? kExplainedCrash
                        : kWholeCrash;
    if (!had_enough && found.halves >= kHalvesForVerdict) {
      found.enough = when;
    }
  }
  return found;
}

std::size_t CrashLedger::RivalsOf(const Fingerprint& request,
                                  const Evidence& known) const {
  std::set<Fingerprint> beside;
  for (const std::string& replica : known.replicas) {
    const std::set<Fingerprint>& ran = this->crashes.at(replica).ran;
    beside.insert(ran.begin(), ran.end());
  }
  return static_cast<std::size_t>(
      std::ranges::count_if(beside, [&](const Fingerprint& other) {
        const auto suspect = this->suspects.find(other);
        return other != request && suspect != this->suspects.end() &&
               this->EvidenceOf(other, suspect->second).halves >= known.halves;
      }));
}

std::vector<Verdict> CrashLedger::Judge(Time now) {
  this->ForgetOld(now);
  std::vector<Verdict> due;
  for (const auto& [request, replicas] : this->suspects) {
    if (replicas.size() < kCrashesForVerdict) {
      continue;
    }
    Evidence known = this->EvidenceOf(request, replicas);
    if (known.halves < kHalvesForVerdict) {
      continue;
    }
    const std::size_t rivals = this->RivalsOf(request, known);
    if (rivals == 0 || now - known.enough >= kTieWait) {
      due.push_back({request, std::move(known.replicas), rivals});
    }
  }
  for (const Verdict& verdict : due) {
    this->AddVerdict(verdict.request, now);
  }
  return due;
}

std::vector<Fingerprint> CrashLedger::Verdicts() const {
  std::vector<Fingerprint> all;
  all.reserve(this->verdicts.size());
  for (const auto& [request, since] : this->verdicts) {
    all.push_back(request);
  }
  return all;
}

}  // namespace papayarack::quarantine
