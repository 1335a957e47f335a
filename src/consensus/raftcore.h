#ifndef PAPAYARACK_CONSENSUS_RAFTCORE_H_
#define PAPAYARACK_CONSENSUS_RAFTCORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "consensus/raftlog.h"
#include "consensus/raftmessages.h"
#include "global/resultcode.h"
#include "global/timepoint.h"

namespace papayarack::consensus {

/// Timeouts and limits of one group member.
struct RaftOptions {
  GroupId group = 0;
  MemberId self = 0;
  Duration heartbeat_interval{std::chrono::milliseconds(100)};
  /// Randomised between this and twice this.
  Duration election_timeout{std::chrono::milliseconds(600)};
  /// The election timeout until the first election after a start. If all
  /// members were killed at once there is no leader, and callers wait this
  /// long. A leader that is still active is not disturbed, because its
  /// followers refuse the pre-vote.
  Duration first_election_timeout{std::chrono::milliseconds(150)};
  std::size_t max_append_bytes = 1U << 20U;
  std::size_t max_inflight_appends = 16;
  /// Limit of payload bytes sent to one follower and not yet acknowledged; a
  /// single append may exceed it. 2 MB take 0.17 s on a 12 MB/s link. With four
  /// followers they add up to 8 MB, in a process that may use 64 MB.
  std::size_t max_inflight_bytes = 2U << 20U;
  /// Maximum wait for an acknowledgement before entries are sent again. The
  /// wait starts at two heartbeats plus the transfer time of the bytes in
  /// flight, and doubles with each resend. 1 MB (max_append_bytes) in 3.2 s is
  /// 2.6 Mbit/s, so an append arrives in time even with only a tenth of the
  /// slowest VM's link (30 Mbit/s).
  Duration max_resend_delay{std::chrono::milliseconds(3200)};
  std::size_t max_uncommitted_bytes = 64U << 20U;
  std::uint64_t seed = 1;
};

enum class RaftRole : std::uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

/// Identifies one RaftReady and the end of the log at that time.
struct RaftBatch {
  std::uint64_t number = 0;
  Index last_index = 0;
  Term last_term = 0;
};

/// Work for the owner, to be done in this order: send `before_sync`; write
/// truncate_from, entries and hard_state and sync them; call Persisted; send
/// `after_sync`; apply `committed`; answer reads.
struct RaftReady {
  RaftBatch batch;
  std::vector<RaftMessage> before_sync;
  std::optional<Index> truncate_from;
  std::vector<Entry> entries;
  std::optional<HardState> hard_state;
  std::vector<RaftMessage> after_sync;
  std::vector<Entry> committed;
  /// Tokens of reads that may be answered once all of `committed` is applied.
  std::vector<std::uint64_t> reads_ready;
  /// Tokens of reads that this member cannot confirm.
  std::vector<std::uint64_t> reads_failed;
  std::optional<SnapshotOffer> fetch_snapshot;
  MemberId fetch_from = 0;

  bool NeedsSync() const {
    return this->truncate_from.has_value() || !this->entries.empty() ||
           this->hard_state.has_value();
  }
};

/// Log position of a proposal. The proposal is lost if an entry of another term
/// is committed at that index.
struct ProposalPosition {
  Index index = 0;
  Term term = 0;
};

/// One member of one replicated log: Raft (Ongaro and Ousterhout, 2014) with
/// pre-vote, check quorum, confirmed reads, learners, one membership change at
/// a time and leadership transfer. Uses no sockets, clock or threads; its
/// random numbers derive from RaftOptions::seed. Thread safety: none, one
/// owner.
class RaftCore {
 public:
  /// `entries` are the entries after `snapshot`. Precondition: they are synced.
  RaftCore(const RaftOptions& options, const HardState& hard_state,
           const SnapshotMeta& snapshot, std::vector<Entry> entries, Time now);

