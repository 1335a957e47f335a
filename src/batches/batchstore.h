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
#include "batches/leasescheduler.h"
#include "coordination/fleetwatch.h"
#include "coordination/groupenvironment.h"
#include "routes/routetable.h"

namespace papayarack::batches {

struct BatchStoreOptions {
  consensus::MemberId member = 0;
  std::string address;
  std::size_t losses_borne = 1;
  /// How long a finished batch stays readable after its submission.
  std::chrono::milliseconds keep_time{120000};
  std::uint64_t random_seed = 1;
};

/// One member of the job group: keeps batches, hands items to gates, answers
/// reads. The group is founded once, by the coordination group's word. Thread
/// safety: none, the loop's thread.
class BatchStore {
 public:
  /// Bytes of reports on their way through the log beyond which a further one
  /// is refused, unless it is the only one: an eighth of the 64 MB that control
  /// may take of a node, and some seconds of what a leader commits.
  static constexpr std::size_t kMostProposedBytes = std::size_t{8} << 20U;

  /// Told to the coordination group: the members, from the leader only.
  using MembersChanged =
      std::function<void(std::vector<std::string> addresses, std::uint64_t)>;

  /// Starts the group if `files` holds it. Throws
  /// ResultError(kStorageDamaged).
  BatchStore(asio::io_context& context, storage::FileSystem& files,
             const BatchStoreOptions& options, transport::PeerClient& peers,
             transport::PeerServer*& server, transport::PeerDispatch& dispatch,
             MembersChanged members_changed,
             std::function<void(const std::string&)> storage_failed);
  ~BatchStore();
  BatchStore(const BatchStore&) = delete;
  BatchStore& operator=(const BatchStore&) = delete;

  /// Takes what the coordination group says; may found or join the group.
  void OnFleet(const coordination::FleetKnowledge& fleet);
  void OnRoutes(routes::RouteTablePtr table);
  void HandOver();

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
  /// Tells one message from another without keeping a copy of it.
  struct Content {
    std::size_t bytes = 0;
    std::size_t digest = 0;
    bool operator==(const Content&) const = default;
  };
  /// A batch on its way through the log.
  struct Submission {
    Content content;
    std::vector<StreamId> streams;  ///< Wait for its outcome.
  };
  using ProposalId = std::uint64_t;
  /// Outcomes on their way through the log in one entry.
  struct ReportProposal {
    std::size_t bytes = 0;  ///< Of the report that brought them.
    std::vector<ItemRef> items;
    std::vector<StreamId> reporters;  ///< Wait for its outcome.
  };
  struct OutcomeUnderWay {
    Content content;
    ProposalId proposal = 0;
  };
  /// A report whose parts are on their way.
  struct Reporter {
    std::size_t left = 0;  ///< Proposals that it still waits for.
    ResultCode code = ResultCode::kOk;
  };

  static Content ContentOf(std::string_view bytes);
  void Register(transport::PeerDispatch& dispatch);
  void StartGroup();
  void Tick();
  void Work(Time now);
  bool Leads() const;
  void Reply(StreamId stream, ResultCode code, std::string body = {});
  void Confirmed(StreamId stream, std::function<void()> read);
  /// Says kOk for what the state holds already, once leadership is confirmed.
  void ReplyConfirmed(StreamId stream);
  /// `done` gets the state's reply or the group's refusal.
  void ProposeThen(const BatchCommand& command,
                   std::function<void(ResultCode)> done);
  void Propose(StreamId stream, const BatchCommand& command);
  void OnSubmit(StreamId stream, const std::string& body);
  void OnRead(StreamId stream, const std::string& body);
  void OnBody(StreamId stream, const std::string& body);
  void OnEnd(StreamId stream, const std::string& body);
  void EndAnswered(const std::string& id, ResultCode code, Time asked);
  void OnPull(StreamId stream, const std::string& body);
  void OnReport(StreamId stream, const std::string& body);
  /// Whether the log has room for a report of this size.
  bool HasRoom(std::size_t report_bytes) const;
  void EndReport(ProposalId id, ResultCode code);
  /// Listed, or its batch ended: no outcome changes that any more.
  bool IsFinal(const ItemRef& ref) const;
  void OnApplied();
  /// Answers who waits for news of one of these batches.
  void AnswerReadersOf(const std::set<std::string>& changed);
  /// Adds the batch's items to what may run, or takes them out.
  void SyncLeases(const std::string& batch, Time now);
  void SyncLease(const ItemRef& item, Time now);
  void OnTerm(Time now);
  void AnswerReader(StreamId stream, const Reader& reader);
  void AnswerReaders(Time now);
  /// Whether a pull that waits may have an answer now.
  bool HasNews(const PullItems& pull, const std::set<ItemRef>& removed,
               Time now) const;
  bool AnswerPuller(StreamId stream, const Puller& puller, Time now);
  void AnswerPullers(Time now);
  /// The services whose replicas may run the item by the routes in force.
  Services ServicesOf(const ItemRef& item) const;
  LeasedItem Lease(const ItemRef& item, Time now) const;
  Time DueOf(const BatchState::Batch& batch, Time now) const;
  void GiveUpItemsOfGoneRoutes();
  void ForgetOldBatches(Time now);

  storage::FileSystem& files;
  BatchStoreOptions options;
  transport::PeerServer*& server;
  MembersChanged members_changed;
  std::function<void(const std::string&)> storage_failed;
  BatchState book;
  LeaseScheduler desk;
  std::unique_ptr<replication::ReplicatedGroup> group;
  replication::GroupEnvironment environment;
  routes::RouteTablePtr table;
  std::vector<replication::Candidate> candidates;
  std::vector<std::string> leaving_addresses;
  std::map<StreamId, Reader> readers;
  std::map<StreamId, Puller> pullers;
  std::map<std::string, Submission> submissions;  ///< By batch.
  /// Ends on their way through the log, by batch, with who waits for them.
  std::map<std::string, std::vector<StreamId>> ends;
  std::map<ProposalId, ReportProposal> proposals;
  std::size_t proposed_bytes = 0;  ///< Of all `proposals`.
  std::map<ItemRef, OutcomeUnderWay> outcomes;
  std::map<StreamId, Reporter> reporters;
  ProposalId last_proposal = 0;
  consensus::Term led_term = 0;
  Time next_work{};
  Time next_forget{};
  bool giving_up = false;
  asio::steady_timer timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_BATCHSTORE_H_
