#include "batches/batchstore.h"

#include <algorithm>
#include <set>
#include <utility>

#include "global/logging.h"
#include "global/variantcodec.h"

namespace papayarack::batches {
namespace {

using coordination::GroupReply;
using coordination::kJobGroup;

constexpr std::chrono::milliseconds kTick{20};
constexpr std::chrono::milliseconds kTaskInterval{100};
/// A pull for which no items arrive is answered after this time. The gate then
/// pulls again, which renews its leases.
constexpr std::chrono::milliseconds kPullTimeout{1000};
/// Maximum bytes of result texts in one page.
constexpr std::size_t kPageBytes = 900U << 10U;
constexpr std::chrono::seconds kForgetInterval{20};
/// Interval of checks for items that wait for too long.
constexpr std::chrono::milliseconds kWaitCheckInterval{1000};
/// Margin for clocks that differ between VMs or jump by seconds.
constexpr std::chrono::milliseconds kClockMargin{60000};
/// Result deadline of items whose route is currently unknown.
constexpr std::chrono::milliseconds kUnknownDeadline{20000};
/// Limits memory use: the log since the second-last snapshot and the result
/// texts since the last one are kept in memory.
constexpr std::uint64_t kSnapshotAfterBytes = 1U << 20U;
constexpr std::chrono::seconds kRefusalLogInterval{1};
constexpr std::chrono::seconds kLeaseLogInterval{10};
constexpr std::chrono::milliseconds kUnsentCheckInterval{5};
constexpr const char* kReadPath = "/jobs/read";
constexpr const char* kBodyPath = "/jobs/body";

/// Why the item does not wait. Precondition: it does not.
const char* NotWaitingReason(const BatchState& state, const ItemRef& ref) {
  const BatchState::Batch* batch = state.Find(ref.batch);
  if (batch == nullptr) {
    return "its batch is unknown";
  }
  return batch->ended ? "its batch has ended" : "it has a result";
}

/// Why the state holds no body of an item.
const char* MissingBodyReason(const BatchState& state, const ItemRef& ref) {
  const BatchState::Batch* batch = state.Find(ref.batch);
  if (batch == nullptr) {
    return "its batch is unknown";
  }
  if (state.FindItem(ref) == nullptr) {
    return "its batch has no such item";
  }
  return batch->ended ? "its batch has ended" : "it was listed long ago";
}

}  // namespace

BatchStore::BatchStore(asio::io_context& context, storage::FileSystem& files,
                       const BatchStoreOptions& options,
                       transport::PeerClient& peers,
                       transport::PeerServer*& server,
                       transport::PeerDispatch& dispatch,
                       MembersChanged members_changed,
                       std::function<void(const std::string&)> storage_failed)
    : files(files),
      options(options),
      server(server),
      members_changed(std::move(members_changed)),
      storage_failed(storage_failed),
      batch_state(files),
      read_timer(context),
      timer(context) {
  this->environment = coordination::MakeGroupEnvironment(
      context, kJobGroup, options.address, peers, server, dispatch, this->group,
      std::move(storage_failed));
  this->environment.led_term_changed =
      [this](std::optional<consensus::Term> led_term) {
        this->RefuseWaiting();
        if (led_term.has_value()) {
          this->BeginTerm(MonotonicNow());
        }
      };
  this->Register(dispatch);
  if (consensus::HasGroup(files, kJobGroup)) {
    this->StartGroup();
  }
  this->Tick();
}

BatchStore::~BatchStore() { *this->alive = false; }

void BatchStore::Register(transport::PeerDispatch& dispatch) {
  using Method = void (BatchStore::*)(StreamId, const std::string&);
  const std::vector<std::pair<std::string, Method>> calls = {
      {"/jobs/submit", &BatchStore::OnSubmit},
      {kReadPath, &BatchStore::OnRead},
      {kBodyPath, &BatchStore::OnBody},
      {"/jobs/end", &BatchStore::OnEnd},
      {"/jobs/pull", &BatchStore::OnPull},
      {"/jobs/report", &BatchStore::OnReport}};
  for (const auto& entry : calls) {
    const Method method = entry.second;
    dispatch.On(entry.first,
                [this, method](StreamId stream, const std::string& body) {
                  if (this->Leads()) {
                    (this->*method)(stream, body);
                  } else {
                    this->Reply(stream, ResultCode::kNotLeader);
                  }
                });
  }
  dispatch.OnCancel([this](StreamId stream) {
    this->readers.erase(stream);
    this->reads.Remove(stream);
    this->pullers.erase(stream);
  });
}

void BatchStore::StartGroup() {
  consensus::RaftOptions raft;
  raft.group = kJobGroup;
  raft.self = this->options.member;
  raft.seed = this->options.random_seed;
  replication::ReplicatedState state;
  state.apply = [this](std::string_view command) {
    const BatchReply reply = this->batch_state.Apply(command);
    this->OnApplied();
    return EncodeMessage(reply);
  };
  state.save = [this] {
    std::string saved = this->batch_state.Save();
    return replication::SavedState{
        std::move(saved), this->batch_state.ArchiveTexts(),
        [this] { this->batch_state.TextsArchived(); }};
  };
  state.export_all = [this] { return this->batch_state.Export(); };
  state.import_all = [this](std::string exported) {
    return this->batch_state.Import(std::move(exported));
  };
  state.load = [this](std::string_view bytes) {
    this->batch_state.Load(bytes);
  };
  this->group = std::make_unique<replication::ReplicatedGroup>(
      this->files, raft, replication::GroupLimits{kSnapshotAfterBytes},
      std::move(state), this->environment);
}

/// A process creates the group only if the identity on its disk is among the
/// founders. A wiped disk gets another identity and joins as a learner.
void BatchStore::OnFleet(const coordination::FleetKnowledge& fleet) {
  this->candidates.clear();
  this->leaving_addresses.clear();
  for (const coordination::NodeReport& node : fleet.nodes) {
    if (node.Role() != coordination::NodeRole::kStore || node.member == 0) {
      continue;
    }
    const bool leaves =
        std::ranges::find(fleet.leaving, node.name) != fleet.leaving.end();
    this->candidates.push_back({node.member, node.address, node.zone, leaves});
    if (leaves) {
      this->leaving_addresses.push_back(node.address);
    }
  }
  if (this->group != nullptr || fleet.job_founders.members.empty()) {
    return;
  }
  if (fleet.job_founders.Find(this->options.member) != nullptr) {
    consensus::CreateGroup(this->files, kJobGroup, fleet.job_founders);
  }
  this->StartGroup();
}

void BatchStore::OnRoutes(routes::RouteTablePtr newer) {
  if (newer == this->table) {
    return;
  }
  this->table = std::move(newer);
  this->ReassignLeases();
}

void BatchStore::SetQuarantine(QuarantinedTraits traits_of) {
  this->quarantined_traits = std::move(traits_of);
  this->ReassignLeases();
}

void BatchStore::SetTrialTimes(std::map<quarantine::Fingerprint, Time> times) {
  this->leases.SetTrialTimes(std::move(times));
}

void BatchStore::ReassignLeases() {
  if (this->Leads()) {
    this->leases.Reassign(
        [this](const ItemRef& item) { return this->EligibilityOf(item); });
  }
}

void BatchStore::TransferLeadership() {
  if (this->group != nullptr) {
    this->group->TransferLeadership();
  }
}

bool BatchStore::Leads() const {
  return this->group != nullptr && this->group->Leads();
}

void BatchStore::Tick() {
  this->timer.expires_after(kTick);
  this->timer.async_wait([this, alive = this->alive](std::error_code error) {
    if (error || !*alive) {
      return;
    }
    if (this->group != nullptr) {
      this->group->Tick();
      this->RunPeriodicTasks(MonotonicNow());
      this->ScheduleReads();
      this->LogRefusedReads(MonotonicNow());
    }
    this->Tick();
  });
}

void BatchStore::RunPeriodicTasks(Time now) {
  if (!this->group->Leads()) {
    this->RefuseWaiting();
    return;
  }
  if (now >= this->next_tasks) {
    this->next_tasks = now + kTaskInterval;
    this->leases.Expire(now);
    this->group->RepairMembership(this->candidates, this->leaving_addresses,
                                  {2 * this->options.tolerated_losses + 1, 0});
    std::vector<std::string> addresses;
    // A store that is no member any more may be taken away with its disk.
    for (const consensus::Member& member :
         this->group->CommittedMembers().members) {
      addresses.push_back(member.address);
    }
    this->members_changed(std::move(addresses), this->group->term());
    this->GiveUpItems(now);
    this->ForgetOldBatches(now);
    this->DropOldBodies(now);
    this->LogLeases(now);
  }
  this->AnswerReaders(now);
  this->AnswerPullers(now);
}

void BatchStore::RefuseWaiting() {
  for (const auto& [stream, reader] : std::exchange(this->readers, {})) {
    this->Reply(stream, ResultCode::kNotLeader);
  }
  for (const auto& [stream, puller] : std::exchange(this->pullers, {})) {
    this->Reply(stream, ResultCode::kNotLeader);
  }
}

void BatchStore::BeginTerm(Time now) {
  this->giving_up = false;
  this->items_to_give_up.Reset();
  this->next_body_drop = now + this->options.body_drop_interval;
  this->last_old_body = {};
  this->leases.Reset(now);
  for (const ItemRef& item : this->batch_state.WaitingItems()) {
    this->SyncLease(item, now);
  }
}

/// Uses the wall clock, which may differ by seconds between leaders. That only
/// affects the order of items.
Time BatchStore::DueOf(const BatchState::Batch& batch, Time now) const {
  const routes::Route* route =
      this->table != nullptr ? this->table->FindBatchRoute(batch.route_key)
                             : nullptr;
  const std::chrono::milliseconds allowed =
      route != nullptr ? route->batch.result_deadline : kUnknownDeadline;
  const std::chrono::milliseconds age(WallNow() - batch.submitted_ms);
  return now + allowed - age;
}

std::size_t BatchStore::Reply(StreamId stream, ResultCode code,
                              std::string body) {
  GroupReply reply;
  reply.code = static_cast<int>(code);
  if (this->group != nullptr) {
    reply.leader = this->group->LeaderAddress();
  }
  reply.body = std::move(body);
  const std::string encoded = EncodeMessage(reply);
  this->server->Send(stream, encoded);
  this->server->Finish(stream);
  return encoded.size();
}

void BatchStore::AfterConfirmation(StreamId stream,
                                   std::function<void()> read) {
  this->group->Read([this, stream, read = std::move(read)](bool confirmed) {
    if (confirmed) {
      read();
    } else {
      this->Reply(stream, ResultCode::kNotLeader);
    }
  });
}

void BatchStore::ReplyConfirmed(StreamId stream) {
  this->AfterConfirmation(
      stream, [this, stream] { this->Reply(stream, ResultCode::kOk); });
}

void BatchStore::QueueRead(StreamId stream, ReadQueue::Answer answer) {
  this->reads.Add(stream, std::move(answer), MonotonicNow());
  this->group->Read([this, stream](bool confirmed) {
    if (confirmed) {
      this->reads.Confirm(stream);
      this->ScheduleReads();
    } else if (this->reads.Remove(stream)) {
      this->Reply(stream, ResultCode::kNotLeader);
    }
  });
}

std::size_t BatchStore::UnsentReadBytes() const {
  return this->server->UnsentBytes(kReadPath) +
         this->server->UnsentBytes(kBodyPath);
}

/// Runs the next turn behind the handlers that are ready, or later if too many
/// answers are unsent.
void BatchStore::ScheduleReads() {
  if (this->reads_scheduled || !this->reads.HasDue(MonotonicNow())) {
    return;
  }
  this->reads_scheduled = true;
  const bool blocked = this->UnsentReadBytes() >= ReadQueue::kMaxUnsentBytes;
  this->read_timer.expires_after(blocked ? kUnsentCheckInterval
                                         : std::chrono::milliseconds(0));
  this->read_timer.async_wait(
      [this, alive = this->alive](std::error_code error) {
        if (!error && *alive) {
          this->reads_scheduled = false;
          this->AnswerQueuedReads();
        }
      });
}

void BatchStore::AnswerQueuedReads() {
  this->reads.BeginTurn();
  const std::size_t unsent = this->UnsentReadBytes();
  std::optional<ReadQueue::Due> due;
  while ((due = this->reads.Take(unsent, MonotonicNow())).has_value()) {
    if (due->answer) {
      this->reads.Answered(due->answer());
    } else {
      ++this->refused_reads;
      this->unconfirmed_reads += due->confirmed ? 0 : 1;
      this->Reply(due->stream, ResultCode::kOverloaded);
    }
  }
  this->ScheduleReads();
}

void BatchStore::LogRefusedReads(Time now) {
  if (this->refused_reads == 0 || now < this->next_refusal_log) {
    return;
  }
  Log(LogLevel::kInfo, "reads_refused",
      {{"count", std::exchange(this->refused_reads, 0)},
       {"unconfirmed", std::exchange(this->unconfirmed_reads, 0)},
       {"term", this->group->term()},
       {"waiting", this->reads.size()},
       {"unsent_bytes", this->UnsentReadBytes()},
       {"reason", "they waited too long"}});
  this->next_refusal_log = now + kRefusalLogInterval;
}

BatchStore::Fingerprint BatchStore::FingerprintOf(std::string_view bytes) {
  return {bytes.size(), std::hash<std::string_view>()(bytes)};
}

void BatchStore::ProposeThen(const BatchCommand& command,
                             std::function<void(ResultCode)> done) {
  this->group->Propose(EncodeVariant(command), [done = std::move(done)](
                                                   const Result& result,
                                                   const std::string& reply) {
    done(result.Ok()
             ? static_cast<ResultCode>(DecodeMessage<BatchReply>(reply).code)
             : result.code);
  });
}

void BatchStore::Propose(StreamId stream, const BatchCommand& command) {
  this->ProposeThen(
      command, [this, stream](ResultCode code) { this->Reply(stream, code); });
}

/// A copy of a batch that is not committed yet waits for the first one. A
/// caller that gets no answer in time sends the batch again; if each copy
/// became a log entry of its own, sent to every member, a short delay would
/// fill the log and the links between members, which prolongs the delay.
void BatchStore::OnSubmit(StreamId stream, const std::string& body) {
  auto command = DecodeMessage<SubmitBatch>(body);
  const BatchState::Batch* known = this->batch_state.Find(command.id);
  if (known != nullptr && known->MayBeCopy(command)) {
    this->ReplyConfirmed(stream);
    return;
  }
  const std::string id = command.id;
  const Fingerprint fingerprint = FingerprintOf(body);
  const auto under_way = this->submissions.find(id);
  if (under_way != this->submissions.end() &&
      under_way->second.fingerprint == fingerprint) {
    under_way->second.streams.push_back(stream);
    return;
  }
  command.now_ms = WallNow();
  Log(LogLevel::kInfo, "batch_submitted",
      {{"batch", id},
       {"items", command.items.size()},
       {"organisation", command.organisation},
       {"waiting_tokens", this->batch_state.WaitingTokens(command.organisation,
                                                          command.route_key)},
       {"most_tokens", command.max_waiting_tokens}});
  if (under_way != this->submissions.end()) {
    this->Propose(stream, std::move(command));
    return;
  }
  this->submissions[id] = {fingerprint, {stream}};
  this->ProposeThen(std::move(command), [this, id](ResultCode code) {
    const auto ended = this->submissions.extract(id);
    for (const StreamId waiting : ended.mapped().streams) {
      this->Reply(waiting, code);
    }
  });
}

/// A request to end an unknown batch adds no log entry: callers without a key
/// may send any number of them.
void BatchStore::OnEnd(StreamId stream, const std::string& body) {
  const auto command = DecodeMessage<EndBatch>(body);
  const bool may_be_known = this->batch_state.Find(command.id) != nullptr ||
                            this->submissions.contains(command.id);
  if (may_be_known) {
    this->End(stream, command);
    return;
  }
  this->AfterConfirmation(stream, [this, stream, command] {
    if (this->batch_state.Find(command.id) != nullptr) {
      this->End(stream, command);
    } else {
      this->Reply(stream, ResultCode::kNotFound);
    }
  });
}

/// Stops the items as soon as the end is requested, because its commit may be
/// delayed by results before it in the log. If the command is not committed,
/// the items may run again. A repeated request waits for the first one.
void BatchStore::End(StreamId stream, const EndBatch& command) {
  const BatchState::Batch* batch = this->batch_state.Find(command.id);
  if (batch != nullptr && !batch->VisibleTo(command.organisation)) {
    this->Reply(stream, ResultCode::kNotFound);
    return;
  }
  if (batch != nullptr && batch->ended) {
    this->ReplyConfirmed(stream);
    return;
  }
  const std::string id = command.id;
  const auto [under_way, first] = this->pending_ends.try_emplace(id);
  under_way->second.push_back(stream);
  if (!first) {
    return;
  }
  const Time requested_at = MonotonicNow();
  Log(LogLevel::kInfo, "batch_end_asked", {{"batch", id}});
  this->SyncLeases(id, requested_at);
  this->ProposeThen(command, [this, id, requested_at](ResultCode code) {
    this->FinishEnd(id, code, requested_at);
  });
}

void BatchStore::FinishEnd(const std::string& id, ResultCode code,
                           Time requested_at) {
  const auto ended = this->pending_ends.extract(id);
  const Time now = MonotonicNow();
  Log(LogLevel::kInfo, "batch_end_answered",
      {{"batch", id},
       {"code", static_cast<int>(code)},
       {"callers", ended.mapped().size()},
       {"took_ms", (now - requested_at).count() / 1000}});
  if (this->Leads()) {
    this->SyncLeases(id, now);
  }
  for (const StreamId waiting : ended.mapped()) {
    this->Reply(waiting, code);
  }
}

void BatchStore::OnBody(StreamId stream, const std::string& body) {
  const auto query = DecodeMessage<ReadItemBody>(body);
  this->QueueRead(stream, [this, stream, query] {
    return this->AnswerBody(stream, query);
  });
}

bool BatchStore::MayRead(const std::string& batch,
                         std::string_view organisation) const {
  const BatchState::Batch* found = this->batch_state.Find(batch);
  return found != nullptr && found->VisibleTo(organisation);
}

std::size_t BatchStore::AnswerBody(StreamId stream, const ReadItemBody& query) {
  const ItemRef ref{query.batch, query.item};
  const std::string* body = this->MayRead(query.batch, query.organisation)
                                ? this->batch_state.BodyOf(ref)
                                : nullptr;
  if (body == nullptr) {
    Log(LogLevel::kInfo, "item_body_not_found",
        {{"batch", ref.batch},
         {"item", ref.item},
         {"reason", MissingBodyReason(this->batch_state, ref)},
         {"term", this->group->term()},
         {"applied", this->group->applied()},
         {"kept_bytes", this->batch_state.listed_bodies().Bytes()}});
    return this->Reply(stream, ResultCode::kNotFound);
  }
  return this->Reply(stream, ResultCode::kOk, *body);
}

void BatchStore::OnRead(StreamId stream, const std::string& body) {
  Reader reader;
  reader.query = DecodeMessage<ReadResults>(body);
  reader.until =
      MonotonicNow() + std::chrono::milliseconds(reader.query.wait_ms);
  this->QueueRead(stream, [this, stream, reader]() -> std::size_t {
    const BatchState::Batch* batch = this->batch_state.Find(reader.query.id);
    const bool more_to_come =
        batch != nullptr && batch->VisibleTo(reader.query.organisation) &&
        batch->Open() && batch->results.size() <= reader.query.after;
    if (more_to_come && reader.query.wait_ms > 0) {
      this->readers[stream] = reader;
      return 0;
    }
    return this->AnswerReader(stream, reader);
  });
}

std::size_t BatchStore::AnswerReader(StreamId stream, const Reader& reader) {
  if (!this->MayRead(reader.query.id, reader.query.organisation)) {
    return this->Reply(stream, ResultCode::kNotFound);
  }
  std::optional<ResultPage> page;
  try {
    page =
        this->batch_state.Page(reader.query.id, reader.query.after, kPageBytes);
  } catch (const ResultError& error) {
    // Another member may have an undamaged copy, so this one gives up
    // leadership.
    Log(LogLevel::kError, "result_unreadable",
        {{"batch", reader.query.id}, {"text", error.what()}});
    this->group->TransferLeadership();
    return this->Reply(stream, ResultCode::kStorageDamaged);
  }
  if (page.has_value()) {
    return this->Reply(stream, ResultCode::kOk, EncodeMessage(*page));
  }
  return this->Reply(stream, ResultCode::kNotFound);
}

/// A reader whose wait timed out is answered only after leadership is confirmed
/// again. A VM that was suspended meanwhile would otherwise omit results that
/// another leader has recorded.
void BatchStore::AnswerReaders(Time now) {
  std::vector<std::pair<StreamId, Reader>> due;
  for (const auto& [stream, reader] : this->readers) {
    if (now >= reader.until) {
      due.emplace_back(stream, reader);
    }
  }
  for (const auto& [stream, reader] : due) {
    this->readers.erase(stream);
    this->QueueRead(stream, [this, stream = stream, reader = reader] {
      return this->AnswerReader(stream, reader);
    });
  }
}

/// Updates leases and answers readers after a command was applied.
void BatchStore::OnApplied() {
  const BatchState::Changes changes = this->batch_state.TakeChanges();
  if (!this->Leads()) {
    return;
  }
  const Time now = MonotonicNow();
  std::set<std::string> changed(changes.batches.begin(), changes.batches.end());
  for (const std::string& id : changes.batches) {
    this->SyncLeases(id, now);
  }
  for (const ItemRef& item : changes.items) {
    this->SyncLease(item, now);
    changed.insert(item.batch);
  }
  this->AnswerReadersOf(changed);
}

void BatchStore::AnswerReadersOf(const std::set<std::string>& changed) {
  for (auto reader = this->readers.begin(); reader != this->readers.end();) {
    const bool affected = changed.contains(reader->second.query.id);
    if (affected) {
      this->AnswerReader(reader->first, reader->second);
    }
    reader = affected ? this->readers.erase(reader) : std::next(reader);
  }
}

void BatchStore::SyncLeases(const std::string& id, Time now) {
  const BatchState::Batch* batch = this->batch_state.Find(id);
  if (batch == nullptr) {
    return;
  }
  for (const BatchState::Item& item : batch->items) {
    this->SyncLease({id, item.spec.id}, now);
  }
}

void BatchStore::SyncLease(const ItemRef& item, Time now) {
  if (this->batch_state.IsWaiting(item) &&
      !this->pending_ends.contains(item.batch)) {
    const BatchState::Batch& batch = *this->batch_state.Find(item.batch);
    this->leases.Add(item, this->DueOf(batch, now), this->EligibilityOf(item),
                     this->OwnerOf(batch));
  } else {
    this->leases.Remove(item, now);
  }
}

bool BatchStore::IsFinal(const ItemRef& ref) const {
  const BatchState::Item* item = this->batch_state.FindItem(ref);
  return item != nullptr &&
         (item->has_result || this->batch_state.Find(ref.batch)->ended);
}

bool BatchStore::HasRoom(std::size_t report_bytes) const {
  return this->proposals.empty() ||
         this->proposed_bytes + report_bytes <= kMaxProposedBytes;
}

/// Proposes only outcomes that are new. Like a caller that submits a batch, a
/// gate that gets no answer sends its report again, together with items that
/// ended meanwhile. Items that already have a result are skipped, and copies of
/// uncommitted outcomes wait for the first one. An outcome is a copy only if it
/// is identical.
void BatchStore::OnReport(StreamId stream, const std::string& body) {
  if (!this->HasRoom(body.size())) {
    Log(LogLevel::kInfo, "report_refused",
        {{"bytes", body.size()},
         {"under_way_bytes", this->proposed_bytes},
         {"reason", "too much waits to be committed"}});
    this->Reply(stream, ResultCode::kOverloaded);
    return;
  }
  auto report = DecodeMessage<ReportOutcomes>(body);
  std::set<ProposalId> awaited;
  ReportOutcomes new_outcomes;
  ReportProposal proposal;
  const ProposalId id = ++this->last_proposal;
  for (ItemOutcome& outcome : report.outcomes) {
    const ItemRef ref{outcome.batch, outcome.item};
    if (this->IsFinal(ref)) {
      continue;
    }
    const Fingerprint fingerprint = FingerprintOf(EncodeMessage(outcome));
    const auto [under_way, added] =
        this->outcomes.try_emplace(ref, PendingOutcome{fingerprint, id});
    if (added) {
      proposal.items.push_back(ref);
    }
    if (added || under_way->second.fingerprint != fingerprint) {
      new_outcomes.outcomes.push_back(std::move(outcome));
    } else {
      awaited.insert(under_way->second.proposal);
    }
  }
  if (!new_outcomes.outcomes.empty()) {
    awaited.insert(id);
    proposal.bytes = body.size();
    this->proposed_bytes += proposal.bytes;
    this->proposals.emplace(id, std::move(proposal));
  }
  if (awaited.empty()) {
    this->ReplyConfirmed(stream);
    return;
  }
  this->reporters[stream] = {awaited.size(), ResultCode::kOk};
  for (const ProposalId other : awaited) {
    this->proposals.at(other).reporters.push_back(stream);
  }
  if (!new_outcomes.outcomes.empty()) {
    this->ProposeThen(std::move(new_outcomes), [this, id](ResultCode code) {
      this->FinishReport(id, code);
    });
  }
}

void BatchStore::FinishReport(ProposalId id, ResultCode code) {
  const auto ended = this->proposals.extract(id);
  this->proposed_bytes -= ended.mapped().bytes;
  for (const ItemRef& item : ended.mapped().items) {
    this->outcomes.erase(item);
  }
  for (const StreamId stream : ended.mapped().reporters) {
    PendingReport& reporter = this->reporters.at(stream);
    if (code != ResultCode::kOk) {
      reporter.code = code;
    }
    if (--reporter.proposals_left == 0) {
      const ResultCode report_code = reporter.code;
      this->reporters.erase(stream);
      this->Reply(stream, report_code);
    }
  }
}

/// A pull that returns items is answered at once, as the gate sends their texts
/// again with each pull until one is answered.
void BatchStore::OnPull(StreamId stream, const std::string& body) {
  const Time now = MonotonicNow();
  Puller puller{DecodeMessage<PullItems>(body), now};
  if (puller.pull.returned.empty()) {
    puller.until = now + kPullTimeout;
  }
  this->leases.Renew(puller.pull.gate, puller.pull.incarnation,
                     puller.pull.holding, now);
  this->leases.SetRunTime(puller.pull.gate, puller.pull.service,
                          std::chrono::milliseconds(puller.pull.run_ms),
                          puller.pull.room, puller.pull.holding.size(), now);
  for (const ReturnedItem& returned : puller.pull.returned) {
    this->leases.Return(puller.pull.gate, returned);
  }
  if (!this->AnswerPuller(stream, puller, now)) {
    this->pullers[stream] = std::move(puller);
  }
}

ItemOwner BatchStore::OwnerOf(const BatchState::Batch& batch) const {
  const routes::Organisation* organisation =
      this->table != nullptr ? this->table->FindOrganisation(batch.organisation)
                             : nullptr;
  return {batch.organisation,
          organisation != nullptr ? organisation->priority : 0};
}

/// An item goes where the route leads that accepted its batch, whatever route
/// its own path matches: one for other requests may be added under the prefix.
Eligibility BatchStore::EligibilityOf(const ItemRef& item) const {
  const BatchState::Batch* batch = this->batch_state.Find(item.batch);
  const BatchState::Item* found = this->batch_state.FindItem(item);
  if (found == nullptr || this->table == nullptr) {
    return {};
  }
  const routes::Route* route = this->table->FindBatchRoute(batch->route_key);
  if (route == nullptr) {
    return {};
  }
  std::set<std::string> services;
  std::set<std::string> trial_services;
  std::set<quarantine::Fingerprint> quarantined;
  for (const routes::WeightedService& target : route->targets) {
    if (target.weight <= 0) {
      continue;
    }
    const Traits traits =
        this->quarantined_traits
            ? this->quarantined_traits(batch->host, found->spec, target.service)
            : Traits{};
    quarantined.insert(traits.begin(), traits.end());
    (traits.empty() ? services : trial_services).insert(target.service);
  }
  if (!services.empty()) {
    return {{services.begin(), services.end()}, {}, {}};
  }
  return {{},
          {trial_services.begin(), trial_services.end()},
          {quarantined.begin(), quarantined.end()}};
}

LeasedItem BatchStore::Lease(const ItemRef& item, Time now) const {
  const BatchState::Batch* batch = this->batch_state.Find(item.batch);
  LeasedItem leased;
  leased.batch = item.batch;
  leased.host = batch->host;
  leased.route_key = batch->route_key;
  leased.spec = this->batch_state.FindItem(item)->spec;
  leased.partial = this->leases.PartialOf(item);
  leased.due_in_ms = (this->leases.DueOf(item) - now).count() / 1000;
  leased.organisation = batch->organisation;
  leased.is_trial = this->leases.NeedsTrial(item);
  return leased;
}

/// An item that does not wait has no body any more, and a replica would run
/// something that no client sent.
std::vector<LeasedItem> BatchStore::TakeItems(const PullItems& pull, Time now) {
  std::vector<LeasedItem> items;
  for (const ItemRef& item :
       this->leases.Take(pull.gate, pull.service, pull.room, now)) {
    if (!this->batch_state.IsWaiting(item)) {
      Log(LogLevel::kError, "item_not_leased",
          {{"batch", item.batch},
           {"request", item.item},
           {"gate", pull.gate},
           {"term", this->group->term()},
           {"applied", this->group->applied()},
           {"reason", NotWaitingReason(this->batch_state, item)}});
      this->leases.Remove(item, now);
      continue;
    }
    items.push_back(this->Lease(item, now));
    if (items.back().is_trial) {
      Log(LogLevel::kInfo, "item_trial_leased",
          {{"batch", item.batch}, {"request", item.item}, {"gate", pull.gate}});
    }
  }
  return items;
}

bool BatchStore::AnswerPuller(StreamId stream, const Puller& puller, Time now) {
  PulledItems pulled;
  pulled.stop = this->leases.ToStop(puller.pull.holding);
  pulled.items = this->TakeItems(puller.pull, now);
  if (pulled.items.empty() && pulled.stop.empty() && now < puller.until) {
    return false;
  }
  this->Reply(stream, ResultCode::kOk, EncodeMessage(pulled));
  return true;
}

bool BatchStore::ShouldAnswer(const PullItems& pull,
                              const std::set<ItemRef>& removed,
                              Time now) const {
  const bool items_wait =
      pull.room > 0 && this->leases.Settled(now) &&
      this->leases.HasWaitingFor(pull.service, now, pull.gate);
  return items_wait ||
         std::ranges::any_of(pull.holding, [&removed](const ItemRef& item) {
           return removed.count(item) > 0;
         });
}

/// Slow gates come last: what they get may be late there.
void BatchStore::AnswerPullers(Time now) {
  const std::set<ItemRef> removed = this->leases.TakeRemoved();
  for (const bool slow : {false, true}) {
    for (auto waiting = this->pullers.begin();
         waiting != this->pullers.end();) {
      const Puller& puller = waiting->second;
      const PullItems& pull = puller.pull;
      const bool answered =
          this->leases.IsSlow(pull.gate, pull.service) == slow &&
          (now >= puller.until || this->ShouldAnswer(pull, removed, now)) &&
          this->AnswerPuller(waiting->first, puller, now);
      waiting = answered ? this->pullers.erase(waiting) : std::next(waiting);
    }
  }
}

void BatchStore::LogLeases(Time now) {
  if (now < this->next_lease_log) {
    return;
  }
  this->next_lease_log = now + kLeaseLogInterval;
  const LeaseCounts counts = this->leases.TakeCounts();
  if (counts.by_due_time + counts.by_turn + counts.late + counts.trials +
          counts.results ==
      0) {
    return;
  }
  Log(LogLevel::kInfo, "items_leased",
      {{"by_due_time", counts.by_due_time},
       {"by_turn", counts.by_turn},
       {"late", counts.late},
       {"trials", counts.trials},
       {"results", counts.results},
       {"runs_of_results", counts.runs},
       {"waiting", this->leases.Waiting()}});
}

void BatchStore::GiveUpItems(Time now) {
  if (this->table == nullptr || this->giving_up) {
    return;
  }
  ReportOutcomes unrunnable =
      ItemsToGiveUp::OfRemovedRoutes(this->batch_state, *this->table);
  if (!unrunnable.outcomes.empty()) {
    this->GiveUp(std::move(unrunnable), "their route was removed");
    return;
  }
  if (now < this->next_wait_check) {
    return;
  }
  this->next_wait_check = now + kWaitCheckInterval;
  ReportOutcomes waiting = this->items_to_give_up.ThatWaitTooLong(
      this->batch_state, *this->table, this->leases, now);
  if (!waiting.outcomes.empty()) {
    this->GiveUp(std::move(waiting), "they waited for too long");
  }
}

void BatchStore::GiveUp(ReportOutcomes report, const char* reason) {
  this->giving_up = true;
  Log(LogLevel::kInfo, "items_given_up",
      {{"count", report.outcomes.size()},
       {"reason", reason},
       {"config_version", this->table->configuration().version}});
  this->group->Propose(
      EncodeVariant(BatchCommand(std::move(report))),
      [this](const Result&, const std::string&) { this->giving_up = false; });
}

void BatchStore::ForgetOldBatches(Time now) {
  if (now < this->next_forget) {
    return;
  }
  this->next_forget = now + kForgetInterval;
  const std::int64_t before =
      WallNow() - (this->options.retention + kClockMargin).count();
  const bool any = std::ranges::any_of(
      this->batch_state.batches(), [before](const auto& entry) {
        return entry.second.submitted_ms < before && !entry.second.Open();
      });
  if (any) {
    this->group->Propose(EncodeVariant(BatchCommand(ForgetBatches{before})),
                         [](const Result&, const std::string&) {});
  }
}

/// The bodies are part of the replicated state, so a command drops them. Times
/// are those of this leader's monotonic clock.
void BatchStore::DropOldBodies(Time now) {
  if (now < this->next_body_drop) {
    return;
  }
  this->next_body_drop = now + this->options.body_drop_interval;
  const ListedBodies& bodies = this->batch_state.listed_bodies();
  if (bodies.Find(this->last_old_body) != nullptr) {
    this->group->Propose(
        EncodeVariant(BatchCommand(DropListedBodies{this->last_old_body})),
        [](const Result&, const std::string&) {});
  }
  this->last_old_body = bodies.last();
}

}  // namespace papayarack::batches
