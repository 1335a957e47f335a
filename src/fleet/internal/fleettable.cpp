#include "fleet/fleettable.h"

#include <algorithm>

namespace papayarack::fleet {

bool FleetTable::OnHeartbeat(const ProcessReport& report, Time now) {
  const auto [place, fresh] = this->entries.try_emplace(report.name);
  Entry& entry = place->second;
  if (!fresh && report.incarnation < entry.report.incarnation) {
    return false;
  }
  const bool restarted = fresh || report.incarnation > entry.report.incarnation;
  if (restarted) {
    entry.leaving = false;
    const auto listed = this->platform_leaving.find(report.name);
    if (listed != this->platform_leaving.end()) {
      // The list named it before this start was known. As the list lags, the
      // mark applies to the incarnation known when it was first listed, or else
      // to the first one seen after that, but not to later ones.
      const bool marked_now =
          listed->second == 0 || listed->second == report.incarnation;
      listed->second =
          listed->second == 0 ? report.incarnation : listed->second;
      entry.leaving = marked_now;
    }
  }
  const bool leaving = entry.leaving || report.leaving;
  const bool changed = restarted || leaving != entry.leaving || !entry.alive ||
                       report.address != entry.report.address ||
                       report.service != entry.report.service ||
                       report.revision != entry.report.revision;
  entry.report = report;
  entry.heard = now;
  entry.alive = true;
  entry.leaving = leaving;
  this->change_count += changed ? 1 : 0;
  return true;
}

void FleetTable::SetPlatformLeaving(const std::vector<std::string>& names) {
  std::erase_if(this->platform_leaving, [&names](const auto& listed) {
    return std::ranges::find(names, listed.first) == names.end();
  });
  for (const std::string& name : names) {
    const auto known = this->entries.find(name);
    const std::uint64_t incarnation =
        known != this->entries.end() ? known->second.report.incarnation : 0;
    const bool new_mark =
        this->platform_leaving.try_emplace(name, incarnation).second;
    if (new_mark && known != this->entries.end() && !known->second.leaving) {
      known->second.leaving = true;
      ++this->change_count;
    }
  }
}

void FleetTable::Refresh(Time now) {
  const Duration forget_after = this->dead_after * kForgetAfterTimeouts;
  const std::size_t forgotten =
      std::erase_if(this->entries, [&](const auto& entry) {
        return now - entry.second.heard > forget_after;
      });
  this->change_count += forgotten;
  for (auto& [name, entry] : this->entries) {
    const bool alive = now - entry.heard <= this->dead_after;
    this->change_count += alive != entry.alive ? 1 : 0;
    entry.alive = alive;
  }
}

std::vector<FleetMember> FleetTable::Members(Time now) {
  this->Refresh(now);
  std::vector<FleetMember> members;
  members.reserve(this->entries.size());
  for (const auto& [name, entry] : this->entries) {
    const auto quiet = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - entry.heard);
    members.push_back(
        {entry.report, entry.leaving, entry.alive, quiet.count()});
  }
  return members;
}

}  // namespace papayarack::fleet
