#include <algorithm>

#include "jobs/itemline.h"
#include "jobs/jobstore.h"

namespace papayarack::jobs {
namespace {

/// Every nth grant goes to the job with the fewest grants, whatever its due
/// time: a job of 63,000 items must not delay a job of ten that is due a little
/// later.
constexpr std::uint64_t kFairGrantInterval = 2;

}  // namespace

std::vector<LeasedItem> JobStore::Lease(const LeaseRequest& request) {
  this->ReclaimUnlistedLeases(request);
  std::vector<LeasedItem> granted;
  bool has_suspect = this->HolderHasSuspect(request.holder);
  while (granted.size() < request.count) {
    Job* job = this->PickJob(request.service, has_suspect, granted.size());
    if (job == nullptr) {
      break;
    }
    const std::uint32_t item = *this->PickItem(*job, has_suspect);
    const ItemKey key{job->summary.request.id, item};
    const bool suspect = job->items.attempts[item] > 0;
    has_suspect = has_suspect || suspect;
    job->items.attempts[item] += 1;
    job->items.state[item] = static_cast<std::uint8_t>(ItemState::kLeased);
    job->granted += 1;
    job->summary.leased += 1;
    job->summary.attempts += 1;
    const std::int64_t expires = request.now_ms + request.lease_ms;
    this->leases[key] = {
        request.holder, request.incarnation, job->items.attempts[item], expires,
        suspect,        request.lease_ms};
    this->expiries.insert({expires, key});
    granted.push_back({key, job->items.attempts[item],
                       job->summary.request.due_ms, job->summary.request.work,
                       this->blobs.ReadAt(job->items.input_offset[item],
                                          job->items.input_length[item])});
  }
  return granted;
}

JobStore::Job* JobStore::PickJob(std::string_view service,
                                 bool holder_has_suspect, std::uint64_t picks) {
  const auto open = this->open_jobs.find(service);
  if (open == this->open_jobs.end()) {
    return nullptr;
  }
  Job* first_due = nullptr;
  Job* least_granted = nullptr;
  for (const std::string& id : open->second) {
    Job& job = this->jobs.at(id);
    if (!this->PickItem(job, holder_has_suspect).has_value()) {
      continue;
    }
    if (first_due == nullptr ||
        job.summary.request.due_ms < first_due->summary.request.due_ms) {
      first_due = &job;
    }
    if (least_granted == nullptr || job.granted < least_granted->granted) {
      least_granted = &job;
    }
  }
  return picks % kFairGrantInterval == kFairGrantInterval - 1 ? least_granted
                                                              : first_due;
}

/// Returns the next item to lease without leasing it. Skips items that are no
/// longer pending and changes nothing else. An item whose earlier attempt ended
/// without a result goes only to a holder without another such item: otherwise
/// one item that crashes its upstream could take down gate after gate.
std::optional<std::uint32_t> JobStore::PickItem(Job& job,
                                                bool holder_has_suspect) {
  const auto pending = static_cast<std::uint8_t>(ItemState::kPending);
  while (job.next_unleased < job.summary.items &&
         job.items.state[job.next_unleased] != pending) {
    ++job.next_unleased;
  }
  while (!job.retries.empty() &&
         job.items.state[job.retries.front()] != pending) {
    job.retries.pop_front();
  }
  if (!job.retries.empty()) {
    const bool suspect = job.items.attempts[job.retries.front()] > 0;
    if (!suspect || !holder_has_suspect) {
      return job.retries.front();
    }
  }
  while (job.next_unleased < job.summary.items &&
         (job.items.state[job.next_unleased] != pending ||
          job.items.attempts[job.next_unleased] > 0)) {
    ++job.next_unleased;
  }
  if (job.next_unleased < job.summary.items) {
    return job.next_unleased;
  }
  return std::nullopt;
}

bool JobStore::HolderHasSuspect(std::string_view holder) const {
  return std::ranges::any_of(this->leases, [holder](const auto& entry) {
    return entry.second.suspect && entry.second.holder == holder;
  });
}

void JobStore::ReclaimUnlistedLeases(const LeaseRequest& request) {
  std::vector<ItemKey> lost;
  for (auto& [key, lease] : this->leases) {
    if (lease.holder != request.holder) {
      continue;
    }
    const bool listed =
        std::ranges::find(request.holding, key) != request.holding.end();
    if (!listed) {
      lost.push_back(key);
      continue;
    }
    this->expiries.erase({lease.expires_ms, key});
    lease.expires_ms = request.now_ms + request.lease_ms;
    lease.length_ms = request.lease_ms;
    this->expiries.insert({lease.expires_ms, key});
  }
  for (const ItemKey& key : lost) {
    const ItemLease& lease = this->leases.at(key);
    if (lease.incarnation == request.incarnation) {
      // The process did not restart, so it never received the grant: nothing
      // ran, and no attempt is counted.
      Job& job = this->jobs.at(key.job);
      this->EndLease(key);
      this->UndoAttempt(job, key.item);
      this->Requeue(job, key.item);
    } else {
      this->EndFailedAttempt(key, "the process that ran it restarted",
                             request.now_ms);
    }
  }
}

void JobStore::EndLease(const ItemKey& key) {
  const auto lease = this->leases.find(key);
  if (lease == this->leases.end()) {
    return;
  }
  this->expiries.erase({lease->second.expires_ms, key});
  this->leases.erase(lease);
  this->jobs.at(key.job).summary.leased -= 1;
}

void JobStore::UndoAttempt(Job& job, std::uint32_t item) {
  job.items.attempts[item] -= 1;
  job.summary.attempts -= 1;
}

void JobStore::Requeue(Job& job, std::uint32_t item) {
  job.items.state[item] = static_cast<std::uint8_t>(ItemState::kPending);
  job.retries.push_back(item);
}

void JobStore::EndFailedAttempt(const ItemKey& key, std::string_view reason,
                                std::int64_t now_ms) {
  Job& job = this->jobs.at(key.job);
  this->EndLease(key);
  const JobRequest& request = job.summary.request;
  const bool spent = job.items.attempts[key.item] >= request.max_attempts;
  if (!spent && request.repeatable) {
    this->Requeue(job, key.item);
    return;
  }
  // An item that may not be repeated is never leased again after an attempt
  // whose outcome is unknown.
  const ResultCode code = request.repeatable ? ResultCode::kAttemptsExhausted
                                             : ResultCode::kUnknownOutcome;
  const std::string line = ErrorLine(
      key.job, key.item, this->CustomIdOf(job, key.item), code, reason);
  this->FinishItem(job, key.item, ItemState::kFailed, line, now_ms);
}

bool JobStore::HasExpired(std::int64_t now_ms) const {
  return !this->expiries.empty() &&
         (this->expiries.begin()->first <= now_ms ||
          this->leases.at(this->expiries.rbegin()->second).IsTooLong(now_ms));
}

void JobStore::ShortenLeases(std::int64_t now_ms) {
  for (auto& [key, lease] : this->leases) {
    if (!lease.IsTooLong(now_ms)) {
      continue;
    }
    this->expiries.erase({lease.expires_ms, key});
    lease.expires_ms = now_ms + lease.length_ms;
    this->expiries.insert({lease.expires_ms, key});
  }
}

void JobStore::ExpireLeases(std::int64_t now_ms) {
  this->ShortenLeases(now_ms);
  while (!this->expiries.empty() && this->expiries.begin()->first <= now_ms) {
    const ItemKey key = this->expiries.begin()->second;
    this->EndFailedAttempt(
        key, "its lease ran out: the process or upstream that ran it went away",
        now_ms);
  }
}

}  // namespace papayarack::jobs
