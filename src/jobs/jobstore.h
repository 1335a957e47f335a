#ifndef PAPAYARACK_JOBS_JOBSTORE_H_
#define PAPAYARACK_JOBS_JOBSTORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "global/messagecodec.h"
#include "global/resultcode.h"
#include "jobs/filestore.h"
#include "storage/blobstore.h"

namespace papayarack::jobs {

enum class JobState : std::uint8_t {
  kRunning = 0,
  kCompleted = 1,
  kCancelled = 2
};
enum class ItemState : std::uint8_t {
  kPending = 0,
  kLeased = 1,
  kDone = 2,
  kFailed = 3,
  kDropped = 4
};

/// A job as submitted by a caller.
struct JobRequest {
  std::string id;
  std::string owner;
  std::string key;  ///< Idempotency key, unique per owner.
  std::string service;
  std::string work;
  std::string file;
  std::int64_t created_ms = 0;
  std::int64_t due_ms = 0;
  std::uint32_t max_attempts = 3;
  std::uint32_t max_items = 63000;
  std::uint32_t keep_days = 30;
  bool repeatable = true;
  MSGPACK_DEFINE(id, owner, key, service, work, file, created_ms, due_ms,
                 max_attempts, max_items, keep_days, repeatable)
};

/// A job with its progress, as returned to callers.
struct JobSummary {
  JobRequest request;
  std::uint8_t state = 0;
  std::uint32_t items = 0;
  std::uint32_t done = 0;
  std::uint32_t failed = 0;
  std::uint32_t leased = 0;
  std::uint64_t attempts = 0;
  std::int64_t finished_ms = 0;
  MSGPACK_DEFINE(request, state, items, done, failed, leased, attempts,
                 finished_ms)

  JobState State() const { return static_cast<JobState>(this->state); }
};

/// Identifies one item of one job.
struct ItemKey {
  std::string job;
  std::uint32_t item = 0;
  MSGPACK_DEFINE(job, item)
  auto operator<=>(const ItemKey&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

/// An item leased to a gate for one attempt.
struct LeasedItem {
  ItemKey key;
  std::uint32_t attempt = 0;
  std::int64_t due_ms = 0;
  std::string work;
  std::string line;
  MSGPACK_DEFINE(key, attempt, due_ms, work, line)
};

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  kDone = 0,        ///< `line` is the output line.
  kImpossible = 1,  ///< The upstream reported a permanent error; `line` is the
                    ///< error line.
  kFailed =
      2,  ///< Counts as an attempt; the item is retried while attempts remain.
  kReturned = 3,  ///< Preempted or never started; does not count as an attempt.
};
struct ItemOutcome {
  ItemKey key;
  std::uint32_t attempt = 0;
  std::uint8_t end = 0;
  std::string line;    ///< Output or error line.
  std::string reason;  ///< For kFailed.
  MSGPACK_DEFINE(key, attempt, end, line, reason)

  AttemptEnd End() const { return static_cast<AttemptEnd>(this->end); }
};

/// A request of a gate for work, which also renews its leases.
struct LeaseRequest {
  std::string holder;
  std::uint64_t incarnation = 0;
  std::string service;
  std::uint32_t count = 0;
  std::int64_t now_ms = 0;
  std::int64_t lease_ms = 0;
  std::vector<ItemKey>
      holding;  ///< Items that the gate holds; their leases are renewed.
  MSGPACK_DEFINE(holder, incarnation, service, count, now_ms, lease_ms, holding)
};

/// Stores jobs and their items; part of the replicated state machine.
/// Invariants: a job is accepted as a whole; an item is leased to one holder at
/// a time; the first completion wins; the number of attempts is bounded; after
/// a cancellation no item starts or completes. Deterministic. Thread safety:
/// none.
class JobStore {
 public:
  JobStore(storage::BlobStore& blobs, FileStore& files)
      : blobs(blobs), files(files) {}

