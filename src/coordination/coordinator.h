#ifndef PAPAYARACK_COORDINATION_COORDINATOR_H_
#define PAPAYARACK_COORDINATION_COORDINATOR_H_

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "coordination/changelist.h"
#include "coordination/configurationhistory.h"
#include "coordination/coordinationstate.h"
#include "coordination/groupenvironment.h"
#include "coordination/nodetable.h"
#include "coordination/quarantinetracker.h"
#include "coordination/reserverecord.h"
#include "coordination/submissions.h"
#include "coordination/transferplan.h"
#include "replication/replicatedgroup.h"
#include "transport/peerclient.h"
#include "transport/peerdispatch.h"
#include "transport/peerserver.h"

namespace papayarack::coordination {

/// The group's leader and members, as far as this process knows them.
struct LeaderHint {
  std::string leader;  ///< Empty when it is not known.
  std::vector<std::string> members;
};

struct CoordinatorOptions {
  consensus::MemberId member = 0;
  bool has_disk = false;  ///< False if the group is kept in memory.
  std::string address;
  /// VMs with a disk that may be lost at once.
  std::size_t tolerated_losses = 1;
  std::uint64_t random_seed = 1;
  /// The current seed addresses in this process's settings.
  std::function<std::vector<std::string>()> seeds;
  /// Returned to callers while this member knows no leader.
  std::function<LeaderHint()> hint = [] { return LeaderHint{}; };
  /// Called twice a second while this member knows the leader.
  std::function<void(const AnnounceMembers&)> leader_known =
      [](const AnnounceMembers&) {};
};

/// Reads the platform's list of replicas. `done` receives nullopt if it could
/// not be read.
using ListEngines = std::function<void(
    std::function<void(std::optional<std::vector<EngineInstance>>)> done)>;

/// One member of the coordination group: stores the configuration, tracks the
/// processes and sends every process what changed. Thread safety: none, the
/// loop's thread.
class Coordinator {
 public:
  /// Recovers from `files`, which must hold an identity. Throws
  /// ResultError(kStorageDamaged).
  Coordinator(asio::io_context& context, storage::FileSystem& files,
              const CoordinatorOptions& options, transport::PeerClient& peers,
              transport::PeerServer*& server, transport::PeerDispatch& dispatch,
              ListEngines list_engines,
              std::function<void(const std::string&)> storage_failed);
  ~Coordinator();
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  void TransferLeadership() { this->group->TransferLeadership(); }
  bool Leads() const { return this->group->Leads(); }
  consensus::Term term() const { return this->group->term(); }
  std::string LeaderAddress() const { return this->group->LeaderAddress(); }
  /// See RaftCore::QuorumContact.
  std::optional<Time> QuorumContact() const {
    return this->group->QuorumContact();
  }
  ReserveRecord& reserves() { return *this->reserve_record; }

 private:
  struct Watcher {
    WatchRequest request;
    Time since{};
    /// The next reply offers the newer configuration.
    bool offer = false;
    std::string source;  ///< Address to fetch it from; empty: sent inline.
    bool hosts_were_known = false;  ///< NodeTable::HostsKnown at the request.
  };
  using StreamId = transport::StreamId;

  void Register(transport::PeerDispatch& dispatch);
  void Tick();
  void Work(Time now);
  /// A new leader starts with no reports; every process reports again.
  void BeginTerm(Time now);
  void OnWatch(StreamId stream, const std::string& body);
  void OnReadConfiguration(StreamId stream, const std::string& body);
  void OnEmptyStore(StreamId stream, const std::string& body);
  void OnReadStore(StreamId stream, const std::string& body);
  void AnswerWatchers(Time now);
  void AnswerWatchersOf(std::span<const NodeRole> roles, Time now);
  bool HasNews(Watcher& watcher, Time now);
  bool Differs(const WatchRequest& request) const;
  bool EnginesDiffer(const WatchRequest& request) const;
  bool MaySendFullText(Time now);
  /// Whether the watcher can get a newer configuration now. Sets its source.
  bool OfferConfiguration(Watcher& watcher, Time now);
  void AddConfiguration(const Watcher& watcher, WatchReply& reply) const;
  void AddLists(const WatchRequest& request, WatchReply& reply) const;
  /// Tells when a quorum confirmed this leader.
  void AddConfirmation(const Watcher& watcher, WatchReply& reply) const;
  TransferReport TransferReportOf(const WatchRequest& request) const;
  /// Precondition: the reading began at `begun` or later.
  void TakeEngineList(std::span<const EngineInstance> list, Time begun);
  /// Whether the list was read when the watcher wants it to be.
  bool HasWantedReading(const Watcher& watcher) const;
  /// Tells when the list was read.
  void AddListReading(const Watcher& watcher, WatchReply& reply) const;
  /// Whether a caller can be referred to another member.
  bool KnowsOtherLeader() const;
  WatchReply MakeReply(const Watcher& watcher) const;
  void Reply(StreamId stream, ResultCode code, std::string body = {});
  void FoundJobGroupWhenReady(Time now);
  /// Stores that stay if `name` is emptied, too.
  std::size_t StoresLeftWithout(const std::string& name) const;
  StoreState StateOf(const std::string& name) const;
  void PollEngines(Time now);
  void Announce(Time now);

  CoordinatorOptions options;
  transport::PeerClient& peers;
  transport::PeerServer*& server;
  ListEngines list_engines;
  CoordinationState state;
  NodeTable nodes;
  std::unique_ptr<replication::ReplicatedGroup> group;
  std::unique_ptr<Submissions> submissions;
  std::unique_ptr<ReserveRecord> reserve_record;
  std::map<StreamId, Watcher> watchers;
  ConfigurationHistory config_history;
  QuarantineTracker quarantine;
  TransferPlan plan;
  /// Some process waits for a source of the text.
  bool waiting_for_source = false;
  Time next_full_text{};
  ChangeList<EngineInstance, &EngineInstance::address> engines;
  Time engines_seen{};
  /// When the reading that `engines` is of began, at the earliest.
  Time engines_begun{};
  Time next_poll{};
  Time next_work{};
  Time next_announcement{};
  std::string announced_leader;
  bool poll_under_way = false;
  bool founding = false;
  /// Stores whose order to be emptied is in the log and not committed yet.
  std::set<std::string> emptying;
  Time led_since{};
  asio::steady_timer timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_COORDINATOR_H_
