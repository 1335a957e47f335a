#include "jobs/jobstore.h"

#include <algorithm>

#include "jobs/itemline.h"

namespace papayarack::jobs {
namespace {

bool SameContent(const JobRequest& one, const JobRequest& other) {
  return one.service == other.service && one.work == other.work &&
         one.file == other.file;
}

constexpr std::int64_t kMillisPerDay = 86'400'000;

}  // namespace

const JobSummary& JobStore::Create(const JobRequest& request) {
  const auto known = this->keys.find({request.owner, request.key});
  if (known != this->keys.end()) {
    const JobSummary& first = this->jobs.at(known->second).summary;
    if (!SameContent(first.request, request)) {
      throw ResultError(
          ResultCode::kConflict,
          "this key was used for other content: job " + first.request.id);
    }
    return first;
  }
  const StoredFile* file = this->files.Find(request.file);
  if (file == nullptr || !file->complete || file->owner != request.owner) {
    throw ResultError(ResultCode::kNotFound,
                      "[/input_file_id] no such file: " + request.file);
  }
  Job job;
  job.summary.request = request;
  this->LoadItems(job, *file);
  if (job.summary.items > request.max_items) {
    throw ResultError(ResultCode::kTooLarge,
                      "the job holds " + std::to_string(job.summary.items) +
                          " items, the document allows " +
                          std::to_string(request.max_items));
  }
  this->keys[{request.owner, request.key}] = request.id;
  this->open_jobs[request.service].insert(request.id);
  return this->jobs.insert_or_assign(request.id, std::move(job))
      .first->second.summary;
}

void JobStore::LoadItems(Job& job, const StoredFile& file) {
  ItemTable& items = job.items;
  for (const Extent& extent : file.extents) {
    const std::string bytes = this->blobs.ReadAt(extent.offset, extent.length);
    std::size_t start = 0;
    while (start < bytes.size()) {
      std::size_t end = bytes.find('\n', start);
      end = end == std::string::npos ? bytes.size() : end;
      items.input_offset.push_back(extent.offset + start);
      items.input_length.push_back(static_cast<std::uint32_t>(end - start));
      start = end + 1;
    }
  }
  const std::size_t count = items.input_offset.size();
  items.result_offset.assign(count, 0);
  items.result_length.assign(count, 0);
  items.state.assign(count, static_cast<std::uint8_t>(ItemState::kPending));
  items.attempts.assign(count, 0);
  job.summary.items = static_cast<std::uint32_t>(count);
}

ResultCode JobStore::Complete(const ItemOutcome& outcome, std::int64_t now_ms) {
  const auto found = this->jobs.find(outcome.key.job);
  if (found == this->jobs.end() ||
      outcome.key.item >= found->second.summary.items) {
    return ResultCode::kNotFound;
  }
  Job& job = found->second;
  const auto state = static_cast<ItemState>(job.items.state[outcome.key.item]);
  if (state == ItemState::kDone || state == ItemState::kFailed) {
    return ResultCode::kAlreadyDone;
  }
  if (job.summary.State() != JobState::kRunning) {
    return ResultCode::kCancelled;
  }
  const auto lease = this->leases.find(outcome.key);
  const bool holds =
      lease != this->leases.end() && lease->second.attempt == outcome.attempt;
  switch (outcome.End()) {
    case AttemptEnd::kDone:
    case AttemptEnd::kImpossible: {
      // A late completion of an attempt whose lease expired is valid too: the
      // first completion wins.
      this->EndLease(outcome.key);
      const bool done = outcome.End() == AttemptEnd::kDone;
      this->FinishItem(job, outcome.key.item,
                       done ? ItemState::kDone : ItemState::kFailed,
                       outcome.line, now_ms);
      return ResultCode::kOk;
    }
    case AttemptEnd::kReturned:
      if (holds) {
        this->EndLease(outcome.key);
        this->UndoAttempt(job, outcome.key.item);
        this->Requeue(job, outcome.key.item);
      }
      return ResultCode::kOk;
    case AttemptEnd::kFailed:
      if (holds) {
        this->EndFailedAttempt(outcome.key, outcome.reason, now_ms);
      }
      return ResultCode::kOk;
  }
  return ResultCode::kBadInput;
}

void JobStore::FinishItem(Job& job, std::uint32_t item, ItemState state,
                          std::string_view line, std::int64_t now_ms) {
  const storage::BlobRef ref = this->blobs.Append(std::string(line) + "\n");
  job.items.result_offset[item] = ref.offset;
  job.items.result_length[item] = ref.length;
  job.items.state[item] = static_cast<std::uint8_t>(state);
  (state == ItemState::kDone ? job.summary.done : job.summary.failed) += 1;
  if (job.summary.done + job.summary.failed == job.summary.items) {
    job.summary.state = static_cast<std::uint8_t>(JobState::kCompleted);
    job.summary.finished_ms = now_ms;
    this->open_jobs[job.summary.request.service].erase(job.summary.request.id);
    job.retries.clear();
  }
}

const JobSummary& JobStore::Cancel(const std::string& id, std::int64_t now_ms) {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) {
    throw ResultError(ResultCode::kNotFound, "no such job: " + id);
  }
  Job& job = found->second;
  if (job.summary.State() != JobState::kRunning) {
    return job.summary;
  }
  job.summary.state = static_cast<std::uint8_t>(JobState::kCancelled);
  job.summary.finished_ms = now_ms;
  job.retries.clear();
  this->open_jobs[job.summary.request.service].erase(id);
  for (std::uint32_t item = 0; item < job.summary.items; ++item) {
    const auto state = static_cast<ItemState>(job.items.state[item]);
    if (state == ItemState::kLeased) {
      this->EndLease({id, item});
    }
    if (state == ItemState::kLeased || state == ItemState::kPending) {
      job.items.state[item] = static_cast<std::uint8_t>(ItemState::kDropped);
    }
  }
  return job.summary;
}

