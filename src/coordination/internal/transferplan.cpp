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

void TransferPlan::ReleaseSlot(Process& process) {
  if (!std::exchange(process.counted, false)) {
    return;
  }
  const auto found = this->fetchers.find(process.source);
  if (found != this->fetchers.end() && --found->second == 0) {
    this->fetchers.erase(found);
  }
}

void TransferPlan::Release(Process& process) {
  this->ReleaseSlot(process);
  process.source.clear();
}

void TransferPlan::Begin(Process& process, const std::string& source,
                         Time now) {
  process.source = source;
  process.source_since = now;
  process.confirmed = false;
  process.held_before = process.report.held;
  this->AcquireSlot(process);
}

void TransferPlan::AcquireSlot(Process& process) {
  const bool own_copy = process.source == process.report.address;
  if (!own_copy && !std::exchange(process.counted, true)) {
    ++this->fetchers[process.source];
  }
}

void TransferPlan::NoteFailure(Process& process, Time now) {
  if (process.source == process.report.address) {
    ++process.own_copy_failures;
    process.own_copy_failed = now;
    return;
  }
  Failure& failure = process.failures[process.source];
  ++failure.count;
  failure.last = now;
  if (process.source != this->own_address) {
    this->failed[process.source] = now;
  }
}

void TransferPlan::ForgetOldFailures(Process& process, Time now) {
  std::erase_if(process.failures, [now](const auto& failure) {
    return now - failure.second.last >= kFailureRetention;
  });
}

void TransferPlan::OnReport(const TransferReport& report, Time now) {
  Process& process = this->processes[report.name];
  const bool same_start = process.report.incarnation == report.incarnation;
  process.report = report;
  process.heard = now;
  if (!process.source.empty() && report.fetching_from == process.source) {
    process.source_since = now;
    process.confirmed = true;
    this->AcquireSlot(process);
    return;
  }
  if (!process.source.empty()) {
    // The fetch has ended. This is no failure if the process has a newer
    // version than before, even if not the newest, or has restarted.
    if (report.held <= process.held_before && same_start) {
      this->NoteFailure(process, now);
    }
    this->Release(process);
  }
  // Counts a fetch that the previous leader assigned. Otherwise a source would
  // serve up to twice its limit after a change of leader.
  if (!report.fetching_from.empty()) {
    this->Begin(process, report.fetching_from, now);
    process.confirmed = true;
  }
}

void TransferPlan::Remove(const std::string& name) {
  const auto found = this->processes.find(name);
  if (found == this->processes.end()) {
    return;
  }
  this->Release(found->second);
  this->processes.erase(found);
}

void TransferPlan::ForgetSilent(Time now) {
  for (auto& [name, process] : this->processes) {
    const Duration silent = now - process.source_since;
    if (!process.source.empty() && silent > kForgetAfter) {
      this->Release(process);
    } else if (!process.confirmed && silent > kConfirmTimeout) {
      this->ReleaseSlot(process);
    }
  }
  std::erase_if(this->failed, [now](const auto& source) {
    return now - source.second >= kSourceBackoff;
  });
}

std::size_t TransferPlan::FetchersOf(const std::string& address) const {
  const auto found = this->fetchers.find(address);
  return found != this->fetchers.end() ? found->second : 0;
}

bool TransferPlan::MayServe(const std::string& address, Time now) const {
  const auto found = this->failed.find(address);
  const bool avoided =
      found != this->failed.end() && now - found->second < kSourceBackoff;
  return !avoided && this->FetchersOf(address) < kMaxFetchers;
}

bool TransferPlan::HasText(const Process& process, Time now) const {
  return process.report.held >= this->version &&
         now - process.heard <= kForgetAfter;
}

bool TransferPlan::HasFreeSource(Time now) const {
  return this->MayServe(this->own_address, now) ||
         std::ranges::any_of(this->processes, [&](const auto& entry) {
           return this->HasText(entry.second, now) &&
                  this->MayServe(entry.second.report.address, now);
         });
}

bool TransferPlan::ReadsOwnCopy(const Process& process) {
  return process.report.is_member &&
         process.own_copy_failures < kMaxOwnCopyAttempts;
}

bool TransferPlan::ReadsOwnCopy(const std::string& name) const {
  const auto found = this->processes.find(name);
  return found != this->processes.end() && ReadsOwnCopy(found->second);
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
  ForgetOldFailures(asker, now);
  const bool own_copy = ReadsOwnCopy(asker);
  if (own_copy && asker.own_copy_failures > 0 &&
      now - asker.own_copy_failed < kOwnCopyRetryDelay) {
    return std::nullopt;
  }
  const auto allowed = [&](const std::string& address) {
    const auto own_failure = asker.failures.find(address);
    return this->MayServe(address, now) &&
           (own_failure == asker.failures.end() ||
            now - own_failure->second.last >= kSourceBackoff);
  };
  std::string best = own_copy ? asker.report.address : std::string();
  std::size_t best_cost = SIZE_MAX;
  const auto offer = [&](const std::string& address, std::size_t distance) {
    // Larger than any `distance`, so that sources that have failed come last.
    constexpr std::size_t kFailed = 1000;
    const std::size_t load = this->FetchersOf(address);
    const auto own_failures = asker.failures.find(address);
    const std::size_t failures =
        own_failures != asker.failures.end() ? own_failures->second.count : 0;
    const std::size_t cost = distance + load + failures * kFailed;
    if (allowed(address) && cost < best_cost) {
      best = address;
      best_cost = cost;
    }
  };
  if (!own_copy) {
    // Traffic between zones is costlier, and the leader's link carries all
    // other messages too, so the leader is the last choice.
    constexpr std::size_t kOtherZone = 10;
    constexpr std::size_t kLeader = 100;
    // Prefers members after a failure. Otherwise a process that cannot reach
    // some sources goes from one to the next and back, and gets the text
    // seconds late or never. The guarantee of an acknowledgement depends on the
    // members only.
    const bool detoured = asker.failures.size() >= kMaxDetours;
    const std::size_t others = detoured ? 2 * kLeader : 0;
    for (const auto& [other, process] : this->processes) {
      const TransferReport& report = process.report;
      const bool own = report.address == this->own_address;
      if (this->HasText(process, now) && other != name && !own) {
        const bool same_zone = report.zone == asker.report.zone;
        offer(report.address,
              (report.is_member ? 0 : others) + (same_zone ? 0 : kOtherZone));
      }
    }
    offer(this->own_address, kLeader);
  }
  if (best.empty()) {
    return std::nullopt;
  }
  this->Release(asker);
  this->Begin(asker, best, now);
  return best;
}

}  // namespace papayarack::coordination
