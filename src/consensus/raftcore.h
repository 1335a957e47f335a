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

/// Timings and bounds of one group member.
struct RaftOptions {
  GroupId group = 0;
  MemberId self = 0;
  Duration heartbeat{std::chrono::milliseconds(100)};
  Duration election{
      std::chrono::milliseconds(600)};  ///< Randomised up to twice this.
  /// The same for the first election after a start. When every member was
  /// killed at once nobody leads, and callers wait for this; a leader that
  /// still leads is not disturbed, as its followers refuse a pre-vote.
  Duration first_election{std::chrono::milliseconds(150)};
  std::size_t max_append_bytes = 1U << 20U;
  std::size_t max_inflight_appends = 16;
  /// Payload bytes sent to one follower and not yet acknowledged; one append
  /// always goes. 2 MB are 0.17 s of a link of 12 MB/s, and 8 MB for four
  /// followers of a process that may use 64 MB.
  std::size_t max_inflight_bytes = 2U << 20U;
  /// Bound of the wait for an acknowledgement before entries are sent again;
  /// it starts at two heartbeats and the time to carry what is under way, and
  /// doubles with each resend. 1 MB (max_append_bytes) in 3.2 s is 2.6 Mbit/s,
  /// a tenth of the slowest entry's link (30 Mbit/s).
  Duration longest_resend_wait{std::chrono::milliseconds(3200)};
  std::size_t max_uncommitted_bytes = 64U << 20U;
  std::uint64_t seed = 1;
};

enum class RaftRole : std::uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

/// Names one Ready and the end of the log as of it.
struct RaftBatch {
  std::uint64_t number = 0;
  Index last_index = 0;
  Term last_term = 0;
};

/// What the owner must do, in this order: send `before_sync`; write
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
  std::vector<std::uint64_t>
      reads_ready;  ///< Tokens: serve once all of `committed` is applied.
  std::vector<std::uint64_t>
      reads_failed;  ///< Tokens: this member cannot confirm a read.
  std::optional<SnapshotOffer> fetch_snapshot;
  MemberId fetch_from = 0;

  bool NeedsSync() const {
    return this->truncate_from.has_value() || !this->entries.empty() ||
           this->hard_state.has_value();
  }
};

/// Where a proposal stands in the log; it is lost when another term takes that
/// index.
struct ProposalPosition {
  Index index = 0;
  Term term = 0;
};

/// One member of one replicated log: Raft (Ongaro and Ousterhout, 2014) with
/// pre-vote, check quorum, confirmed reads, learners, one membership change at
/// a time and leadership transfer. No sockets, clock, threads or randomness of
/// its own. Thread safety: none, one owner.
class RaftCore {
 public:
  /// `entries` are the durable entries after `snapshot`, all synced.
  RaftCore(const RaftOptions& options, const HardState& hard_state,
           const SnapshotMeta& snapshot, std::vector<Entry> entries, Time now);