  /// Handles timeouts: starts elections, sends heartbeats, steps down. Call
  /// every few milliseconds.
  void Tick(Time now);
  /// Handles one message from a peer; messages to other members are ignored.
  void Step(const RaftMessage& message, Time now);
  /// Appends a command to the log. Throws ResultError with kNotLeader or
  /// kOverloaded; then nothing was appended.
  ProposalPosition Propose(std::string payload);
  /// Adds or removes one member, or changes its voting right. Throws
  /// ResultError(kNotLeader), or ResultError(kConflict) when another change is
  /// in progress, more than one member differs, or a learner has not caught up.
  ProposalPosition ProposeMembers(const MemberList& members);
  /// Removes the voter `lost`, whose disk is gone for good, and promotes the
  /// learner `replacement` in one change. Precondition: `lost` can never vote
  /// again, as is proved by another identity that reports from its address. Any
  /// majority of the old voters then shares a member with any majority of the
  /// new ones, although two members differ. Throws like ProposeMembers.
  ProposalPosition ProposeReplacement(MemberId lost, MemberId replacement);
  /// Requests confirmation of a read by a quorum. The outcome is in a later
  /// RaftReady.
  void RequestRead(std::uint64_t token, Time now);
  /// Reports that all writes of this batch and of those before it are synced.
  void Persisted(const RaftBatch& batch);
  /// Drops entries up to meta.index. Precondition: the owner's snapshot up to
  /// there is durable.
  void Compact(const SnapshotMeta& meta);
  /// Whether a fetched snapshot is still needed. Call right before making it
  /// durable.
  bool WantsSnapshot(const SnapshotMeta& meta) const;
  /// Switches to a fetched snapshot. Preconditions: WantsSnapshot(meta), the
  /// owner has synced the snapshot and cleared its durable log, and no batch is
  /// waiting for its sync.
  void SnapshotInstalled(const SnapshotMeta& meta);
  /// Transfers leadership to the live voter with the most up-to-date log, for a
  /// graceful stop. Does nothing unless this member leads.
  void TransferLeadership(Time now);
  /// How often entries were sent again because no acknowledgement arrived.
  std::uint64_t resends() const { return this->resend_count; }
  /// Takes the work that has accumulated since the last call.
  RaftReady TakeReady();

  RaftRole role() const { return this->current_role; }
  Term term() const { return this->hard.term; }
  MemberId leader() const { return this->leader_id; }
  Index commit() const { return this->commit_index; }
  Index persisted() const { return this->persisted_index; }
  const RaftLog& log() const { return this->raft_log; }
  const MemberList& members() const { return this->member_list; }
  /// True when this leader has committed an entry of its own term.
  bool LeaderReady() const;
  /// The start of the latest heartbeat round that a quorum has answered;
  /// nullopt unless LeaderReady(). Until then nothing was committed that this
  /// leader has not committed, too.
  std::optional<Time> QuorumContact() const;
  /// Highest synced index that a member has acknowledged to this leader.
  Index MatchOf(MemberId member) const;
  /// When this leader last heard from a member. Empty if it never did, or if
  /// this member does not lead.
  std::optional<Time> LastHeard(MemberId member) const;

 private:
  /// An append that was sent and may not have arrived yet.
  struct InflightAppend {
    Index last = 0;         ///< Index of its last entry.
    std::size_t bytes = 0;  ///< Payload bytes of its entries.
  };
  /// What the leader knows about one member's log and connection.
  struct Progress {
    Index match = 0;
    Index next = 1;
    std::deque<InflightAppend> inflight;
    std::size_t inflight_bytes = 0;  ///< Payload bytes of all of `inflight`.
    Time last_heard{};
    std::uint64_t read_round = 0;
    Time last_progress{};
    Duration resend_delay{};  ///< Lower limit of the wait for an
                              ///< acknowledgement; doubles with each resend.
    bool probing = true;
    Index sent_after = 0;  ///< prev_index of the last append with entries.
    Index snapshot_offered = 0;

