#include "coordination/transferplan.h"

#include <algorithm>
#include <utility>

namespace papayarack::coordination {

void TransferPlan::Clear() {
  this->processes.clear();
  this->fetchers.clear();
  this->failed.clear();
}

void TransferPlan::SetVersion(std::uint64_t newest) {
  if (newest == this->version) {
    return;
  }
  this->version = newest;
  for (auto& [name, process] : this->processes) {
    process.own_copy_failures = 0;
  }
}

void TransferPlan::Release(Process& process) {
  if (process.source.empty()) {
    return;
  }
  if (process.counted) {
    const auto found = this->fetchers.find(process.source);
    if (found != this->fetchers.end() && --found->second == 0) {
      this->fetchers.erase(found);
    }
  }
  process.source.clear();
}

void TransferPlan::Heard(const TransferReport& report, Time now) {
  Process& process = this->processes[report.name];
  const bool same_start = process.report.incarnation == report.incarnation;
  process.report = report;
  if (process.source.empty()) {
    return;
  }
  if (report.fetching_from == process.source) {
    process.source_since = now;
    return;
  }
  // It has the text that it was sent for, or has started anew, or another
  // version is wanted by now, or its source failed it.
  const bool source_failed = report.held < process.source_version &&
                             process.source_version == this->version &&
                             same_start;
  if (source_failed && process.source == report.address) {
    ++process.own_copy_failures;
    process.own_copy_failed = now;
  } else if (source_failed && process.source != this->own_address) {
    this->failed[process.source] = now;
  }
  this->Release(process);
}

void TransferPlan::Gone(const std::string& name) {
  const auto found = this->processes.find(name);
  if (found == this->processes.end()) {
    return;
  }
  this->Release(found->second);
  this->processes.erase(found);
}

void TransferPlan::ForgetSilent(Time now) {
  for (auto& [name, process] : this->processes) {
    if (!process.source.empty() && now - process.source_since > kForgetAfter) {
      this->Release(process);
    }
  }
  std::erase_if(this->failed, [now](const auto& source) {
    return now - source.second >= kAvoidFor;
  });
}

std::size_t TransferPlan::FetchersOf(const std::string& address) const {
  const auto found = this->fetchers.find(address);
  return found != this->fetchers.end() ? found->second : 0;
}

bool TransferPlan::MayServe(const std::string& address, Time now) const {
  const auto found = this->failed.find(address);
  const bool avoided =
      found != this->failed.end() && now - found->second < kAvoidFor;
  return !avoided && this->FetchersOf(address) < kMostFetchers;
}

bool TransferPlan::HasFreeSource(Time now) const {
  return this->MayServe(this->own_address, now) ||
         std::ranges::any_of(this->processes, [&](const auto& entry) {
           const TransferReport& report = entry.second.report;
           return report.held >= this->version &&
                  this->MayServe(report.address, now);
         });
}

std::size_t TransferPlan::Holders() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->processes, [this](const auto& entry) {
        return entry.second.report.held >= this->version;
      }));
}

std::optional<std::string> TransferPlan::Assign(const std::string& name,
                                                Time now) {
  const auto found = this->processes.find(name);
  if (found == this->processes.end()) {
    return std::nullopt;
  }
  Process& asker = found->second;
  const bool own_copy =
      asker.report.is_member && asker.own_copy_failures < kOwnCopyTries;
  if (own_copy && asker.own_copy_failures > 0 &&
      now - asker.own_copy_failed < kOwnCopyPause) {
    return std::nullopt;
  }
  std::string best = own_copy ? asker.report.address : std::string();
  std::size_t best_cost = SIZE_MAX;
  const auto offer = [&](const std::string& address, std::size_t cost) {
    const std::size_t load = this->FetchersOf(address);
    if (this->MayServe(address, now) && cost + load < best_cost) {
      best = address;
      best_cost = cost + load;
    }
  };
  if (!own_copy) {
    // Bytes between zones are the dearer ones, and the leader's link carries
    // everything else too: it gives what nobody else can.
    constexpr std::size_t kOtherZone = 10;
    constexpr std::size_t kLeader = 100;
    for (const auto& [other, process] : this->processes) {
      const bool holds = process.report.held >= this->version;
      const bool own = process.report.address == this->own_address;
      if (holds && other != name && !own) {
        offer(process.report.address,
              process.report.zone == asker.report.zone ? 0 : kOtherZone);
      }
    }
    offer(this->own_address, kLeader);
  }
  if (best.empty()) {
    return std::nullopt;
  }
  this->Release(asker);
  asker.source = best;
  asker.source_since = now;
  asker.source_version = this->version;
  asker.counted = !own_copy;
  if (asker.counted) {
    ++this->fetchers[best];
  }
  return best;
}

}  // namespace papayarack::coordination