  /// Accepts a job, or returns the job already created under its key. Throws
  /// ResultError: kConflict if the key was used for other content, kNotFound if
  /// the file does not exist, kTooLarge.
  const JobSummary& Create(const JobRequest& request);
  /// Leases up to request.count items. Leases of this holder that it does not
  /// list are revoked: either the reply to its last request was lost, or it
  /// restarted.
  std::vector<LeasedItem> Lease(const LeaseRequest& request);
  /// Records the end of an attempt. Returns kAlreadyDone if the item has
  /// already completed, kCancelled after a cancellation, kOk otherwise. Does
  /// not throw for a stale outcome.
  ResultCode Complete(const ItemOutcome& outcome, std::int64_t now_ms);
  /// Cancels a job; no effect on a job that is already cancelled or finished.
  /// Throws ResultError(kNotFound).
  const JobSummary& Cancel(const std::string& job, std::int64_t now_ms);
  /// Revokes expired leases. A lease that would last longer than one granted
  /// now, because the clock was set back, is shortened to that.
  void ExpireLeases(std::int64_t now_ms);
  /// True if ExpireLeases would change something.
  bool HasExpired(std::int64_t now_ms) const;
  /// Removes finished jobs whose retention period is over.
  void ExpireJobs(std::int64_t now_ms);

  /// Returns the job, or null if it does not exist.
  const JobSummary* Find(std::string_view job) const;
  std::vector<const JobSummary*> List(std::string_view owner) const;
  /// Returns result lines in item order, each with its newline, starting at
  /// `from_item` and stopping once `max_bytes` are reached. Sets `next_item` to
  /// the item to continue from, which is the number of items at the end.
  std::string ReadResults(std::string_view job, bool errors,
                          std::uint32_t from_item, std::size_t max_bytes,
                          std::uint32_t& next_item) const;
  std::size_t LeaseCount() const { return this->leases.size(); }
  bool HasOpenJobs(std::string_view service) const;
  /// Smallest blob offset that a job still refers to; `none` if there is no
  /// job.
  std::uint64_t FirstNeededOffset(std::uint64_t none) const;

  std::string Save() const;
  void Load(std::string_view bytes);

 private:
  /// Items as parallel arrays, 26 bytes per item.
  struct ItemTable {
    std::vector<std::uint64_t> input_offset;
    std::vector<std::uint32_t> input_length;
    std::vector<std::uint64_t> result_offset;
    std::vector<std::uint32_t> result_length;
    std::vector<std::uint8_t> state;
    std::vector<std::uint8_t> attempts;
    MSGPACK_DEFINE(input_offset, input_length, result_offset, result_length,
                   state, attempts)
  };
  struct Job {
    JobSummary summary;
    ItemTable items;
    std::uint32_t next_unleased = 0;    ///< First item that was never leased.
    std::deque<std::uint32_t> retries;  ///< Items waiting for another attempt.
    std::uint64_t granted = 0;  ///< Number of grants, for fairness among jobs.
    MSGPACK_DEFINE(summary, items, next_unleased, retries, granted)
  };
  struct ItemLease {
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint32_t attempt = 0;
    std::int64_t expires_ms = 0;
    bool suspect = false;        ///< An earlier attempt ended without a result.
    std::int64_t length_ms = 0;  ///< Zero: granted by an earlier release.
    MSGPACK_DEFINE(holder, incarnation, attempt, expires_ms, suspect, length_ms)

    /// Whether it was granted by a clock that was ahead of `now_ms`.
    bool IsTooLong(std::int64_t now_ms) const {
      return this->length_ms > 0 && this->expires_ms > now_ms + this->length_ms;
    }
  };
  friend struct JobStoreSnapshot;

  void LoadItems(Job& job, const StoredFile& file);
  Job* PickJob(std::string_view service, bool holder_has_suspect,
               std::uint64_t picks);
  std::optional<std::uint32_t> PickItem(Job& job, bool holder_has_suspect);
  void ReclaimUnlistedLeases(const LeaseRequest& request);
  bool HolderHasSuspect(std::string_view holder) const;
  void EndLease(const ItemKey& key);
  void ShortenLeases(std::int64_t now_ms);
  void EndFailedAttempt(const ItemKey& key, std::string_view reason,
                        std::int64_t now_ms);
  void UndoAttempt(Job& job, std::uint32_t item);
  void Requeue(Job& job, std::uint32_t item);
  void FinishItem(Job& job, std::uint32_t item, ItemState state,
                  std::string_view line, std::int64_t now_ms);
  std::string CustomIdOf(const Job& job, std::uint32_t item) const;

  storage::BlobStore& blobs;
  FileStore& files;
  std::map<std::string, Job, std::less<>> jobs;
  std::map<std::pair<std::string, std::string>, std::string>
      keys;  ///< Job id by owner and key.
  std::map<ItemKey, ItemLease> leases;
  std::set<std::pair<std::int64_t, ItemKey>> expiries;
  std::map<std::string, std::set<std::string>, std::less<>>
      open_jobs;  ///< Job ids by service.
};

}  // namespace papayarack::jobs

#endif  // PAPAYARACK_JOBS_JOBSTORE_H_
