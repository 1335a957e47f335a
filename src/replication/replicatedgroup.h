#ifndef PAPAYARACK_REPLICATION_REPLICATEDGROUP_H_
#define PAPAYARACK_REPLICATION_REPLICATEDGROUP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/durablelog.h"
#include "consensus/raftcore.h"
#include "replication/logwriter.h"
#include "replication/membershipplanner.h"

namespace papayarack::replication {

/// The current state, for a snapshot. Large parts may be stored in separate
/// files, which are written before the snapshot.
struct SavedState {
  std::string bytes;
  /// Writes and syncs the files that `bytes` refers to. Called on another
  /// thread; may be empty.
  std::function<void()> write_files;
  /// Called on the loop once the snapshot is durable; may be empty.
  std::function<void()> saved;
};

/// The state that a group replicates. The same commands in the same order must
/// give the same state on every member.
struct ReplicatedState {
  std::function<std::string(std::string_view command)> apply;
  std::function<SavedState()> save;
  /// Restores the state from SavedState::bytes, saved by this process or an
  /// earlier one on this disk.
  std::function<void(std::string_view state)> load;
  /// Serialises the state and the files that it refers to, for another member.
  std::function<std::string()> export_all;
  /// Replaces the state by that of another member's export, and stores the
  /// files from it; returns the bytes for `load`. Keeps all files that a
  /// snapshot on the disk may refer to. Throws ResultError(kProtocol), without
  /// any change, for an export that cannot be used.
  std::function<std::string(std::string exported)> import_all;
};

/// Functions that the process provides to a group.
struct GroupEnvironment {
  std::string own_address;
  /// Sends one encoded message; may be lost. Called on the loop.
  std::function<void(const std::string& address, std::string message)> send;
  /// Fetches the state of the member at `address`. `done` is called with the
  /// result of its ExportState, or an empty string on failure.
  std::function<void(const std::string& address,
                     std::function<void(std::string state)> done)>
      fetch_state;
  /// Runs a function on the loop's thread. May be called from any thread.
  std::function<void(std::function<void()>)> post;
  std::function<Time()> now;
  /// Called when the disk failed permanently.
  std::function<void(const std::string& reason)> storage_failed;
  /// Called on the loop when a term in which this member leads begins (with the
  /// term) or ends (with nullopt). It begins with all entries of earlier terms
  /// applied and before this member answers anything in it; it ends before any
  /// entry of a later leader is applied. What the owner knows only while it
  /// leads belongs to one term and is dropped here. May be empty. Must not call
  /// the group, other than its const methods.
  std::function<void(std::optional<consensus::Term> led_term)> led_term_changed;
};

/// How often a snapshot replaces the log.
struct GroupLimits {
  std::uint64_t snapshot_after_bytes = 4U << 20U;
};

/// One member of one replicated group: Raft core, durable log, replicated state
/// and pending requests. Thread safety: none, the loop's thread.
class ReplicatedGroup {
 public:
  /// A leader transfers leadership if its disk has completed nothing for this
  /// time and the writer's queue is half full. Any sync of a working disk takes
  /// less.
  static constexpr std::chrono::milliseconds kDiskStallTimeout{1000};

  /// A member that was sent a state that it cannot use asks again after this
  /// time, as its sender's loop stands still while it exports one.
  static constexpr std::chrono::milliseconds kRefetchDelay{3000};

  /// Called with the state's reply or with an error: kNotLeader if nothing was
  /// appended, kUnknownOutcome if the command may still take effect.
  using ProposeDone =
      std::function<void(const Result& result, const std::string& reply)>;
  /// Called with true once everything committed at the time of the read is
  /// applied on this member, with false if leadership is not confirmed.
  using ReadDone = std::function<void(bool confirmed)>;

  /// Recovers the state from `files`. Throws ResultError(kStorageDamaged).
  ReplicatedGroup(storage::FileSystem& files,
                  const consensus::RaftOptions& options,
                  const GroupLimits& limits, ReplicatedState state,
                  GroupEnvironment environment);
  ReplicatedGroup(const ReplicatedGroup&) = delete;
  ReplicatedGroup& operator=(const ReplicatedGroup&) = delete;
  ~ReplicatedGroup();

