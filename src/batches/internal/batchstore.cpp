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
constexpr std::chrono::milliseconds kWorkEvery{100};
/// A pull without work is answered after this long, which renews its leases.
constexpr std::chrono::milliseconds kPullHold{1000};
/// Most bytes of texts in one page of results.
constexpr std::size_t kPageBytes = 900U << 10U;
constexpr std::chrono::seconds kForgetEvery{20};
/// Room for clocks that differ between VMs or jump by seconds.
constexpr std::chrono::milliseconds kClockMargin{60000};
/// Due time of items whose route is not known at the moment.
constexpr std::chrono::milliseconds kUnknownDeadline{20000};
/// The log since the snapshot before the last is held in memory, and so are the
/// texts of results since the last.
constexpr std::uint64_t kSnapshotAfterBytes = 1U << 20U;

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
      book(files),
      timer(context) {
  this->environment = coordination::MakeGroupEnvironment(
      context, kJobGroup, options.address, peers, server, dispatch, this->group,
      std::move(storage_failed));
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
      {"/jobs/read", &BatchStore::OnRead},
      {"/jobs/body", &BatchStore::OnBody},
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
    const BatchReply reply = this->book.Apply(command);
    this->OnApplied();
    return EncodeMessage(reply);
  };
  state.save = [this] {
    std::string saved = this->book.Save();
    return replication::SavedState{std::move(saved), this->book.ArchiveTexts(),
                                   [this] { this->book.TextsArchived(); }};
  };
  state.export_all = [this] { return this->book.Export(); };
  state.import_files = [this](std::string_view exported) {
    return this->book.Import(exported);
  };
  state.load = [this](std::string_view bytes) { this->book.Load(bytes); };
  this->group = std::make_unique<replication::ReplicatedGroup>(
      this->files, raft, replication::GroupLimits{kSnapshotAfterBytes},
      std::move(state), this->environment);
}

/// A process founds the group only if its own disk's identity is among the
/// founders: a wiped disk has another identity and joins as a learner.
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
  this->table = std::move(newer);
  if (this->led_term != 0) {
    this->desk.Reassign(
        [this](const ItemRef& item) { return this->ServicesOf(item); });
  }
}

void BatchStore::HandOver() {
  if (this->group != nullptr) {
    this->group->HandOver();
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
      this->Work(MonotonicNow());
    }
    this->Tick();
  });
}

void BatchStore::Work(Time now) {
  if (!this->group->Leads()) {
    this->led_term = 0;
    for (const auto& [stream, reader] : std::exchange(this->readers, {})) {
      this->Reply(stream, ResultCode::kNotLeader);
    }
    for (const auto& [stream, puller] : std::exchange(this->pullers, {})) {
      this->Reply(stream, ResultCode::kNotLeader);
    }
    return;
  }
  if (this->led_term != this->group->term()) {
    this->OnTerm(now);
  }
  if (now >= this->next_work) {
    this->next_work = now + kWorkEvery;
    this->desk.Expire(now);
    this->group->RepairMembership(this->candidates, this->leaving_addresses,
                                  {2 * this->options.losses_borne + 1, 0});
    std::vector<std::string> addresses;
    for (const consensus::Member& member : this->group->members().members) {
      addresses.push_back(member.address);
    }
    this->members_changed(std::move(addresses), this->group->term());
    this->GiveUpItemsOfGoneRoutes();
    this->ForgetOldBatches(now);
  }
  this->AnswerReaders(now);
  this->AnswerPullers(now);
}

/// A new leader knows what waits; who runs what it learns from the gates.
void BatchStore::OnTerm(Time now) {
  this->led_term = this->group->term();
  this->giving_up = false;
  this->desk.Reset(now);
  for (const ItemRef& item : this->book.WaitingItems()) {
    this->SyncLease(item, now);
  }
}

