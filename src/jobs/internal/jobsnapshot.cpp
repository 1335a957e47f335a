#include "jobs/jobstore.h"

namespace papayarack::jobs {

/// The serialized state of a JobStore, without what can be derived.
struct JobStoreSnapshot {
  std::map<std::string, JobStore::Job> jobs;
  std::vector<ItemKey> lease_keys;
  std::vector<JobStore::ItemLease> leases;
  MSGPACK_DEFINE(jobs, lease_keys, leases)
};

std::string JobStore::Save() const {
  JobStoreSnapshot snapshot;
  snapshot.jobs.insert(this->jobs.begin(), this->jobs.end());
  for (const auto& [key, lease] : this->leases) {
    snapshot.lease_keys.push_back(key);
    snapshot.leases.push_back(lease);
  }
  return EncodeMessage(snapshot);
}

void JobStore::Load(std::string_view bytes) {
  auto snapshot = DecodeMessage<JobStoreSnapshot>(bytes);
  this->jobs.clear();
  this->keys.clear();
  this->leases.clear();
  this->expiries.clear();
  this->open_jobs.clear();
  for (auto& [id, job] : snapshot.jobs) {
    const JobRequest& request = job.summary.request;
    this->keys[{request.owner, request.key}] = id;
    if (job.summary.State() == JobState::kRunning) {
      this->open_jobs[request.service].insert(id);
    }
    this->jobs.emplace(id, std::move(job));
  }
  for (std::size_t i = 0;
       i < snapshot.lease_keys.size() && i < snapshot.leases.size(); ++i) {
    this->expiries.insert(
        {snapshot.leases[i].expires_ms, snapshot.lease_keys[i]});
    this->leases.emplace(snapshot.lease_keys[i], std::move(snapshot.leases[i]));
  }
}

}  // namespace papayarack::jobs
