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

/// What a caller asks for.
struct JobRequest {
  std::string id;
  std::string owner;
  std::string key;  ///< Idempotency key, unique for its owner.
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

/// A job as it is shown.
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

/// Names one item of one job.
struct ItemKey {
  std::string job;
  std::uint32_t item = 0;
  MSGPACK_DEFINE(job, item)
  auto operator<=>(const ItemKey&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

/// An item handed to a gate for one attempt.
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
  kImpossible = 1,  ///< The upstream says that it can never be done; `line` is
                    ///< the error line.
  kFailed =
      2,  ///< It counts as an attempt and runs again while attempts remain.
  kReturned = 3,  ///< It stepped aside or never ran: no attempt is counted.
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

/// A gate asking for work.
struct LeaseRequest {
  std::string holder;
  std::uint64_t incarnation = 0;
  std::string service;
  std::uint32_t count = 0;
  std::int64_t now_ms = 0;
  std::int64_t lease_ms = 0;
  std::vector<ItemKey>
      holding;  ///< What the gate knows to hold; these leases are renewed.
  MSGPACK_DEFINE(holder, incarnation, service, count, now_ms, lease_ms, holding)
};

/// Jobs and their items, as the log decides them. The rules: a job is accepted
/// whole; an item is leased to one holder at a time; the first completion
/// stands; attempts are counted and bounded; after a cancel no item starts or
/// completes. Deterministic. Thread safety: none.
class JobStore {
 public:
  JobStore(storage::BlobStore& blobs, FileStore& files)
      : blobs(blobs), files(files) {}

  /// Accepts a job, or gives the one that its key names already. Throws
  /// ResultError(kConflict) when the key was used for other content, kNotFound
  /// without the file, kTooLarge.
  const JobSummary& Create(const JobRequest& request);
  /// Grants up to request.count items. Leases of the holder that it does not
  /// list are taken back: its answer was lost, or it restarted.
  std::vector<LeasedItem> Lease(const LeaseRequest& request);
  /// Records the end of an attempt. kAlreadyDone when an earlier completion
  /// stands, kCancelled after a cancel, kOk otherwise. Nothing throws for a
  /// stale outcome.
  ResultCode Complete(const ItemOutcome& outcome, std::int64_t now_ms);
  /// Throws ResultError(kNotFound). Cancelling twice, or a finished job,
  /// changes nothing.
  const JobSummary& Cancel(const std::string& job, std::int64_t now_ms);
  /// Takes back leases that ran out.
  void ExpireLeases(std::int64_t now_ms);
  /// True when ExpireLeases would change something.
  bool HasExpired(std::int64_t now_ms) const;
  /// Forgets jobs whose time to be kept is over, and their bytes.
  void ExpireJobs(std::int64_t now_ms);

  /// The job, or null. Thread safety: as the class.
  const JobSummary* Find(std::string_view job) const;
  std::vector<const JobSummary*> List(std::string_view owner) const;
  /// Result lines in item order, each with its line end, from `from_item` until
  /// `max_bytes`. `next_item` receives where to go on; it is the number of
  /// items at the end.
  std::string ReadResults(std::string_view job, bool errors,
                          std::uint32_t from_item, std::size_t max_bytes,
                          std::uint32_t& next_item) const;
  std::size_t LeaseCount() const { return this->leases.size(); }
  bool HasOpenJobs(std::string_view service) const;
  /// Smallest blob offset that a job still needs; `none` when there is no job.
  std::uint64_t FirstNeededOffset(std::uint64_t none) const;

  std::string Save() const;
  void Load(std::string_view bytes);

 private:
  /// Items as parallel arrays: 26 bytes an item.
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
    std::uint32_t next_fresh = 0;     ///< First item that was never leased.
    std::deque<std::uint32_t> again;  ///< Items to run again.
    std::uint64_t granted = 0;        ///< For fairness among jobs.
    MSGPACK_DEFINE(summary, items, next_fresh, again, granted)
  };
  struct ItemLease {
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint32_t attempt = 0;
    std::int64_t expires_ms = 0;
    bool suspect = false;  ///< An earlier attempt ended without a word.
    MSGPACK_DEFINE(holder, incarnation, attempt, expires_ms, suspect)
  };
  friend struct JobStoreSnapshot;

  void LoadItems(Job& job, const StoredFile& file);
  Job* PickJob(std::string_view service, bool holder_has_suspect,
               std::uint64_t picks);
  std::optional<std::uint32_t> PickItem(Job& job, bool holder_has_suspect);
  void TakeBackUnlisted(const LeaseRequest& request);
  bool HolderHasSuspect(std::string_view holder) const;
  void EndLease(const ItemKey& key);
  void AttemptLost(const ItemKey& key, std::string_view reason,
                   std::int64_t now_ms);
  void TakeBackAttempt(Job& job, std::uint32_t item);
  void RunAgain(Job& job, std::uint32_t item);
  void FinishItem(Job& job, std::uint32_t item, ItemState state,
                  std::string_view line, std::int64_t now_ms);
  std::string CustomIdOf(const Job& job, std::uint32_t item) const;

  storage::BlobStore& blobs;
  FileStore& files;
  std::map<std::string, Job, std::less<>> jobs;
  std::map<std::pair<std::string, std::string>, std::string>
      keys;  ///< Owner and key to job.
  std::map<ItemKey, ItemLease> leases;
  std::set<std::pair<std::int64_t, ItemKey>> expiries;
  std::map<std::string, std::set<std::string>, std::less<>>
      open_jobs;  ///< By service.
};

}  // namespace papayarack::jobs

#endif  // PAPAYARACK_JOBS_JOBSTORE_H_