/// By the wall clock, which may differ between leaders by seconds: that changes
/// the order of items, nothing else.
Time BatchStore::DueOf(const BatchState::Batch& batch, Time now) const {
  const routes::Route* route =
      this->table != nullptr ? this->table->FindKey(batch.route_key) : nullptr;
  const std::chrono::milliseconds allowed =
      route != nullptr ? route->batch.result_deadline : kUnknownDeadline;
  const std::chrono::milliseconds age(WallNow() - batch.submitted_ms);
  return now + allowed - age;
}

void BatchStore::Reply(StreamId stream, ResultCode code, std::string body) {
  GroupReply reply;
  reply.code = static_cast<int>(code);
  if (this->group != nullptr) {
    reply.leader = this->group->LeaderAddress();
  }
  reply.body = std::move(body);
  this->server->Send(stream, EncodeMessage(reply));
  this->server->Finish(stream);
}

void BatchStore::Confirmed(StreamId stream, std::function<void()> read) {
  this->group->Read([this, stream, read = std::move(read)](bool confirmed) {
    if (confirmed) {
      read();
    } else {
      this->Reply(stream, ResultCode::kNotLeader);
    }
  });
}

void BatchStore::ReplyConfirmed(StreamId stream) {
  this->Confirmed(stream,
                  [this, stream] { this->Reply(stream, ResultCode::kOk); });
}

