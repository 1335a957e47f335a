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

/// A state as of now, for a snapshot. What is large can lie in files of its
/// own, which are written first.
struct SavedState {
  std::string bytes;
  /// Writes and syncs what `bytes` refers to. Called on another thread; may be
  /// empty.
  std::function<void()> write_files;
  /// The snapshot is durable. Called on the loop; may be empty.
  std::function<void()> saved;
};

/// The state that a group replicates. The same commands in the same order must
/// give the same state on every member.
struct ReplicatedState {
  std::function<std::string(std::string_view command)> apply;
  std::function<SavedState()> save;
  /// Takes what `save` gave as `bytes`, here or on this disk before.
  std::function<void(std::string_view state)> load;
  /// The state with all that it refers to, for another member.
  std::function<std::string()> export_all;
  /// Makes files of what another member exported; returns what `load` takes.
  std::function<std::string(std::string_view exported)> import_files;
};

/// What a group needs of its process.
struct GroupEnvironment {
  std::string own_address;
  /// Sends one encoded message; may be lost. Called on the loop.
  std::function<void(const std::string& address, std::string message)> send;
  /// Asks the member at `address` for its state; `done` takes the bytes that
  /// ExportState gave there, or an empty text.
  std::function<void(const std::string& address,
                     std::function<void(std::string state)> done)>
      fetch_state;
  /// Runs a function on the loop's thread, from any thread.
  std::function<void(std::function<void()>)> post;
  std::function<Time()> now;
  /// The disk failed for good.
  std::function<void(const std::string& reason)> storage_failed;
};

/// How often a snapshot replaces the log.
struct GroupLimits {
  std::uint64_t snapshot_after_bytes = 4U << 20U;
};

/// One group on one member: Raft core, durable log, replicated state and the
/// requests that wait. Thread safety: none, the loop's thread.
class ReplicatedGroup {
 public:
  /// A leader hands over when its disk has answered nothing for this long, more
  /// than any sync of a disk that works, and half of what can wait for it
  /// waits.
  static constexpr std::chrono::milliseconds kDiskPatience{1000};

  /// Called with the state's reply, or with a refusal: kNotLeader means that
  /// nothing was added, kUnknownOutcome that it may still take effect.
  using ProposeDone =
      std::function<void(const Result& result, const std::string& reply)>;
  /// Called with true once all that was committed when the read began is
  /// applied here.
  using ReadDone = std::function<void(bool confirmed)>;

  /// Recovers from the folder. Throws ResultError(kStorageDamaged).
  ReplicatedGroup(storage::FileSystem& files,
                  const consensus::RaftOptions& options,
                  const GroupLimits& limits, ReplicatedState state,
                  GroupEnvironment environment);
  ReplicatedGroup(const ReplicatedGroup&) = delete;
  ReplicatedGroup& operator=(const ReplicatedGroup&) = delete;
  ~ReplicatedGroup();

  /// Lets time pass; call every 20 ms or so.
  void Tick();
  /// Takes a message of another member. Throws ResultError(kProtocol).
  void Step(std::string_view message);
  /// Whether all that the log holds is applied: the state is what a command
  /// proposed now will find, wherever it is applied.
  bool AllApplied() const {
    return this->applied_index == this->core->log().LastIndex();
  }
  void Propose(std::string command, ProposeDone done);
  /// Confirms leadership for a read; reads that come while a confirmation is
  /// under way share the next one.
  void Read(ReadDone done);
  /// Heals the group where this member leads; call every 100 ms or so.
  void RepairMembership(std::span<const Candidate> candidates,
                        std::span<const std::string> leaving_addresses,
                        const GroupSize& size);
  /// Hands leadership on before a graceful stop.
  void HandOver();
  /// This member's whole state, for a member that lags too far behind.
  std::string ExportState() const;

  bool Leads() const { return this->core->LeaderReady(); }
  consensus::Term term() const { return this->core->term(); }
  /// Address of the leader, empty when none is known.
  std::string LeaderAddress() const;
  const consensus::MemberList& members() const { return this->core->members(); }
  consensus::Index applied() const { return this->applied_index; }

 private:
  struct Waiting {
    consensus::Term term = 0;
    ProposeDone done;
  };

  void Pump();
  /// The writer has synced `batch` and all before it.
  void Synced(const consensus::RaftBatch& batch);
  void HandOverWhenDiskStalls();
  void LogResends();
  void SendAll(const std::vector<consensus::RaftMessage>& messages);
  void Apply(const consensus::Entry& entry);
  void FailWaiting();
  void StartReadRound();
  void EndReadRound(std::uint64_t token, bool confirmed);
  void MaybeSnapshot();
  void FetchState(consensus::MemberId from);
  void Install(const std::string& bytes);
  std::string AddressOf(consensus::MemberId member) const;
  std::vector<MemberHealth> Health(
      std::span<const std::string> leaving_addresses) const;
  void Carry(const MembershipChange& change);

  consensus::RaftOptions options;
  GroupLimits limits;
  ReplicatedState state;
  GroupEnvironment environment;
  consensus::DurableLog log;
  std::unique_ptr<consensus::RaftCore> core;
  std::map<consensus::Index, Waiting> waiting;
  /// Addresses that senders of messages named. A learner gets the first part of
  /// the log before any list of members; without this it could not acknowledge
  /// it, and would be given up as silent.
  std::map<consensus::MemberId, std::string> heard_from;
  std::vector<ReadDone> reads_next;     ///< Wait for the next round.
  std::vector<ReadDone> reads_current;  ///< Wait for the round under way.
  std::uint64_t read_token = 0;
  consensus::Index applied_index = 0;
  consensus::Term applied_term = 0;
  std::uint64_t bytes_since_snapshot = 0;
  std::uint64_t snapshot_bytes = 0;  ///< Of the last snapshot's state.
  bool snapshot_under_way = false;
  std::function<void()> snapshot_saved;  ///< Of the snapshot under way.
  std::optional<consensus::SnapshotMeta> last_snapshot;
  bool fetch_under_way = false;
  bool pumping = false;
  Time disk_answered{};  ///< Or nothing waited for it.
  Time resends_logged{};
  std::uint64_t logged_resends = 0;
  consensus::RaftRole last_role = consensus::RaftRole::kFollower;
  consensus::MemberId last_leader = 0;
  /// False once the group is gone, for what the writer still posts.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  std::unique_ptr<LogWriter> writer;
};

}  // namespace papayarack::replication

#endif  // PAPAYARACK_REPLICATION_REPLICATEDGROUP_H_
