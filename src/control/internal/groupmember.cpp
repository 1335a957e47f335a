#include "control/internal/groupmember.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "global/logging.h"
#include "global/variantcodec.h"

namespace papayarack::control {
namespace {

constexpr std::uint64_t kSnapshotIntervalBytes = 8U << 20U;
constexpr std::int64_t kAdvanceTimeIntervalMs = 60'000;
constexpr std::size_t kCopyChunkBytes = 1U << 20U;
constexpr RequestToken kNoRequest = 0;

/// Stamps a command with the time of the leader, so that members with different
/// clocks apply it alike.
void StampTime(statemachine::Command& command, WallMillis wall) {
  using namespace statemachine;  // NOLINT(google-build-using-namespace):
                                 // visitors below
  std::visit(Overloaded{[](SubmitDocument&) {},
                        [wall](AppendFile& body) { body.now_ms = wall; },
                        [wall](CreateJob& body) {
                          body.request.due_ms += wall - body.request.created_ms;
                          body.request.created_ms = wall;
                        },
                        [wall](CancelJob& body) { body.now_ms = wall; },
                        [wall](PullItems& body) { body.lease.now_ms = wall; },
                        [wall](AdvanceTime& body) { body.now_ms = wall; },
                        [wall](MakeClaim& body) {
                          body.request.deadline_ms +=
                              wall - body.request.now_ms;
                          body.request.now_ms = wall;
                        },
                        [](EndClaim&) {}},
             command);
}

const char* RoleName(consensus::RaftRole role) {
  switch (role) {
    case consensus::RaftRole::kFollower:
      return "follower";
    case consensus::RaftRole::kPreCandidate:
      return "pre-candidate";
    case consensus::RaftRole::kCandidate:
      return "candidate";
    case consensus::RaftRole::kLeader:
      return "leader";
  }
  return "unknown";
}

}  // namespace

GroupMember::GroupMember(storage::FileSystem& files,
                         const consensus::RaftOptions& options,
                         GroupHandlers handlers, Time now)
    : files(files),
      options(options),
      handlers(std::move(handlers)),
      log(files, options.group),
      blob_store(files, fmt::format("blob-{:04}", options.group)),
      machine(blob_store) {
  consensus::RecoveredState recovered = this->log.Recover();
  this->blob_store.Open(recovered.snapshot.blob_length);
  if (!recovered.state.empty()) {
    this->machine.Load(recovered.state);
  }
  this->applied = recovered.snapshot.index;
  this->applied_term = recovered.snapshot.term;
  Log(LogLevel::kInfo, "recovered",
      {{"group", options.group},
       {"snapshot", recovered.snapshot.index},
       {"entries", recovered.entries.size()},
       {"cut_bytes", recovered.cut_bytes}});
  this->core = std::make_unique<consensus::RaftCore>(
      options, recovered.hard_state, recovered.snapshot,
      std::move(recovered.entries), now);
  this->writer = std::make_unique<replication::LogWriter>(
      files, this->log,
      replication::LogWriterHandlers{this->handlers.send, this->handlers.synced,
                                     this->handlers.snapshot_saved,
                                     this->handlers.storage_failed});
}

void GroupMember::Tick(Time now, WallMillis wall) {
  if (this->Failed()) {
    return;
  }
  this->core->Tick(now);
  const bool due = this->machine.NeedsAdvanceTime(wall) ||
                   wall - this->last_advance_time > kAdvanceTimeIntervalMs;
  if (this->core->LeaderReady() && due && !this->advance_time_pending) {
    this->advance_time_pending = true;
    this->last_advance_time = wall;
    this->Propose(kNoRequest, statemachine::AdvanceTime{}, wall);
  }
  this->MaybePromoteLearner();
  this->ProcessReady();
}

void GroupMember::Step(const consensus::RaftMessage& message, Time now) {
  if (!this->Failed()) {
    this->core->Step(message, now);
    this->ProcessReady();
  }
}

void GroupMember::Refuse(RequestToken token, ResultCode code,
                         const std::string& text) {
  if (token == kNoRequest) {
    return;
  }
  statemachine::CommandReply reply;
  reply.code = static_cast<int>(code);
  reply.text = text;
  reply.leader = this->LeaderAddress();
  this->handlers.answer(token, reply);
}

void GroupMember::Propose(RequestToken token, statemachine::Command command,
                          WallMillis wall) {
  if (this->Failed()) {
    this->Refuse(token, ResultCode::kStorageFull, this->failure);
    return;
  }
  this->last_wall = std::max(this->last_wall, wall);
  StampTime(command, this->last_wall);
  if (this->AnswerEmptyPull(token, command)) {
    return;
  }
  try {
    const consensus::ProposalPosition position =
        this->core->Propose(EncodeVariant(command));
    this->waiting.insert({position.index, {token, position.term}});
  } catch (const ResultError& error) {
    this->advance_time_pending =
        this->advance_time_pending && token != kNoRequest;
    this->Refuse(token, error.result().code, error.what());
  }
}

/// Answers a pull without the log if the gate leases nothing, reports nothing
/// and there is no work: it changes no state, and thousands of idle gates would
/// otherwise fill the log.
bool GroupMember::AnswerEmptyPull(RequestToken token,
                                  const statemachine::Command& command) {
  const auto* pull = std::get_if<statemachine::PullItems>(&command);
  if (pull == nullptr || !this->core->LeaderReady()) {
    return false;
  }
  const bool idle = pull->outcomes.empty() && pull->lease.holding.empty() &&
                    !this->machine.jobs().HasOpenJobs(pull->lease.service);
  if (!idle || this->machine.jobs().LeaseCount() > 0) {
    return false;
  }
  statemachine::CommandReply reply;
  reply.body = EncodeMessage(statemachine::LeaseReply{});
  this->handlers.answer(token, reply);
  return true;
}

void GroupMember::ProposeMembers(RequestToken token,
                                 const MembersChange& change) {
  try {
    consensus::MemberList list = this->core->members();
    const bool present = list.Find(change.id) != nullptr;
    if (present == change.add) {
      throw ResultError(
          ResultCode::kConflict,
          present ? "this member is in the group" : "no such member");
    }
    if (change.add) {
      list.members.push_back({change.id, change.address, false});
    } else {
      std::erase_if(list.members, [&](const consensus::Member& member) {
        return member.id == change.id;
      });
    }
    const consensus::ProposalPosition position =
        this->core->ProposeMembers(list);
    this->waiting.insert({position.index, {token, position.term}});
  } catch (const ResultError& error) {
    this->Refuse(token, error.result().code, error.what());
  }
  this->ProcessReady();
}

void GroupMember::MaybePromoteLearner() {
  if (!this->core->LeaderReady()) {
    return;
  }
  consensus::MemberList list = this->core->members();
  for (consensus::Member& member : list.members) {
    const bool caught_up =
        this->core->MatchOf(member.id) >= this->core->commit();
    if (!member.voter && caught_up) {
      member.voter = true;
      try {
        this->core->ProposeMembers(list);
        Log(LogLevel::kInfo, "learner_votes_now", {{"member", member.id}});
      } catch (const ResultError&) {
        // Another membership change is in progress; the next tick retries.
      }
      return;
    }
  }
}

void GroupMember::Read(RequestToken token, Time now) {
  if (this->core->role() != consensus::RaftRole::kLeader) {
    this->Refuse(token, ResultCode::kNotLeader, "this member does not lead");
    return;
  }
  this->core->RequestRead(token, now);
}

void GroupMember::OnSynced(const consensus::RaftBatch& batch) {
  this->core->Persisted(batch);
  this->ProcessReady();
}

void GroupMember::ProcessReady() {
  if (this->Failed()) {
    return;
  }
  consensus::RaftReady ready = this->core->TakeReady();
  if (!ready.before_sync.empty()) {
    this->handlers.send(ready.before_sync);
  }
  this->writer->Enqueue(ready);
  try {
    for (const consensus::Entry& entry : ready.committed) {
      this->Apply(entry);
    }
  } catch (const ResultError& error) {
    this->OnStorageFailed(error.what());
    return;
  }
  for (const std::uint64_t token : ready.reads_ready) {
    this->handlers.read_confirmed(token);
  }
  for (const std::uint64_t token : ready.reads_failed) {
    this->Refuse(token, ResultCode::kNotLeader,
                 "leadership could not be confirmed");
  }
  if (this->core->role() != consensus::RaftRole::kLeader &&
      !this->waiting.empty()) {
    this->FailWaiting();
  }
  if (ready.fetch_snapshot.has_value()) {
    this->handlers.fetch_snapshot(ready.fetch_from);
  }
  this->MaybeSnapshot();
}

void GroupMember::Apply(const consensus::Entry& entry) {
  this->applied = entry.index;
  this->applied_term = entry.term;
  this->bytes_since_snapshot += entry.payload.size();
  statemachine::CommandReply reply;
  if (entry.Kind() == consensus::EntryKind::kCommand) {
    reply = this->machine.Apply(entry.payload);
  }
  const auto [first, last] = this->waiting.equal_range(entry.index);
  for (auto waiter = first; waiter != last; ++waiter) {
    if (waiter->second.token == kNoRequest) {
      this->advance_time_pending = false;
    } else if (waiter->second.term == entry.term) {
      this->handlers.answer(waiter->second.token, reply);
    } else {
      this->Refuse(waiter->second.token, ResultCode::kNotLeader,
                   "another leader took over");
    }
  }
  this->waiting.erase(first, last);
}

void GroupMember::FailWaiting() {
  this->advance_time_pending = false;
  for (const auto& [index, waiter] : std::exchange(this->waiting, {})) {
    this->Refuse(waiter.token, ResultCode::kUnknownOutcome,
                 "leadership was lost before the command was confirmed");
  }
}

void GroupMember::MaybeSnapshot() {
  if (this->snapshot_pending ||
      this->bytes_since_snapshot < kSnapshotIntervalBytes) {
    return;
  }
  consensus::SnapshotMeta meta;
  meta.index = this->applied;
  meta.term = this->applied_term;
  meta.members = this->core->log().MembersAt(this->applied);
  meta.blob_length = this->blob_store.length();
  this->snapshot_pending = true;
  this->bytes_since_snapshot = 0;
  this->writer->EnqueueSnapshot(std::move(meta), this->machine.Save(),
                                this->blob_store.TakeDirtyFiles());
}

void GroupMember::OnSnapshotSaved(const consensus::SnapshotMeta& meta) {
  this->snapshot_pending = false;
  this->core->Compact(meta);
}

void GroupMember::Install(const consensus::SnapshotMeta& meta,
                          std::string_view state, const std::string& blob_file,
                          std::uint64_t blob_start) {
  this->writer->Drain();
  if (!this->core->WantsSnapshot(meta)) {
    return;
  }
  try {
    // Files before a gap stay: the snapshot on the disk refers to them until
    // the fetched one is durable, and then retention removes them.
    if (blob_start > this->blob_store.length()) {
      this->blob_store.SkipTo(blob_start);
    }
    const std::uint64_t size =
        this->files.Exists(blob_file) ? this->files.Size(blob_file) : 0;
    const std::uint64_t held = this->blob_store.length() - blob_start;
    for (std::uint64_t offset = held; offset < size;
         offset += kCopyChunkBytes) {
      this->blob_store.Append(
          this->files.Read(blob_file, offset, kCopyChunkBytes));
    }
    this->blob_store.Sync();
    // In force before it is durable: a member that has made a state durable
    // which it cannot load ends at each further start.
    this->machine.Load(state);
    this->log.InstallSnapshot(meta, state);
    this->files.Remove(blob_file);
    this->core->SnapshotInstalled(meta);
    this->applied = meta.index;
    this->applied_term = meta.term;
    this->bytes_since_snapshot = 0;
    Log(LogLevel::kInfo, "snapshot_installed", {{"index", meta.index}});
  } catch (const ResultError& error) {
    this->OnStorageFailed(error.what());
  }
  this->ProcessReady();
}

void GroupMember::OnStorageFailed(const std::string& reason) {
  this->failure = reason;
  Log(LogLevel::kError, "storage_failed",
      {{"group", this->options.group}, {"reason", reason}});
  for (const auto& [index, waiter] : std::exchange(this->waiting, {})) {
    this->Refuse(waiter.token, ResultCode::kUnknownOutcome, reason);
  }
}

std::string GroupMember::AddressOf(consensus::MemberId member) const {
  const consensus::Member* found = this->core->members().Find(member);
  return found != nullptr ? found->address : std::string();
}

std::string GroupMember::LeaderAddress() const {
  return this->AddressOf(this->core->leader());
}

nlohmann::json GroupMember::Dump() const {
  nlohmann::json members = nlohmann::json::array();
  for (const consensus::Member& member : this->core->members().members) {
    members.push_back({{"id", member.id},
                       {"address", member.address},
                       {"voter", member.voter},
                       {"synced_index", this->core->MatchOf(member.id)}});
  }
  return {
      {"group", this->options.group},
      {"state",
       this->Failed() ? "storage failed" : RoleName(this->core->role())},
      {"failure", this->failure},
      {"term", this->core->term()},
      {"leader", this->core->leader()},
      {"confirmed_by_quorum", this->core->LeaderReady()},
      {"commit_index", this->core->commit()},
      {"applied_index", this->applied},
      {"synced_index", this->core->persisted()},
      {"log_first_index", this->core->log().FirstIndex()},
      {"log_bytes_in_memory", this->core->log().Bytes()},
      {"snapshot_index", this->core->log().snapshot().index},
      {"blob_bytes", this->blob_store.length() - this->blob_store.FirstKept()},
      {"waiting_requests", this->waiting.size()},
      {"members", members},
      {"documents_revision", this->machine.documents().revision()},
      {"leases", this->machine.jobs().LeaseCount()},
      {"claims", this->machine.claims().Count()}};
}

}  // namespace papayarack::control