    void RecordSent(const InflightAppend& append);
    /// Drops appends up to `match` from `inflight`.
    void RemoveAcknowledged();
    /// Treats everything in flight as lost.
    void ClearInflight();
  };
  struct HeartbeatRound {
    std::uint64_t number = 0;  ///< As `read_round`.
    Time started{};
  };
  struct PendingRead {
    std::uint64_t token = 0;
    std::uint64_t round = 0;
    Index index = 0;
  };

  void BecomeFollower(Term term, MemberId leader);
  void StartElection(bool pre_vote, bool transfer);
  void BecomeLeader();
  void ResetElectionTimer();
  /// Sets a random timeout between `least` and twice `least` from now.
  void ResetElectionTimer(Duration least);
  bool HasQuorum(const std::set<MemberId>& agreeing) const;
  void CountVotes();
  void Send(MemberId to, MessageBody body, bool after_sync,
            std::optional<Term> term = {});
  void SendAppend(MemberId to, bool heartbeat);
  /// Payload bytes that may be sent to a member now. Empty if it must
  /// acknowledge earlier appends first.
  std::optional<std::size_t> BytesToSend(const Progress& peer) const;
  /// If what was sent was not acknowledged in time, sends again from the first
  /// unacknowledged entry.
  void ResendOnTimeout(Progress& peer);
  void SendSnapshotOffer(MemberId to, Progress& progress);
  void BroadcastAppend(bool heartbeat);
  void AppendEntry(EntryKind kind, std::string payload);
  void AdvanceCommit();
  void CheckQuorum();
  /// Whether a quorum has answered the heartbeat round.
  bool QuorumAnswered(std::uint64_t round) const;
  void UpdateQuorumContact();
  void ConfirmReads();
  void FailReads();
  void RefreshMembers();
  void CheckPromotions(const MemberList& members) const;
  ProposalPosition AppendMembers(const MemberList& members);
  void Truncate(Index from);

  void OnVoteRequest(const RaftMessage& message, const VoteRequest& request);
  void OnVoteResponse(const RaftMessage& message, const VoteResponse& response);
  void OnAppendRequest(const RaftMessage& message,
                       const AppendRequest& request);
  void OnAppendResponse(const RaftMessage& message,
                        const AppendResponse& response);
  void OnSnapshotOffer(const RaftMessage& message, const SnapshotOffer& offer);
  bool AcceptEntries(const AppendRequest& request);
  bool CheckTerm(const RaftMessage& message);
  bool HeardFromLeaderRecently() const;

  RaftOptions options;
  HardState hard;
  RaftLog raft_log;
  MemberList member_list;
  RaftRole current_role = RaftRole::kFollower;
  MemberId leader_id = 0;
  Index commit_index = 0;
  Index persisted_index = 0;
  Index applied_index = 0;
  Time now;
  Time election_deadline;
  Time heartbeat_due;
  Time last_leader_contact;
  Time transfer_until{};
  MemberId transfer_to = 0;
  std::map<MemberId, bool> votes;
  std::map<MemberId, Progress> progress;
  std::vector<PendingRead> reads;  ///< Not yet confirmed by a quorum.
  /// Confirmed, but their index is not applied yet.
  std::vector<PendingRead> confirmed_reads;
  std::uint64_t read_round = 0;
  /// Heartbeat rounds that no quorum has answered, oldest first.
  std::deque<HeartbeatRound> open_rounds;
  std::optional<Time> quorum_contact;  ///< Of this term as leader.
  Index term_start = 0;  ///< Index of the no-op entry that this leader appended
                         ///< at the start of its term.
  std::mt19937_64 random;
  std::uint64_t resend_count = 0;
  std::uint64_t batch_number = 1;
  std::uint64_t truncated_in_batch = 0;
  RaftReady ready;
};

}  // namespace papayarack::consensus

#endif  // PAPAYARACK_CONSENSUS_RAFTCORE_H_