BatchStore::Content BatchStore::ContentOf(std::string_view bytes) {
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

/// Symptom guarded against: a store that is slow for a moment stays slow, its
/// log and the links between members full. Whoever hears nothing in time sends
/// the batch again, and each copy that came before the first was applied became
/// an entry of its own, sent whole to every member. A copy of what is on its
/// way waits for that.
void BatchStore::OnSubmit(StreamId stream, const std::string& body) {
  auto command = DecodeMessage<SubmitBatch>(body);
  if (this->book.Find(command.id) != nullptr) {
    this->ReplyConfirmed(stream);
    return;
  }
  const std::string id = command.id;
  const Content content = ContentOf(body);
  const auto under_way = this->submissions.find(id);
  if (under_way != this->submissions.end() &&
      under_way->second.content == content) {
    under_way->second.streams.push_back(stream);
    return;
  }
  command.now_ms = WallNow();
  Log(LogLevel::kInfo, "batch_submitted",
      {{"batch", id},
       {"items", command.items.size()},
       {"waiting_tokens", this->book.WaitingTokens(command.route_key)},
       {"most_tokens", command.max_waiting_tokens}});
  if (under_way != this->submissions.end()) {
    this->Propose(stream, std::move(command));
    return;
  }
  this->submissions[id] = {content, {stream}};
  this->ProposeThen(std::move(command), [this, id](ResultCode code) {
    const auto ended = this->submissions.extract(id);
    for (const StreamId waiting : ended.mapped().streams) {
      this->Reply(waiting, code);
    }
  });
}

/// Symptom guarded against: items run that nobody wants any more, because their
/// batch's end waits behind results that are committed late. The leader stops
/// them as soon as the end is asked; an end that is not committed lets them run
/// again. One that is asked again while the first is on its way waits for that.
void BatchStore::OnEnd(StreamId stream, const std::string& body) {
  auto command = DecodeMessage<EndBatch>(body);
  const BatchState::Batch* batch = this->book.Find(command.id);
  if (batch != nullptr && batch->ended) {
    this->ReplyConfirmed(stream);
    return;
  }
  const std::string id = command.id;
  const auto [under_way, first] = this->ends.try_emplace(id);
  under_way->second.push_back(stream);
  if (!first) {
    return;
  }
  const Time asked = MonotonicNow();
  Log(LogLevel::kInfo, "batch_end_asked", {{"batch", id}});
  this->SyncLeases(id, asked);
  this->ProposeThen(std::move(command), [this, id, asked](ResultCode code) {
    this->EndAnswered(id, code, asked);
  });
}

void BatchStore::EndAnswered(const std::string& id, ResultCode code,
                             Time asked) {
  const auto ended = this->ends.extract(id);
  const Time now = MonotonicNow();
  Log(LogLevel::kInfo, "batch_end_answered",
      {{"batch", id},
       {"code", static_cast<int>(code)},
       {"callers", ended.mapped().size()},
       {"took_ms", (now - asked).count() / 1000}});
  if (this->led_term != 0) {
    this->SyncLeases(id, now);
  }
  for (const StreamId waiting : ended.mapped()) {
    this->Reply(waiting, code);
  }
}

void BatchStore::OnBody(StreamId stream, const std::string& body) {
  const auto query = DecodeMessage<ReadItemBody>(body);
  this->Confirmed(stream, [this, stream, query] {
    const ItemRef ref{query.batch, query.item};
    if (this->book.Waits(ref)) {
      this->Reply(stream, ResultCode::kOk, this->book.FindItem(ref)->spec.body);
    } else {
      this->Reply(stream, ResultCode::kNotFound);
    }
  });
}

void BatchStore::OnRead(StreamId stream, const std::string& body) {
  Reader reader;
  reader.query = DecodeMessage<ReadResults>(body);
  reader.until =
      MonotonicNow() + std::chrono::milliseconds(reader.query.wait_ms);
  this->Confirmed(stream, [this, stream, reader] {
    const BatchState::Batch* batch = this->book.Find(reader.query.id);
    const bool more_to_come = batch != nullptr && batch->Open() &&
                              batch->results.size() <= reader.query.after;
    if (more_to_come && reader.query.wait_ms > 0) {
      this->readers[stream] = reader;
    } else {
      this->AnswerReader(stream, reader);
    }
  });
}

void BatchStore::AnswerReader(StreamId stream, const Reader& reader) {
  std::optional<ResultPage> page;
  try {
    page = this->book.Page(reader.query.id, reader.query.after, kPageBytes);
  } catch (const ResultError& error) {
    // Another member may have it whole: this one stops leading.
    Log(LogLevel::kError, "result_unreadable",
        {{"batch", reader.query.id}, {"text", error.what()}});
    this->Reply(stream, ResultCode::kStorageDamaged);
    this->group->HandOver();
    return;
  }
  if (page.has_value()) {
    this->Reply(stream, ResultCode::kOk, EncodeMessage(*page));
  } else {
    this->Reply(stream, ResultCode::kNotFound);
  }
}

/// A reader that waited in vain is answered only after leadership was confirmed
/// anew: a VM that was suspended meanwhile would otherwise deny results that
/// another leader has listed.
void BatchStore::AnswerReaders(Time now) {
  std::vector<std::pair<StreamId, Reader>> due;
  for (const auto& [stream, reader] : this->readers) {
    if (now >= reader.until) {
      due.emplace_back(stream, reader);
    }
  }
  for (const auto& [stream, reader] : due) {
    this->readers.erase(stream);
    this->Confirmed(stream, [this, stream = stream, reader = reader] {
      this->AnswerReader(stream, reader);
    });
  }
}

/// Brings readers and leases in line with what was just committed.
void BatchStore::OnApplied() {
  const BatchState::Changes changes = this->book.TakeChanges();
  if (this->led_term == 0) {
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
    const bool news = changed.contains(reader->second.query.id);
    if (news) {
      this->AnswerReader(reader->first, reader->second);
    }
    reader = news ? this->readers.erase(reader) : std::next(reader);
  }
}

void BatchStore::SyncLeases(const std::string& id, Time now) {
  const BatchState::Batch* batch = this->book.Find(id);
  if (batch == nullptr) {
    return;
  }
  for (const BatchState::Item& item : batch->items) {
    this->SyncLease({id, item.spec.id}, now);
  }
}

void BatchStore::SyncLease(const ItemRef& item, Time now) {
  if (this->book.Waits(item) && !this->ends.contains(item.batch)) {
    this->desk.Add(item, this->DueOf(*this->book.Find(item.batch), now),
                   this->ServicesOf(item));
  } else {
    this->desk.Remove(item, now);
  }
}

bool BatchStore::IsFinal(const ItemRef& ref) const {
  const BatchState::Item* item = this->book.FindItem(ref);
  return item != nullptr && (item->listed || this->book.Find(ref.batch)->ended);
}

bool BatchStore::HasRoom(std::size_t report_bytes) const {
  return this->proposals.empty() ||
         this->proposed_bytes + report_bytes <= kMostProposedBytes;
}

/// Symptom guarded against: as for a batch, with the texts of a report, which a
/// gate sends again together with what ended meanwhile. What has its outcome
/// already is left out, and of what is on its way the copy waits for that; only
/// the rest becomes an entry. Only an outcome that is the same in all counts as
/// a copy.
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
  ReportOutcomes fresh;
  ReportProposal proposal;
  const ProposalId id = ++this->last_proposal;
  for (ItemOutcome& outcome : report.outcomes) {
    const ItemRef ref{outcome.batch, outcome.item};
    if (this->IsFinal(ref)) {
      continue;
    }
    const Content content = ContentOf(EncodeMessage(outcome));
    const auto [under_way, added] =
        this->outcomes.try_emplace(ref, OutcomeUnderWay{content, id});
    if (added) {
      proposal.items.push_back(ref);
    }
    if (added || under_way->second.content != content) {
      fresh.outcomes.push_back(std::move(outcome));
    } else {
      awaited.insert(under_way->second.proposal);
    }
  }
  if (!fresh.outcomes.empty()) {
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
  if (!fresh.outcomes.empty()) {
    this->ProposeThen(std::move(fresh), [this, id](ResultCode code) {
      this->EndReport(id, code);
    });
  }
}

void BatchStore::EndReport(ProposalId id, ResultCode code) {
  const auto ended = this->proposals.extract(id);
  this->proposed_bytes -= ended.mapped().bytes;
  for (const ItemRef& item : ended.mapped().items) {
    this->outcomes.erase(item);
  }
  for (const StreamId stream : ended.mapped().reporters) {
    Reporter& reporter = this->reporters.at(stream);
    if (code != ResultCode::kOk) {
      reporter.code = code;
    }
    if (--reporter.left == 0) {
      const ResultCode sum = reporter.code;
      this->reporters.erase(stream);
      this->Reply(stream, sum);
    }
  }
}

/// A pull that hands something back is answered at once: the gate keeps the
/// texts and sends them again until it knows that they arrived.
void BatchStore::OnPull(StreamId stream, const std::string& body) {
  const Time now = MonotonicNow();
  Puller puller{DecodeMessage<PullItems>(body), now};
  if (puller.pull.returned.empty()) {
    puller.until = now + kPullHold;
  }
  this->desk.Renew(puller.pull.gate, puller.pull.incarnation,
                   puller.pull.holding, now);
  for (const ReturnedItem& returned : puller.pull.returned) {
    this->desk.Return(puller.pull.gate, returned);
  }
  if (!this->AnswerPuller(stream, puller, now)) {
    this->pullers[stream] = std::move(puller);
  }
}

Services BatchStore::ServicesOf(const ItemRef& item) const {
  const BatchState::Batch* batch = this->book.Find(item.batch);
  const BatchState::Item* found = this->book.FindItem(item);
  if (found == nullptr || this->table == nullptr) {
    return {};
  }
  const routes::Route* route = this->table->Find(batch->host, found->spec.path);
  if (route == nullptr || route->kind != routes::RouteKind::kBatch) {
    return {};
  }
  std::set<std::string> services;
  for (const routes::WeightedService& target : route->targets) {
    if (target.weight > 0) {
      services.insert(target.service);
    }
  }
  return {services.begin(), services.end()};
}

LeasedItem BatchStore::Lease(const ItemRef& item, Time now) const {
  const BatchState::Batch* batch = this->book.Find(item.batch);
  LeasedItem leased;
  leased.batch = item.batch;
  leased.host = batch->host;
  leased.route_key = batch->route_key;
  leased.spec = this->book.FindItem(item)->spec;
  leased.partial = this->desk.PartialOf(item);
  leased.due_in_ms = (this->desk.DueOf(item) - now).count() / 1000;
  return leased;
}

bool BatchStore::AnswerPuller(StreamId stream, const Puller& puller, Time now) {
  PulledItems pulled;
  pulled.stop = this->desk.ToStop(puller.pull.holding);
  for (const ItemRef& item : this->desk.Take(
           puller.pull.gate, puller.pull.service, puller.pull.room, now)) {
    pulled.items.push_back(this->Lease(item, now));
  }
  if (pulled.items.empty() && pulled.stop.empty() && now < puller.until) {
    return false;
  }
  this->Reply(stream, ResultCode::kOk, EncodeMessage(pulled));
  return true;
}

bool BatchStore::HasNews(const PullItems& pull,
                         const std::set<ItemRef>& removed, Time now) const {
  const bool items_wait = pull.room > 0 && this->desk.Settled(now) &&
                          this->desk.WaitsFor(pull.service);
  return items_wait ||
         std::ranges::any_of(pull.holding, [&removed](const ItemRef& item) {
           return removed.count(item) > 0;
         });
}

void BatchStore::AnswerPullers(Time now) {
  const std::set<ItemRef> removed = this->desk.TakeRemoved();
  for (auto waiting = this->pullers.begin(); waiting != this->pullers.end();) {
    const Puller& puller = waiting->second;
    const bool answered =
        (now >= puller.until || this->HasNews(puller.pull, removed, now)) &&
        this->AnswerPuller(waiting->first, puller, now);
    waiting = answered ? this->pullers.erase(waiting) : std::next(waiting);
  }
}

/// An item whose route was removed may not be run any more, and its client
/// would wait for it in vain.
void BatchStore::GiveUpItemsOfGoneRoutes() {
  if (this->table == nullptr || this->giving_up) {
    return;
  }
  ReportOutcomes report;
  for (const auto& [id, batch] : this->book.batches()) {
    if (!batch.Open() || this->table->FindKey(batch.route_key) != nullptr) {
      continue;
    }
    for (const BatchState::Item& item : batch.items) {
      if (!item.listed) {
        ItemOutcome outcome;
        outcome.batch = id;
        outcome.item = item.spec.id;
        outcome.end = static_cast<std::uint8_t>(ItemEnd::kGivenUp);
        report.outcomes.push_back(std::move(outcome));
      }
    }
  }
  if (report.outcomes.empty()) {
    return;
  }
  this->giving_up = true;
  Log(LogLevel::kInfo, "items_given_up",
      {{"count", report.outcomes.size()},
       {"reason", "their route was removed"},
       {"config_version", this->table->configuration().version}});
  this->group->Propose(
      EncodeVariant(BatchCommand(std::move(report))),
      [this](const Result&, const std::string&) { this->giving_up = false; });
}

void BatchStore::ForgetOldBatches(Time now) {
  if (now < this->next_forget) {
    return;
  }
  this->next_forget = now + kForgetEvery;
  const std::int64_t before =
      WallNow() - (this->options.keep_time + kClockMargin).count();
  const bool any =
      std::ranges::any_of(this->book.batches(), [before](const auto& entry) {
        return entry.second.submitted_ms < before && !entry.second.Open();
      });
  if (any) {
    this->group->Propose(EncodeVariant(BatchCommand(ForgetBatches{before})),
                         [](const Result&, const std::string&) {});
  }
}

}  // namespace papayarack::batches
