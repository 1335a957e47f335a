#include "replication/replicatedgroup.h"

#include <algorithm>
#include <utility>

#include "global/logging.h"
#include "global/variantcodec.h"

namespace papayarack::replication {
namespace {

/// A member's whole state, sent to a member that is too far behind.
struct ExportedState {
  consensus::SnapshotMeta meta;
  std::string state;
  MSGPACK_DEFINE(meta, state)
};

/// A message between members, with the address that its sender listens on.
struct AddressedMessage {
  std::string address;
  std::string message;
  MSGPACK_DEFINE(address, message)
};

/// Encodes an AddressedMessage without intermediate copies.
std::string EncodeAddressed(const std::string& address,
                            const consensus::RaftMessage& message) {
  constexpr std::uint32_t kFields = 2;
  constexpr std::size_t kMaxHeaderBytes = 16;
  PackedString packed;
  packed.bytes.reserve(address.size() + consensus::EncodedRaftSize(message) +
                       kMaxHeaderBytes);
  msgpack::packer<PackedString> packer(packed);
  packer.pack_array(kFields);
  packer.pack(address);
  consensus::PackRaftMessage(message, packed);
  return std::move(packed.bytes);
}

constexpr std::chrono::milliseconds kResendsLoggedEvery{1000};

bool Contains(std::span<const std::string> list, const std::string& text) {
  return std::ranges::find(list, text) != list.end();
}

}  // namespace

ReplicatedGroup::ReplicatedGroup(storage::FileSystem& files,
                                 const consensus::RaftOptions& options,
                                 const GroupLimits& limits,
                                 ReplicatedState state,
                                 GroupEnvironment environment)
    : options(options),
      limits(limits),
      state(std::move(state)),
      environment(std::move(environment)),
      log(files, options.group) {
  consensus::RecoveredState recovered = this->log.Recover();
  if (!recovered.state.empty()) {
    this->state.load(recovered.state);
  }
  this->applied_index = recovered.snapshot.index;
  this->applied_term = recovered.snapshot.term;
  Log(LogLevel::kInfo, "group_recovered",
      {{"group", options.group},
       {"member", options.self},
       {"term", recovered.hard_state.term},
       {"snapshot_index", recovered.snapshot.index},
       {"entries", recovered.entries.size()},
       {"state_bytes", recovered.state.size()},
       {"cut_bytes", recovered.cut_bytes}});
  this->core = std::make_unique<consensus::RaftCore>(
      options, recovered.hard_state, recovered.snapshot,
      std::move(recovered.entries), this->environment.now());
  const auto on_loop = [post = this->environment.post,
                        alive = this->alive](std::function<void()> work) {
    post([alive, work = std::move(work)] {
      if (*alive) {
        work();
      }
    });
  };
  LogWriterHandlers handlers;
  handlers.send =
      [this, on_loop](const std::vector<consensus::RaftMessage>& messages) {
        on_loop([this, messages] { this->SendAll(messages); });
      };
  handlers.synced = [this, on_loop](const consensus::RaftBatch& batch) {
    on_loop([this, batch] { this->Synced(batch); });
  };
  handlers.snapshot_saved = [this,
                             on_loop](const consensus::SnapshotMeta& meta) {
    on_loop([this, meta] {
      this->snapshot_under_way = false;
      if (const auto saved = std::exchange(this->snapshot_saved, {})) {
        saved();
      }
      // Compacts only up to the previous snapshot, so that a member a few
      // entries behind does not have to fetch the whole state after each
      // snapshot.
      if (this->last_snapshot.has_value()) {
        this->core->Compact(*this->last_snapshot);
      }
      this->last_snapshot = meta;
    });
  };
  handlers.failed = [this, on_loop](const std::string& reason) {
    on_loop([this, reason] { this->environment.storage_failed(reason); });
  };
  this->writer =
      std::make_unique<LogWriter>(files, this->log, std::move(handlers));
}

ReplicatedGroup::~ReplicatedGroup() { *this->alive = false; }

void ReplicatedGroup::Tick() {
  this->core->Tick(this->environment.now());
  this->TransferWhenDiskStalls();
  this->LogResends();
  this->ProcessReady();
}

void ReplicatedGroup::Synced(const consensus::RaftBatch& batch) {
  this->last_disk_progress = this->environment.now();
  this->core->Persisted(batch);
  this->ProcessReady();
}

/// Transfers leadership before the writer's queue is full, because Enqueue
/// would then block the loop and everything that runs on it. The transfer
/// relieves the disk, as a follower writes less than a leader.
void ReplicatedGroup::TransferWhenDiskStalls() {
  const Time now = this->environment.now();
  const std::uint64_t waiting = this->writer->Waiting();
  if (waiting == 0) {
    this->last_disk_progress = now;
  }
  const Duration silent = now - this->last_disk_progress;
  if (!this->Leads() || waiting < LogWriter::kMaxQueued / 2 ||
      silent < kDiskStallTimeout) {
    return;
  }
  Log(LogLevel::kWarn, "group_disk_stalled",
      {{"group", this->options.group},
       {"waiting", waiting},
       {"silent_ms", silent.count() / 1000}});
  // Tries again after kDiskStallTimeout if the transfer fails.
  this->last_disk_progress = now;
  this->core->TransferLeadership(now);
}

void ReplicatedGroup::LogResends() {
  const std::uint64_t resends = this->core->resends();
  const Time now = this->environment.now();
  if (resends == this->logged_resends ||
      now - this->resends_logged < kResendsLoggedEvery) {
    return;
  }
  Log(LogLevel::kInfo, "group_appends_resent",
      {{"group", this->options.group},
       {"count", resends - this->logged_resends}});
  this->logged_resends = resends;
  this->resends_logged = now;
}

void ReplicatedGroup::Step(std::string_view message) {
  const auto addressed = DecodeMessage<AddressedMessage>(message);
  const consensus::RaftMessage decoded =
      consensus::DecodeRaftMessage(addressed.message);
  this->sender_addresses[decoded.from] = addressed.address;
  this->core->Step(decoded, this->environment.now());
  this->ProcessReady();
}

void ReplicatedGroup::Propose(std::string command, ProposeDone done) {
  try {
    const consensus::ProposalPosition place =
        this->core->Propose(std::move(command));
    this->pending_proposals[place.index] = {place.term, std::move(done)};
  } catch (const ResultError& error) {
    done(error.result(), {});
    return;
  }
  this->ProcessReady();
}

void ReplicatedGroup::Read(ReadDone done) {
  if (!this->Leads()) {
    done(false);
    return;
  }
  this->reads_next.push_back(std::move(done));
  if (this->reads_current.empty()) {
    this->StartReadRound();
  }
}

void ReplicatedGroup::StartReadRound() {
  this->reads_current = std::exchange(this->reads_next, {});
  ++this->read_token;
  this->core->RequestRead(this->read_token, this->environment.now());
  this->ProcessReady();
}

void ReplicatedGroup::EndReadRound(std::uint64_t token, bool confirmed) {
  if (token != this->read_token) {
    return;
  }
  for (const ReadDone& done : std::exchange(this->reads_current, {})) {
    done(confirmed);
  }
  if (this->reads_current.empty() && !this->reads_next.empty()) {
    this->StartReadRound();
  }
}

/// Not reentrant: callbacks may propose or read, and the outer loop processes
/// the resulting work.
void ReplicatedGroup::ProcessReady() {
  if (std::exchange(this->processing, true)) {
    return;
  }
  this->UpdateLedTerm();
  bool more = true;
  while (more) {
    consensus::RaftReady ready = this->core->TakeReady();
    more = !ready.before_sync.empty() || ready.NeedsSync() ||
           !ready.after_sync.empty() || !ready.committed.empty() ||
           !ready.reads_ready.empty() || !ready.reads_failed.empty();
    this->SendAll(ready.before_sync);
    this->writer->Enqueue(ready);
    for (const consensus::Entry& entry : ready.committed) {
      this->Apply(entry);
    }
    this->UpdateLedTerm();
    for (const std::uint64_t token : ready.reads_ready) {
      this->EndReadRound(token, true);
    }
    for (const std::uint64_t token : ready.reads_failed) {
      this->EndReadRound(token, false);
    }
    if (ready.fetch_snapshot.has_value()) {
      this->FetchState(ready.fetch_from);
    }
  }
  if (this->core->role() != consensus::RaftRole::kLeader) {
    this->FailPendingProposals();
  }
  if (this->core->role() != this->last_role ||
      this->core->leader() != this->last_leader) {
    this->last_role = this->core->role();
    this->last_leader = this->core->leader();
    Log(LogLevel::kInfo, "group_leader",
        {{"group", this->options.group},
         {"leader", this->last_leader},
         {"leads", this->last_role == consensus::RaftRole::kLeader},
         {"term", this->core->term()}});
  }
  this->MaybeSnapshot();
  this->processing = false;
}

/// Runs for each message, timer and confirmation of the writer. If only a timer
/// compared the terms, calls between would be answered from what the owner knew
/// when it led before.
void ReplicatedGroup::UpdateLedTerm() {
  std::optional<consensus::Term> term;
  if (this->core->LeaderReady()) {
    term = this->core->term();
  }
  const bool applied = this->applied_index >= this->core->commit();
  if (term != this->led_term && !applied) {
    term.reset();
  }
  if (term == this->led_term) {
    return;
  }
  this->led_term = term;
  if (this->environment.led_term_changed) {
    this->environment.led_term_changed(term);
  }
}

void ReplicatedGroup::SendAll(
    const std::vector<consensus::RaftMessage>& messages) {
  for (const consensus::RaftMessage& message : messages) {
    const std::string address = this->AddressOf(message.to);
    if (!address.empty()) {
      this->environment.send(
          address, EncodeAddressed(this->environment.own_address, message));
    }
  }
}

std::string ReplicatedGroup::AddressOf(consensus::MemberId member) const {
  const consensus::Member* found = this->core->members().Find(member);
  if (found != nullptr) {
    return found->address;
  }
  const auto heard = this->sender_addresses.find(member);
  return heard != this->sender_addresses.end() ? heard->second : std::string();
}

consensus::MemberList ReplicatedGroup::CommittedMembers() const {
  return this->core->log().MembersAt(this->core->commit());
}

std::string ReplicatedGroup::LeaderAddress() const {
  return this->AddressOf(this->core->leader());
}

void ReplicatedGroup::Apply(const consensus::Entry& entry) {
  this->applied_index = entry.index;
  this->applied_term = entry.term;
  this->bytes_since_snapshot += entry.payload.size();
  std::string reply;
  if (entry.Kind() == consensus::EntryKind::kCommand) {
    reply = this->state.apply(entry.payload);
  }
  const auto found = this->pending_proposals.find(entry.index);
  if (found == this->pending_proposals.end()) {
    return;
  }
  const PendingProposal proposal = std::move(found->second);
  this->pending_proposals.erase(found);
  if (proposal.term == entry.term) {
    proposal.done({}, reply);
  } else {
    proposal.done({ResultCode::kUnknownOutcome, "another leader took over"},
                  {});
  }
}

void ReplicatedGroup::FailPendingProposals() {
  for (auto& [index, proposal] : std::exchange(this->pending_proposals, {})) {
    proposal.done({ResultCode::kUnknownOutcome,
                   "leadership was lost before the command was confirmed"},
                  {});
  }
}

void ReplicatedGroup::MaybeSnapshot() {
  // The log must grow by at least the state size of the last snapshot, so that
  // saving the whole state does not cost more than the commands themselves.
  const std::uint64_t due =
      std::max(this->limits.snapshot_after_bytes, this->snapshot_bytes);
  if (this->snapshot_under_way || this->fetch_under_way ||
      this->bytes_since_snapshot < due) {
    return;
  }
  this->snapshot_under_way = true;
  this->bytes_since_snapshot = 0;
  consensus::SnapshotMeta meta;
  meta.index = this->applied_index;
  meta.term = this->applied_term;
  meta.members = this->core->log().MembersAt(this->applied_index);
  SavedState saved = this->state.save();
  this->snapshot_bytes = saved.bytes.size();
  Log(LogLevel::kInfo, "group_snapshot_begun",
      {{"group", this->options.group},
       {"index", meta.index},
       {"state_bytes", saved.bytes.size()},
       {"log_bytes", this->core->log().Bytes()}});
  this->snapshot_saved = std::move(saved.saved);
  this->writer->EnqueueSnapshot(std::move(meta), std::move(saved.bytes), {},
                                std::move(saved.write_files));
}

std::string ReplicatedGroup::ExportState() const {
  ExportedState exported;
  exported.meta.index = this->applied_index;
  exported.meta.term = this->applied_term;
  exported.meta.members = this->core->log().MembersAt(this->applied_index);
  exported.state = this->state.export_all();
  return EncodeMessage(exported);
}

void ReplicatedGroup::FetchState(consensus::MemberId from) {
  if (this->fetch_under_way || this->environment.now() < this->next_fetch) {
    return;
  }
  this->fetch_under_way = true;
  this->environment.fetch_state(this->AddressOf(from),
                                [this, alive = this->alive](std::string bytes) {
                                  if (!*alive) {
                                    return;
                                  }
                                  this->fetch_under_way = false;
                                  if (!bytes.empty()) {
                                    this->Install(std::move(bytes));
                                  }
                                });
}

/// The state is in force in memory before it is durable. If one that cannot be
/// loaded became durable first, this member would end at each further start.
void ReplicatedGroup::Install(std::string bytes) {
  const std::size_t size = bytes.size();
  try {
    auto fetched = DecodeMessage<ExportedState>(std::exchange(bytes, {}));
    if (!this->core->WantsSnapshot(fetched.meta)) {
      return;
    }
    this->writer->Drain();
    const std::string local = this->state.import_all(std::move(fetched.state));
    // The installed state supersedes a snapshot in progress and the files that
    // it writes.
    this->snapshot_saved = {};
    this->log.InstallSnapshot(fetched.meta, local);
    this->core->SnapshotInstalled(fetched.meta);
    this->applied_index = fetched.meta.index;
    this->applied_term = fetched.meta.term;
    this->bytes_since_snapshot = 0;
    Log(LogLevel::kInfo, "group_state_installed",
        {{"group", this->options.group},
         {"index", fetched.meta.index},
         {"bytes", size}});
  } catch (const ResultError& error) {
    if (error.result().code == ResultCode::kProtocol) {
      Log(LogLevel::kWarn, "group_state_unreadable",
          {{"group", this->options.group}, {"text", error.what()}});
      this->next_fetch = this->environment.now() + kRefetchDelay;
      return;
    }
    this->environment.storage_failed(error.what());
    return;
  }
  this->ProcessReady();
}

std::vector<MemberHealth> ReplicatedGroup::Health(
    std::span<const std::string> leaving_addresses) const {
  std::vector<MemberHealth> health;
  const Time now = this->environment.now();
  for (const consensus::Member& member : this->core->members().members) {
    const bool is_self = member.id == this->options.self;
    const auto heard = this->core->LastHeard(member.id);
    MemberHealth member_health;
    member_health.id = member.id;
    member_health.address = member.address;
    member_health.voter = member.voter;
    member_health.alive =
        is_self || (heard.has_value() && now - *heard < kDeadAfter);
    member_health.caught_up =
        is_self || (this->core->MatchOf(member.id) >= this->core->commit() &&
                    this->core->MatchOf(member.id) > 0);
    member_health.leaving = Contains(leaving_addresses, member.address);
    health.push_back(std::move(member_health));
  }
  return health;
}

void ReplicatedGroup::RepairMembership(
    std::span<const Candidate> candidates,
    std::span<const std::string> leaving_addresses, const GroupSize& size) {
  if (!this->Leads()) {
    return;
  }
  const std::vector<MemberHealth> health = this->Health(leaving_addresses);
  const MembershipChange change =
      PlanMembership(health, candidates, size, this->options.self);
  try {
    this->ProposeChange(change);
  } catch (const ResultError&) {
    // Another change is in progress, or the learner fell behind again. The next
    // call plans again from the state at that time.
  }
  this->ProcessReady();
}

void ReplicatedGroup::ProposeChange(const MembershipChange& change) {
  consensus::MemberList list = this->core->members();
  std::visit(
      Overloaded{
          [](const NoChange&) {},
          [&](const AddLearner& add) {
            list.members.push_back({add.id, add.address, false});
            this->core->ProposeMembers(list);
            Log(LogLevel::kInfo, "group_learner_added",
                {{"group", this->options.group},
                 {"member", add.id},
                 {"address", add.address}});
          },
          [&](const PromoteLearner& promote) {
            for (consensus::Member& member : list.members) {
              member.voter = member.voter || member.id == promote.id;
            }
            this->core->ProposeMembers(list);
            Log(LogLevel::kInfo, "group_learner_votes",
                {{"group", this->options.group}, {"member", promote.id}});
          },
          [&](const ReplaceLostVoter& replace) {
            this->core->ProposeReplacement(replace.lost, replace.replacement);
            Log(LogLevel::kInfo, "group_member_replaced",
                {{"group", this->options.group},
                 {"lost", replace.lost},
                 {"heir", replace.replacement}});
          },
          [&](const RemoveMember& remove) {
            std::erase_if(list.members,
                          [&remove](const consensus::Member& member) {
                            return member.id == remove.id;
                          });
            this->core->ProposeMembers(list);
            Log(LogLevel::kInfo, "group_member_removed",
                {{"group", this->options.group}, {"member", remove.id}});
          }},
      change);
}

void ReplicatedGroup::TransferLeadership() {
  this->core->TransferLeadership(this->environment.now());
  this->ProcessReady();
}

}  // namespace papayarack::replication
