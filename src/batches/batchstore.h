#ifndef PAPAYARACK_BATCHES_BATCHSTORE_H_
#define PAPAYARACK_BATCHES_BATCHSTORE_H_

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "batches/batchstate.h"
#include "batches/itemstogiveup.h"
#include "batches/leasescheduler.h"
#include "batches/readqueue.h"
#include "coordination/fleetwatch.h"
#include "coordination/groupenvironment.h"
#include "routes/routetable.h"

namespace papayarack::batches {

struct BatchStoreOptions {
  consensus::MemberId member = 0;
  std::string address;
  std::size_t tolerated_losses = 1;
  /// How long a batch stays readable after its submission, once it is finished.
  std::chrono::milliseconds retention{120000};
  std::uint64_t random_seed = 1;
  /// Bodies of listed items are kept for one to two such intervals. A caller
  /// that has read the list asks for the bodies within a few seconds, also if
  /// it has to ask several times.
  std::chrono::milliseconds body_drop_interval{10000};
};

/// One member of the job group: stores batches, leases items to gates and
/// answers reads. The coordination group decides once which members create the
/// group. Thread safety: none, the loop's thread.
class BatchStore {
 public:
  /// Limit of the bytes of uncommitted reports. A report that would exceed it
  /// is refused unless it is the only one. This is an eighth of the 64 MB that
  /// control may use on a node, and as much as a leader commits in a few
  /// seconds.
  static constexpr std::size_t kMaxProposedBytes = std::size_t{8} << 20U;

  /// Called on the leader with the addresses of the members and the term, for
  /// the coordination group.
  using MembersChanged =
      std::function<void(std::vector<std::string> addresses, std::uint64_t)>;

  /// The quarantined traits, sorted, of an item of a batch for `host` on
  /// replicas of a service.
  using QuarantinedTraits =
      std::function<Traits(const std::string& host, const ItemSpec& item,
                           const std::string& service)>;

  /// Starts the group if `files` holds its state. Throws
  /// ResultError(kStorageDamaged).
  BatchStore(asio::io_context& context, storage::FileSystem& files,
             const BatchStoreOptions& options, transport::PeerClient& peers,
             transport::PeerServer*& server, transport::PeerDispatch& dispatch,
             MembersChanged members_changed,
             std::function<void(const std::string&)> storage_failed);
  ~BatchStore();
  BatchStore(const BatchStore&) = delete;
  BatchStore& operator=(const BatchStore&) = delete;

  /// Handles new information from the coordination group; may create or join
  /// the group.
  void OnFleet(const coordination::FleetKnowledge& fleet);
  void OnRoutes(routes::RouteTablePtr table);
  /// Items with quarantined traits are leased to gates of that service only as
  /// trials; empty: no trait is quarantined.
  void SetQuarantine(QuarantinedTraits traits_of);
  /// As LeaseScheduler::SetTrialTimes.
  void SetTrialTimes(std::map<quarantine::Fingerprint, Time> times);
  void TransferLeadership();

 private:
  using StreamId = transport::StreamId;
  struct Reader {
    ReadResults query;
    Time until{};
  };
  struct Puller {
    PullItems pull;
    Time until{};
  };
  /// Size and hash of a message, to recognise copies of it.
  struct Fingerprint {
    std::size_t bytes = 0;
    std::size_t digest = 0;
    bool operator==(const Fingerprint&) const = default;
  };
  /// A submitted batch that is not committed yet.
  struct Submission {
    Fingerprint fingerprint;
    std::vector<StreamId> streams;  ///< Callers that wait for its outcome.
  };
  using ProposalId = std::uint64_t;
  /// Outcomes proposed in one log entry that is not committed yet.
  struct ReportProposal {
    std::size_t bytes = 0;  ///< Size of the report that contained them.
    std::vector<ItemRef> items;
    std::vector<StreamId> reporters;  ///< Callers that wait for its outcome.
  };
  struct PendingOutcome {
    Fingerprint fingerprint;
    ProposalId proposal = 0;
  };
  /// A report with outcomes that are not committed yet.
  struct PendingReport {
    std::size_t proposals_left = 0;  ///< Proposals that it still waits for.
    ResultCode code = ResultCode::kOk;
  };

