#ifndef PAPAYARACK_CONTROL_INTERNAL_GROUPMEMBER_H_
#define PAPAYARACK_CONTROL_INTERNAL_GROUPMEMBER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "consensus/durablelog.h"
#include "consensus/raftcore.h"
#include "control/controlprotocol.h"
#include "replication/logwriter.h"
#include "statemachine/statemachine.h"
#include "storage/blobstore.h"

namespace papayarack::control {

/// Identifies a request that waits for the log.
using RequestToken = std::uint64_t;

/// Callbacks of a group member. `send` and `synced` may run on the thread of
/// the log writer.
struct GroupHandlers {
  std::function<void(const std::vector<consensus::RaftMessage>&)> send;
  std::function<void(const consensus::RaftBatch&)> synced;
  std::function<void(const consensus::SnapshotMeta&)> snapshot_saved;
  std::function<void(const std::string&)> storage_failed;
  std::function<void(RequestToken, const statemachine::CommandReply&)> answer;
  std::function<void(RequestToken)> read_confirmed;
  std::function<void(consensus::MemberId from)> fetch_snapshot;
};

/// One replication group on one member: Raft core, durable log, state machine
/// and waiting requests. Thread safety: none, the event loop thread.
class GroupMember {
 public:
  /// Recovers from the data folder. Throws ResultError(kStorageDamaged).
  GroupMember(storage::FileSystem& files, const consensus::RaftOptions& options,
              GroupHandlers handlers, Time now);

  void Tick(Time now, WallMillis wall);
  void Step(const consensus::RaftMessage& message, Time now);
  /// Proposes a command; the reply comes through handlers.answer, at once if it
  /// is refused.
  void Propose(RequestToken token, statemachine::Command command,
               WallMillis wall);
  void ProposeMembers(RequestToken token, const MembersChange& change);
  /// Requests a confirmed read; read_confirmed or an answer with a refusal
  /// follows.
  void Read(RequestToken token, Time now);
  void OnSynced(const consensus::RaftBatch& batch);
  void OnSnapshotSaved(const consensus::SnapshotMeta& meta);
  /// Installs a fetched snapshot; `blob_file` holds the blob bytes from
  /// `blob_start` on.
  void Install(const consensus::SnapshotMeta& meta, std::string_view state,
               const std::string& blob_file, std::uint64_t blob_start);
  void OnStorageFailed(const std::string& reason);
  void TransferLeadership(Time now) {
    this->core->TransferLeadership(now);
    this->ProcessReady();
  }
  /// Processes the output of the core; call after each of the above.
  void ProcessReady();

  const consensus::RaftCore& raft() const { return *this->core; }
  const statemachine::StateMachine& state() const { return this->machine; }
  const storage::BlobStore& blobs() const { return this->blob_store; }
  std::string LeaderAddress() const;
  std::string AddressOf(consensus::MemberId member) const;
  bool Failed() const { return !this->failure.empty(); }
  std::size_t Waiting() const { return this->waiting.size(); }
  nlohmann::json Dump() const;

 private:
  struct WaitingRequest {
    RequestToken token = 0;
    consensus::Term term = 0;
  };
  void Apply(const consensus::Entry& entry);
  void Refuse(RequestToken token, ResultCode code, const std::string& text);
  bool AnswerEmptyPull(RequestToken token,
                       const statemachine::Command& command);
  void FailWaiting();
  void MaybeSnapshot();
  void MaybePromoteLearner();

  storage::FileSystem& files;
  consensus::RaftOptions options;
  GroupHandlers handlers;
  consensus::DurableLog log;
  storage::BlobStore blob_store;
  statemachine::StateMachine machine;
  std::unique_ptr<consensus::RaftCore> core;
  std::unique_ptr<replication::LogWriter> writer;
  std::multimap<consensus::Index, WaitingRequest> waiting;
  consensus::Index applied = 0;
  consensus::Term applied_term = 0;
  std::uint64_t bytes_since_snapshot = 0;
  bool snapshot_pending = false;
  bool advance_time_pending = false;
  WallMillis last_wall = 0;
  WallMillis last_advance_time = 0;
  std::string failure;
};

}  // namespace papayarack::control

#endif  // PAPAYARACK_CONTROL_INTERNAL_GROUPMEMBER_H_