  /// Handles timeouts; call about every 20 ms.
  void Tick();
  /// Handles a message from another member. Throws ResultError(kProtocol).
  void Step(std::string_view message);
  /// Whether all entries in the log are applied, so that a command proposed now
  /// will be applied to the current state on every member.
  bool AllApplied() const {
    return this->applied_index == this->core->log().LastIndex();
  }
  void Propose(std::string command, ProposeDone done);
  /// Confirms leadership for a read. Reads requested while a confirmation is in
  /// progress share the next one.
  void Read(ReadDone done);
  /// Repairs the group's membership if this member leads; call about every 100
  /// ms.
  void RepairMembership(std::span<const Candidate> candidates,
                        std::span<const std::string> leaving_addresses,
                        const GroupSize& size);
  /// Transfers leadership to another member before a graceful stop.
  void TransferLeadership();
  /// Serialises this member's whole state, for a member that is too far behind.
  std::string ExportState() const;

  /// Whether this member leads; first true when
  /// GroupEnvironment::led_term_changed is called for its term. Thread safety:
  /// the loop's thread.
  bool Leads() const { return this->led_term.has_value(); }
  /// See RaftCore::QuorumContact; nullopt unless Leads.
  std::optional<Time> QuorumContact() const {
    return this->Leads() ? this->core->QuorumContact() : std::nullopt;
  }
  consensus::Term term() const { return this->core->term(); }
  /// Address of the leader; empty if unknown.
  std::string LeaderAddress() const;
  const consensus::MemberList& members() const { return this->core->members(); }
  /// The last list that is committed: unlike that of members(), no later leader
  /// goes back to an older one.
  consensus::MemberList CommittedMembers() const;
  consensus::Index applied() const { return this->applied_index; }

 private:
  struct PendingProposal {
    consensus::Term term = 0;
    ProposeDone done;
  };

  void ProcessReady();
  /// Begins or ends the term in which this member leads.
  void UpdateLedTerm();
  /// Called when the writer has synced `batch` and all before it.
  void Synced(const consensus::RaftBatch& batch);
  void TransferWhenDiskStalls();
  void LogResends();
  void SendAll(const std::vector<consensus::RaftMessage>& messages);
  void Apply(const consensus::Entry& entry);
  void FailPendingProposals();
  void StartReadRound();
  void EndReadRound(std::uint64_t token, bool confirmed);
  void MaybeSnapshot();
  void FetchState(consensus::MemberId from);
  void Install(std::string bytes);
  std::string AddressOf(consensus::MemberId member) const;
  std::vector<MemberHealth> Health(
      std::span<const std::string> leaving_addresses) const;
  void ProposeChange(const MembershipChange& change);

  consensus::RaftOptions options;
  GroupLimits limits;
  ReplicatedState state;
  GroupEnvironment environment;
  consensus::DurableLog log;
  std::unique_ptr<consensus::RaftCore> core;
  std::map<consensus::Index, PendingProposal> pending_proposals;
  /// Listening addresses of members that have sent messages. A learner receives
  /// the first part of the log before any member list. Without these addresses
  /// it could not acknowledge that part and would be treated as dead.
  std::map<consensus::MemberId, std::string> sender_addresses;
  std::vector<ReadDone> reads_next;  ///< Wait for the next confirmation.
  /// Wait for the confirmation in progress.
  std::vector<ReadDone> reads_current;
  std::uint64_t read_token = 0;
  consensus::Index applied_index = 0;
  consensus::Term applied_term = 0;
  std::uint64_t bytes_since_snapshot = 0;
  std::uint64_t snapshot_bytes = 0;  ///< State size of the last snapshot.
  bool snapshot_under_way = false;
  /// SavedState::saved of the snapshot in progress.
  std::function<void()> snapshot_saved;
  std::optional<consensus::SnapshotMeta> last_snapshot;
  bool fetch_under_way = false;
  Time next_fetch{};  ///< No state is fetched before this.
  bool processing = false;
  Time last_disk_progress{};  ///< When the disk last completed a write or was
                              ///< idle.
  Time resends_logged{};
  std::uint64_t logged_resends = 0;
  /// The term in which this member leads, once the owner knows of it.
  std::optional<consensus::Term> led_term;
  consensus::RaftRole last_role = consensus::RaftRole::kFollower;
  consensus::MemberId last_leader = 0;
  /// False once the group is destroyed; checked by callbacks that the writer
  /// posted before.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  std::unique_ptr<LogWriter> writer;
};

}  // namespace papayarack::replication

#endif  // PAPAYARACK_REPLICATION_REPLICATEDGROUP_H_