  static Fingerprint FingerprintOf(std::string_view bytes);
  void Register(transport::PeerDispatch& dispatch);
  void StartGroup();
  void Tick();
  void RunPeriodicTasks(Time now);
  bool Leads() const;
  /// Returns the size of the reply in bytes.
  std::size_t Reply(StreamId stream, ResultCode code, std::string body = {});
  void AfterConfirmation(StreamId stream, std::function<void()> read);
  /// Answers the read once leadership is confirmed and its turn comes.
  void QueueRead(StreamId stream, ReadQueue::Answer answer);
  /// Answers reads until the turn's limit and continues in the next turn.
  void AnswerQueuedReads();
  void ScheduleReads();
  void LogRefusedReads(Time now);
  /// Logs how items were leased since the last line.
  void LogLeases(Time now);
  std::size_t UnsentReadBytes() const;
  /// Replies kOk once leadership is confirmed, for a command whose effect is
  /// already in the state.
  void ReplyConfirmed(StreamId stream);
  /// Calls `done` with the state's reply or the group's refusal.
  void ProposeThen(const BatchCommand& command,
                   std::function<void(ResultCode)> done);
  void Propose(StreamId stream, const BatchCommand& command);
  void OnSubmit(StreamId stream, const std::string& body);
  void OnRead(StreamId stream, const std::string& body);
  void OnBody(StreamId stream, const std::string& body);
  void OnEnd(StreamId stream, const std::string& body);
  /// Ends a batch, or tells that its caller may not know of it.
  void End(StreamId stream, const EndBatch& command);
  void FinishEnd(const std::string& id, ResultCode code, Time requested_at);
  void OnPull(StreamId stream, const std::string& body);
  void OnReport(StreamId stream, const std::string& body);
  /// Whether the log has room for a report of this size.
  bool HasRoom(std::size_t report_bytes) const;
  void FinishReport(ProposalId id, ResultCode code);
  /// Whether the item has a result or its batch ended, so that further outcomes
  /// have no effect.
  bool IsFinal(const ItemRef& ref) const;
  void OnApplied();
  /// Answers the readers that wait for a change of one of these batches.
  void AnswerReadersOf(const std::set<std::string>& changed);
  /// Adds each item of the batch to the scheduler if it may run, else removes
  /// it.
  void SyncLeases(const std::string& batch, Time now);
  void SyncLease(const ItemRef& item, Time now);
  void ReassignLeases();
  /// A new leader knows which items wait from its state. It learns from the
  /// gates which of them are running.
  void BeginTerm(Time now);
  /// Refers callers that wait for results or items to another leader.
  void RefuseWaiting();
  /// Returns the size of the answer in bytes.
  std::size_t AnswerReader(StreamId stream, const Reader& reader);
  /// Whether there is such a batch for callers of `organisation`.
  bool MayRead(const std::string& batch, std::string_view organisation) const;
  std::size_t AnswerBody(StreamId stream, const ReadItemBody& query);
  void AnswerReaders(Time now);
  /// Whether a waiting pull can be answered now.
  bool ShouldAnswer(const PullItems& pull, const std::set<ItemRef>& removed,
                    Time now) const;
  bool AnswerPuller(StreamId stream, const Puller& puller, Time now);
  /// Leases items to a gate that pulls.
  std::vector<LeasedItem> TakeItems(const PullItems& pull, Time now);
  void AnswerPullers(Time now);
  /// Where the item may run under the current routes.
  Eligibility EligibilityOf(const ItemRef& item) const;
  /// The batch's organisation with its priority in the current configuration.
  ItemOwner OwnerOf(const BatchState::Batch& batch) const;
  /// Precondition: the item waits.
  LeasedItem Lease(const ItemRef& item, Time now) const;
  Time DueOf(const BatchState::Batch& batch, Time now) const;
  void GiveUpItems(Time now);
  /// Ends the items as given up. Precondition: there are some.
  void GiveUp(ReportOutcomes report, const char* reason);
  void ForgetOldBatches(Time now);
  void DropOldBodies(Time now);

  storage::FileSystem& files;
  BatchStoreOptions options;
  transport::PeerServer*& server;
  MembersChanged members_changed;
  std::function<void(const std::string&)> storage_failed;
  BatchState batch_state;
  LeaseScheduler leases;
  std::unique_ptr<replication::ReplicatedGroup> group;
  replication::GroupEnvironment environment;
  routes::RouteTablePtr table;
  QuarantinedTraits quarantined_traits;
  std::vector<replication::Candidate> candidates;
  std::vector<std::string> leaving_addresses;
  std::map<StreamId, Reader> readers;  ///< Wait for results.
  ReadQueue reads;
  bool reads_scheduled = false;     ///< `read_timer` is set.
  std::uint64_t refused_reads = 0;  ///< Since the last log line.
  /// Those of them for which leadership was not confirmed.
  std::uint64_t unconfirmed_reads = 0;
  Time next_refusal_log{};
  std::map<StreamId, Puller> pullers;
  std::map<std::string, Submission> submissions;  ///< By batch id.
  /// Callers that wait for an EndBatch command to be committed, by batch id.
  std::map<std::string, std::vector<StreamId>> pending_ends;
  std::map<ProposalId, ReportProposal> proposals;
  std::size_t proposed_bytes = 0;  ///< Of all `proposals`.
  std::map<ItemRef, PendingOutcome> outcomes;
  std::map<StreamId, PendingReport> reporters;
  ProposalId last_proposal = 0;
  Time next_tasks{};
  Time next_forget{};
  Time next_lease_log{};
  Time next_body_drop{};
  /// Item of the newest body at the previous check; empty ids: none.
  ItemRef last_old_body;
  bool giving_up = false;
  ItemsToGiveUp items_to_give_up;
  Time next_wait_check{};
  asio::steady_timer read_timer;
  asio::steady_timer timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_BATCHSTORE_H_