  /// Lets time pass: elections, heartbeats, stepping down. Call every few
  /// milliseconds.
  void Tick(Time now);
  /// Takes one message from a peer; messages for others are ignored.
  void Step(const RaftMessage& message, Time now);
  /// Adds a command. Throws ResultError(kNotLeader, kOverloaded); nothing was
  /// added then.
  ProposalPosition Propose(std::string payload);
  /// Changes the members by one. Throws ResultError(kNotLeader) or
  /// ResultError(kConflict) when a change is under way, more than one member
  /// differs, or a learner is not caught up.
  ProposalPosition ProposeMembers(const MemberList& members);
  /// Gives the vote of `lost`, whose disk is gone for good, to the learner
  /// `heir` in one change. Precondition: `lost` can never vote again; another
  /// identity reporting from its address proves that. Then any majority of the
  /// old voters and any of the new ones share a member, although two members
  /// differ. Throws like ProposeMembers.
  ProposalPosition ProposeReplacement(MemberId lost, MemberId replacement);
  /// Asks that a read be confirmed by a quorum; the answer comes in a later
  /// Ready.
  void RequestRead(std::uint64_t token, Time now);
  /// Everything that this batch and the ones before it asked to write is
  /// synced.
  void Persisted(const RaftBatch& batch);
  /// The owner's snapshot up to meta.index is durable: older entries may go.
  void Compact(const SnapshotMeta& meta);
  /// Whether a fetched snapshot is still needed; ask right before making it
  /// durable.
  bool WantsSnapshot(const SnapshotMeta& meta) const;
  /// The owner synced the fetched snapshot and cleared its log. Precondition:
  /// WantsSnapshot(meta), and no batch was waiting for its sync.
  void SnapshotInstalled(const SnapshotMeta& meta);
  /// Hands leadership to the best voter; no effect on others. For a graceful
  /// stop.
  void TransferLeadership(Time now);
  /// How often entries were sent again for want of an acknowledgement.
  std::uint64_t resends() const { return this->resend_count; }
  /// What is to be done since the last call.
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
  /// Highest synced index that a member has acknowledged to this leader.
  Index MatchOf(MemberId member) const;
  /// When this leader last heard from a member; nothing when it never did, or
  /// does not lead.
  std::optional<Time> LastHeard(MemberId member) const;

 private:
  /// An append that may be on its way.
  struct SentAppend {
    Index last = 0;         ///< Of its entries.
    std::size_t bytes = 0;  ///< Payloads.
  };
  /// What a leader knows of one member.
  struct Progress {
    Index match = 0;
    Index next = 1;
    std::deque<SentAppend> inflight;
    std::size_t inflight_bytes = 0;  ///< Payloads of `inflight`.
    Time last_heard{};
    std::uint64_t read_round = 0;
    Time last_progress{};
    Duration resend_wait{};  ///< For what is sent now; less than the first wait
                             ///< (longest_resend_wait) stands for that.
    bool probing = true;
    Index sent_after = 0;  ///< Index before the entries of the last append.
    Index snapshot_offered = 0;

    void Sent(const SentAppend& append);
    /// Everything up to `match` arrived.
    void Arrived();
    /// Counts nothing as on its way any more.
    void ForgetSent();
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
  /// `least` to twice that from now.
  void ResetElectionTimer(Duration least);
  bool HasQuorum(const std::set<MemberId>& agreeing) const;
  void CountVotes();
  void Send(MemberId to, MessageBody body, bool after_sync,
            std::optional<Term> term = {});
  void SendAppend(MemberId to, bool heartbeat);
  /// Payload bytes that may be sent to a member now; nothing while it has to
  /// acknowledge something first.
  std::optional<std::size_t> BytesToSend(const Progress& known) const;
  /// Whether what was sent may be lost; if so, begins again behind what is
  /// acknowledged.
  void ResendWhenSilent(Progress& known);
  void SendOffer(MemberId to, Progress& progress);
  void BroadcastAppend(bool heartbeat);
  void AppendOwn(EntryKind kind, std::string payload);
  void AdvanceCommit();
  void CheckQuorum();
  void AnswerReads();
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
  bool AdmitTerm(const RaftMessage& message);
  bool LeaderHeardLately() const;

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
  Time leader_heard;
  Time transfer_until{};
  MemberId transfer_to = 0;
  std::map<MemberId, bool> votes;
  std::map<MemberId, Progress> progress;
  std::vector<PendingRead> reads;  ///< Waiting for a quorum.
  std::vector<PendingRead>
      confirmed_reads;  ///< Waiting for their index to be applied.
  std::uint64_t read_round = 0;
  Index term_start =
      0;  ///< Index of the no-op with which this leader's term began.
  std::mt19937_64 random;
  std::uint64_t resend_count = 0;
  std::uint64_t batch_number = 1;
  std::uint64_t truncated_in_batch = 0;
  RaftReady ready;
};

}  // namespace papayarack::consensus

#endif  // PAPAYARACK_CONSENSUS_RAFTCORE_H_