const JobSummary* JobStore::Find(std::string_view job) const {
  const auto found = this->jobs.find(job);
  return found != this->jobs.end() ? &found->second.summary : nullptr;
}

std::vector<const JobSummary*> JobStore::List(std::string_view owner) const {
  std::vector<const JobSummary*> list;
  for (const auto& [id, job] : this->jobs) {
    if (owner.empty() || job.summary.request.owner == owner) {
      list.push_back(&job.summary);
    }
  }
  return list;
}

std::string JobStore::ReadResults(std::string_view id, bool errors,
                                  std::uint32_t from_item,
                                  std::size_t max_bytes,
                                  std::uint32_t& next_item) const {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) {
    throw ResultError(ResultCode::kNotFound, "no such job: " + std::string(id));
  }
  const Job& job = found->second;
  const auto wanted =
      static_cast<std::uint8_t>(errors ? ItemState::kFailed : ItemState::kDone);
  std::string lines;
  std::uint32_t item = from_item;
  for (; item < job.summary.items && lines.size() < max_bytes; ++item) {
    if (job.items.state[item] == wanted) {
      lines += this->blobs.ReadAt(job.items.result_offset[item],
                                  job.items.result_length[item]);
    }
  }
  next_item = item;
  return lines;
}

std::string JobStore::CustomIdOf(const Job& job, std::uint32_t item) const {
  const std::string line = this->blobs.ReadAt(job.items.input_offset[item],
                                              job.items.input_length[item]);
  try {
    return ParseItemLine(line, item + 1).custom_id;
  } catch (const ResultError&) {
    return {};
  }
}

bool JobStore::HasOpenJobs(std::string_view service) const {
  const auto found = this->open_jobs.find(service);
  return found != this->open_jobs.end() && !found->second.empty();
}

void JobStore::ExpireJobs(std::int64_t now_ms) {
  std::erase_if(this->jobs, [&](const auto& entry) {
    const JobSummary& summary = entry.second.summary;
    const bool expired = summary.State() != JobState::kRunning &&
                         now_ms - summary.finished_ms >
                             summary.request.keep_days * kMillisPerDay;
    if (expired) {
      this->keys.erase({summary.request.owner, summary.request.key});
    }
    return expired;
  });
}

std::uint64_t JobStore::FirstNeededOffset(std::uint64_t none) const {
  std::uint64_t first = none;
  for (const auto& [id, job] : this->jobs) {
    if (!job.items.input_offset.empty()) {
      first = std::min(first, job.items.input_offset.front());
    }
  }
  return first;
}

}  // namespace papayarack::jobs
