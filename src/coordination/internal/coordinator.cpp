#include "coordination/coordinator.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "coordination/founders.h"
#include "coordination/jobmembers.h"
#include "coordination/textfetch.h"
#include "global/logging.h"
#include "global/settings.h"
#include "global/variantcodec.h"

namespace papayarack::coordination {
namespace {

constexpr std::chrono::milliseconds kTick{20};
/// Interval at which membership and silent processes are checked.
constexpr std::chrono::milliseconds kWorkInterval{100};
/// A watch is answered after this long without changes, so that both sides know
/// that the other is alive.
constexpr std::chrono::milliseconds kWatchTimeout{1000};
/// The platform limits and charges for reads of its list, which itself lags by
/// 0.8 s. At this interval a draining replica is known after 1.3 s of the 3 s
/// that it drains.
constexpr std::chrono::milliseconds kPollInterval{500};
/// Most VMs in the coordination group, of which more than half are a quorum.
/// The job group may use every store.
constexpr std::size_t kMaxCoordinators = 9;
/// How long a new leader waits for as many stores as the job group should have:
/// all processes start within 0.3 s of each other and report within 2 s.
constexpr std::chrono::milliseconds kFoundersTimeout{4000};
/// A member that knows no leader replies after this long. An election after a
/// start takes 150 to 300 ms, and earlier retries learn nothing. A longer delay
/// would keep the caller from another member that may know the leader.
constexpr std::chrono::milliseconds kNoLeaderDelay{150};
/// Rate of sending full texts: a third of a link of 100 Mbit/s.
constexpr std::size_t kFullTextBytesPerMs = 4000;
/// Interval at which members announce the group's members to seeds that are not
/// members; a new leader is announced at once. Otherwise, after a restart of
/// all processes, those that know no member query each other in turn, and the
/// configuration is in force long after the election.
constexpr std::chrono::milliseconds kAnnounceInterval{500};

}  // namespace

Coordinator::Coordinator(asio::io_context& context, storage::FileSystem& files,
                         const CoordinatorOptions& options,
                         transport::PeerClient& peers,
                         transport::PeerServer*& server,
                         transport::PeerDispatch& dispatch,
                         ListEngines list_engines,
                         std::function<void(const std::string&)> storage_failed)
    : options(options),
      peers(peers),
      server(server),
      list_engines(std::move(list_engines)),
      plan(options.address),
      timer(context) {
  consensus::RaftOptions raft;
  raft.group = kCoordinationGroup;
  raft.self = options.member;
  raft.seed = options.random_seed;
  replication::ReplicatedState replicated;
  replicated.apply = [this](std::string_view command) {
    this->state.Apply(command);
    return std::string();
  };
  replicated.save = [this] {
    return replication::SavedState{this->state.Save(), {}, {}};
  };
  replicated.export_all = [this] { return this->state.Save(); };
  replicated.import_all = [this](std::string exported) {
    this->state.Load(exported);
    return exported;
  };
  replicated.load = [this](std::string_view bytes) { this->state.Load(bytes); };
  auto environment = MakeGroupEnvironment(
      context, kCoordinationGroup, options.address, peers, server, dispatch,
      this->group, std::move(storage_failed));
  environment.led_term_changed =
      [this](std::optional<consensus::Term> led_term) {
        if (led_term.has_value()) {
          this->BeginTerm(MonotonicNow());
        }
      };
  this->group = std::make_unique<replication::ReplicatedGroup>(
      files, raft, replication::GroupLimits{}, std::move(replicated),
      std::move(environment));
  this->submissions = std::make_unique<Submissions>(
      *this->group, this->state, options.address,
      [this](StreamId stream, ResultCode code) { this->Reply(stream, code); },
      [this] { this->AnswerWatchers(MonotonicNow()); });
  this->reserve_record = std::make_unique<ReserveRecord>(
      *this->group, this->state, options.address);
  this->Register(dispatch);
  this->Tick();
}

Coordinator::~Coordinator() { *this->alive = false; }

void Coordinator::Register(transport::PeerDispatch& dispatch) {
  dispatch.On("/coordination/watch",
              [this](StreamId stream, const std::string& body) {
                this->OnWatch(stream, body);
              });
  dispatch.On("/coordination/submit", [this](StreamId stream,
                                             const std::string& body) {
    this->submissions->Take(stream, DecodeMessage<SubmitConfiguration>(body));
  });
  dispatch.On("/coordination/read",
              [this](StreamId stream, const std::string& body) {
                this->OnReadConfiguration(stream, body);
              });
  dispatch.On("/coordination/empty-store",
              [this](StreamId stream, const std::string& body) {
                this->OnEmptyStore(stream, body);
              });
  dispatch.On("/coordination/read-store",
              [this](StreamId stream, const std::string& body) {
                this->OnReadStore(stream, body);
              });
  dispatch.OnCancel([this](StreamId stream) { this->watchers.erase(stream); });
  ServeChunks(this->server, dispatch, [this] {
    this->config_history.Set(this->state.version(), this->state.text());
    return LocalText{this->state.text(), &this->config_history.index()};
  });
}

void Coordinator::Tick() {
  this->timer.expires_after(kTick);
  this->timer.async_wait([this, alive = this->alive](std::error_code error) {
    if (error || !*alive) {
      return;
    }
    this->group->Tick();
    this->Work(MonotonicNow());
    this->submissions->Tick(MonotonicNow());
    this->Tick();
  });
}

void Coordinator::Announce(Time now) {
  const std::string leader = this->group->LeaderAddress();
  const bool news = leader != this->announced_leader;
  if (leader.empty() || (now < this->next_announcement && !news)) {
    return;
  }
  this->announced_leader = leader;
  this->next_announcement = now + kAnnounceInterval;
  AnnounceMembers announcement;
  announcement.leader = leader;
  for (const consensus::Member& member : this->group->members().members) {
    announcement.members.push_back(member.address);
  }
  this->options.leader_known(announcement);
  for (const std::string& seed : this->options.seeds()) {
    if (std::ranges::find(announcement.members, seed) ==
        announcement.members.end()) {
      this->peers.Call(ParseEndpoint(seed, "seed"), "/coordination/announce",
                       EncodeMessage(announcement), {});
    }
  }
}

void Coordinator::Work(Time now) {
  this->Announce(now);
  if (!this->group->Leads()) {
    this->AnswerWatchers(now);
    return;
  }
  if (now >= this->next_work) {
    this->next_work = now + kWorkInterval;
    this->nodes.DropSilent(now);
    for (const std::string& name : this->nodes.dropped()) {
      this->plan.Remove(name);
    }
    this->plan.ForgetSilent(now);
    this->quarantine.Evaluate(now);
    this->group->RepairMembership(
        CoordinationCandidates(this->nodes.WithRole(NodeRole::kEntry),
                               this->options.has_disk),
        {}, {2 * this->options.tolerated_losses + 1, kMaxCoordinators});
    this->FoundJobGroupWhenReady(now);
  }
  this->PollEngines(now);
  this->AnswerWatchers(now);
}

void Coordinator::BeginTerm(Time now) {
  this->led_since = now;
  this->nodes.Clear(now);
  this->plan.Clear();
  this->submissions->BeginTerm(now);
  this->reserve_record->BeginTerm();
  this->quarantine.BeginTerm();
  this->founding = false;
}

/// Exactly one job group is ever formed: its founders are one entry of this
/// group's log, and all other stores only join.
void Coordinator::FoundJobGroupWhenReady(Time now) {
  if (this->founding || !this->state.job_founders().members.empty()) {
    return;
  }
  const std::vector<NodeReport> stores = this->nodes.WithRole(NodeRole::kStore);
  const std::optional<consensus::MemberList> founders =
      ChooseFounders(stores, 2 * this->options.tolerated_losses + 1,
                     now - this->led_since >= kFoundersTimeout);
  if (!founders.has_value()) {
    return;
  }
  const FoundJobGroup command{*founders};
  this->founding = true;
  this->group->Propose(EncodeVariant(CoordinationCommand(command)),
                       [this](const Result& result, const std::string&) {
                         this->founding = result.Ok();
                       });
}

void Coordinator::PollEngines(Time now) {
  if (this->poll_under_way || now < this->next_poll) {
    return;
  }
  this->poll_under_way = true;
  this->next_poll = now + kPollInterval;
  this->list_engines(
      [this, begun = now, alive = this->alive](
          const std::optional<std::vector<EngineInstance>>& list) {
        if (!*alive) {
          return;
        }
        this->poll_under_way = false;
        if (!list.has_value()) {
          return;
        }
        this->TakeEngineList(*list, begun);
      });
}

void Coordinator::TakeEngineList(std::span<const EngineInstance> list,
                                 Time begun) {
  this->engines_seen = MonotonicNow();
  this->engines_begun = begun;
  std::set<std::string> listed;
  bool changed = false;
  for (const EngineInstance& engine : list) {
    listed.insert(engine.Key());
    changed = this->engines.Set(engine.Key(), engine) || changed;
  }
  std::vector<std::string> gone;
  this->engines.ForEach([&](const std::string& key, const EngineInstance&) {
    if (listed.count(key) == 0) {
      gone.push_back(key);
    }
  });
  for (const std::string& key : gone) {
    changed = this->engines.Remove(key) || changed;
  }
  if (changed) {
    this->AnswerWatchers(this->engines_seen);
  }
}

bool Coordinator::KnowsOtherLeader() const {
  const std::string leader = this->group->LeaderAddress();
  // This member is elected, but entries of earlier terms are not committed yet.
  const bool becoming_leader = leader == this->options.address;
  return !becoming_leader &&
         !(leader.empty() && this->options.hint().leader.empty());
}

namespace {

/// Selects the replicas that a process needs: for a gate with an engine, only
/// that one.
auto EnginesFor(const NodeReport& asker) {
  return [&asker](const EngineInstance& engine) {
    return asker.engine_address.empty() ||
           engine.address == asker.engine_address;
  };
}

}  // namespace

bool Coordinator::EnginesDiffer(const WatchRequest& request) const {
  if (this->engines_seen == Time{}) {
    return false;
  }
  return request.takes_changes
             ? this->engines.ChangedSince(request.engines_revision,
                                          EnginesFor(request.self))
             : request.engines_revision != this->engines.revision();
}

bool Coordinator::Differs(const WatchRequest& request) const {
  const bool nodes_differ =
      request.takes_changes
          ? this->nodes.ChangedFor(request.self.Role(), request.nodes_revision)
          : request.nodes_revision != this->nodes.revision();
  return request.term != this->group->term() || nodes_differ ||
         this->EnginesDiffer(request);
}

TransferReport Coordinator::TransferReportOf(
    const WatchRequest& request) const {
  TransferReport report;
  report.name = request.self.name;
  report.address = request.self.address;
  report.zone = request.self.zone;
  report.incarnation = request.self.incarnation;
  report.held = request.config_version;
  report.fetching_from = request.fetching_from;
  report.is_member = std::ranges::any_of(
      this->group->members().members, [&](const consensus::Member& member) {
        return member.address == request.self.address;
      });
  return report;
}

/// Limits the rate of full texts, which only processes of the previous release
/// need, to leave room on the link.
bool Coordinator::MaySendFullText(Time now) {
  if (now < this->next_full_text) {
    return false;
  }
  this->next_full_text =
      now + std::chrono::milliseconds(this->state.text().size() /
                                      kFullTextBytesPerMs);
  return true;
}

bool Coordinator::OfferConfiguration(Watcher& watcher, Time now) {
  const WatchRequest& request = watcher.request;
  // A running fetch of an older version does not delay the newer one: if that
  // is a small change that reverts it, the process can apply it at once.
  const bool fetches_it = !request.fetching_from.empty() &&
                          request.fetching_version >= this->state.version();
  if (request.config_version >= this->state.version() || fetches_it) {
    return false;
  }
  if (!request.takes_changes) {
    watcher.offer = this->MaySendFullText(now);
    return watcher.offer;
  }
  if (this->config_history.FitsInline(request.config_version)) {
    watcher.offer = true;
    return true;
  }
  // Members read their own logs and need no source, so they do not wait for
  // one. Otherwise they apply the configuration 0.4 s late, or 2.5 s late if
  // the two processes that fetch from the leader are stalled, and nobody can
  // fetch from them meanwhile.
  if (this->waiting_for_source && !this->plan.ReadsOwnCopy(request.self.name)) {
    return false;
  }
  const std::optional<std::string> source =
      this->plan.Assign(request.self.name, now);
  if (!source.has_value()) {
    this->waiting_for_source = !this->plan.HasFreeSource(now);
    return false;
  }
  Log(LogLevel::kInfo, "configuration_source_given",
      {{"process", request.self.name},
       {"source", *source},
       {"config_version", this->state.version()},
       {"held_version", request.config_version},
       {"holders", this->plan.Holders()}});
  watcher.offer = true;
  watcher.source = *source;
  return true;
}

void Coordinator::AddConfiguration(const Watcher& watcher,
                                   WatchReply& reply) const {
  reply.config_version = this->state.version();
  if (!watcher.offer) {
    return;
  }
  if (!watcher.request.takes_changes) {
    reply.config = this->state.text();
    return;
  }
  reply.manifest = this->config_history.manifest();
  reply.source = watcher.source;
  if (watcher.source.empty()) {
    reply.chunks =
        this->config_history
            .InlineChunks(watcher.request.config_version, this->state.text())
            .value_or(std::vector<std::string>());
  }
}

void Coordinator::AddLists(const WatchRequest& request,
                           WatchReply& reply) const {
  const Time now = MonotonicNow();
  const bool whole =
      request.term != this->group->term() || !request.takes_changes;
  reply.nodes_revision = this->nodes.revision();
  reply.nodes_settled = this->nodes.Settled(now);
  if (request.nodes_revision != reply.nodes_revision || whole) {
    auto changes = this->nodes.ChangesFor(request.self.Role(),
                                          whole ? 0 : request.nodes_revision);
    reply.nodes_partial = !changes.whole;
    reply.nodes = std::move(changes.set);
    reply.nodes_removed = std::move(changes.removed);
    reply.has_nodes =
        changes.whole || !reply.nodes.empty() || !reply.nodes_removed.empty();
  }
  const bool known = this->engines_seen != Time{};
  reply.engines_revision = this->engines.revision();
  reply.engines_age_ms = static_cast<std::uint32_t>(
      known ? (now - this->engines_seen).count() / 1000 : kEnginesNeverRead);
  if (known && (request.engines_revision != reply.engines_revision || whole)) {
    auto changes = this->engines.Since(whole ? 0 : request.engines_revision,
                                       EnginesFor(request.self));
    reply.engines_partial = !changes.whole;
    reply.engines = std::move(changes.set);
    reply.engines_removed = std::move(changes.removed);
    reply.has_engines = changes.whole || !reply.engines.empty() ||
                        !reply.engines_removed.empty();
  }
}

WatchReply Coordinator::MakeReply(const Watcher& watcher) const {
  WatchReply reply;
  for (const consensus::Member& member : this->group->members().members) {
    reply.members.push_back(member.address);
  }
  reply.leader = this->group->LeaderAddress();
  if (reply.leader.empty()) {
    // A process that is no member yet, or not any more, may know of others.
    const LeaderHint hint = this->options.hint();
    reply.leader = hint.leader;
    reply.members = hint.members;
  }
  if (!this->group->Leads()) {
    reply.code = static_cast<int>(ResultCode::kNotLeader);
    return reply;
  }
  reply.term = this->group->term();
  this->AddConfiguration(watcher, reply);
  this->AddLists(watcher.request, reply);
  this->quarantine.AddTo(watcher.request, reply, MonotonicNow());
  reply.hosts_known = this->nodes.HostsKnown(MonotonicNow());
  reply.entries =
      static_cast<std::uint32_t>(this->nodes.Count(NodeRole::kEntry));
  this->AddConfirmation(watcher, reply);
  this->AddListReading(watcher, reply);
  reply.job_founders = this->state.job_founders();
  reply.leaving.assign(this->state.leaving().begin(),
                       this->state.leaving().end());
  return reply;
}

/// Both moments are of this process's clock, so the difference holds however
/// late the reply is sent.
void Coordinator::AddConfirmation(const Watcher& watcher,
                                  WatchReply& reply) const {
  const std::optional<Time> contact = this->group->QuorumContact();
  if (contact.has_value()) {
    reply.confirmed_after_ms =
        std::chrono::floor<std::chrono::milliseconds>(*contact - watcher.since)
            .count();
    reply.is_confirmed = true;
  }
}

/// Counts from the request's receipt, too.
void Coordinator::AddListReading(const Watcher& watcher,
                                 WatchReply& reply) const {
  if (this->engines_begun != Time{}) {
    reply.engines_read_after_ms = std::chrono::floor<std::chrono::milliseconds>(
                                      this->engines_begun - watcher.since)
                                      .count();
    reply.has_engines_read = true;
  }
}

bool Coordinator::HasWantedReading(const Watcher& watcher) const {
  const std::chrono::milliseconds wanted_in(
      watcher.request.engines_wanted_in_ms);
  return watcher.request.wants_engines &&
         this->engines_begun >= watcher.since + wanted_in;
}

void Coordinator::OnWatch(StreamId stream, const std::string& body) {
  const auto request = DecodeMessage<WatchRequest>(body);
  const Time now = MonotonicNow();
  if (this->group->Leads()) {
    this->nodes.Take(request.self, now);
    this->plan.OnReport(this->TransferReportOf(request), now);
    this->submissions->OnReport(request, now);
    this->reserve_record->OnReport(request);
    this->quarantine.OnReport(request, now);
  }
  this->watchers[stream] = {
      request, now, false, {}, this->nodes.HostsKnown(now)};
  if (!this->group->Leads() || this->waiting_for_source ||
      request.wants_confirmation ||
      request.config_version < this->state.version() ||
      request.term != this->group->term()) {
    this->AnswerWatchers(now);
  }
}

bool Coordinator::HasNews(Watcher& watcher, Time now) {
  if (!this->group->Leads()) {
    return now - watcher.since >= kNoLeaderDelay || this->KnowsOtherLeader();
  }
  const bool offered = this->OfferConfiguration(watcher, now);
  // Only of what the leader holds: a process that lacks it would ask again at
  // once.
  const bool confirms =
      watcher.request.wants_confirmation &&
      watcher.request.config_version >= this->state.version() &&
      this->group->QuorumContact().has_value();
  const bool differs =
      this->Differs(watcher.request) ||
      this->nodes.HostsKnown(now) != watcher.hosts_were_known ||
      this->quarantine.NeedsList(watcher.request);
  if (!differs && watcher.request.takes_changes) {
    // Nothing that it needs has changed up to these revisions, so later checks
    // skip them. With 300 watchers and 300 replicas each pass over a list took
    // 1.7 ms.
    watcher.request.nodes_revision = this->nodes.revision();
    if (this->engines_seen != Time{}) {
      watcher.request.engines_revision = this->engines.revision();
    }
  }
  return offered || differs || confirms || this->HasWantedReading(watcher) ||
         now - watcher.since >= kWatchTimeout;
}

/// Called at each tick, so that changes within a tick share one reply. Entries
/// come first, as a delay there is visible to callers.
void Coordinator::AnswerWatchers(Time now) {
  constexpr std::array<NodeRole, 1> kFirst = {NodeRole::kEntry};
  constexpr std::array<NodeRole, 2> kThen = {NodeRole::kGate, NodeRole::kStore};
  this->config_history.Set(this->state.version(), this->state.text());
  this->plan.SetVersion(this->state.version());
  this->waiting_for_source = false;
  this->AnswerWatchersOf(kFirst, now);
  this->AnswerWatchersOf(kThen, now);
}

void Coordinator::AnswerWatchersOf(std::span<const NodeRole> roles, Time now) {
  for (auto entry = this->watchers.begin(); entry != this->watchers.end();) {
    auto& [stream, watcher] = *entry;
    const NodeRole role = watcher.request.self.Role();
    const bool listed = std::ranges::find(roles, role) != roles.end();
    if (!listed || !this->HasNews(watcher, now)) {
      ++entry;
      continue;
    }
    this->server->Send(stream, EncodeMessage(this->MakeReply(watcher)));
    this->server->Finish(stream);
    entry = this->watchers.erase(entry);
  }
}

void Coordinator::Reply(StreamId stream, ResultCode code, std::string body) {
  GroupReply reply;
  reply.code = static_cast<int>(code);
  reply.leader = this->group->LeaderAddress();
  reply.body = std::move(body);
  this->server->Send(stream, EncodeMessage(reply));
  this->server->Finish(stream);
}

void Coordinator::OnReadConfiguration(StreamId stream,
                                      const std::string& body) {
  const bool held_given = !body.empty();
  const std::uint64_t held =
      held_given ? DecodeMessage<ReadConfiguration>(body).held_version : 0;
  this->group->Read([this, stream, held, held_given](bool confirmed) {
    if (confirmed) {
      SubmitConfiguration found{this->state.version(), {}};
      const bool large =
          this->state.text().size() > ConfigurationHistory::kMaxInlineBytes;
      if (found.version != held && held_given && large) {
        this->Reply(stream, ResultCode::kNotReady);
        return;
      }
      if (found.version != held) {
        found.text = this->state.text();
      }
      this->Reply(stream, ResultCode::kOk, EncodeMessage(found));
    } else {
      this->Reply(stream, ResultCode::kNotLeader);
    }
  });
}

std::size_t Coordinator::StoresLeftWithout(const std::string& name) const {
  std::size_t left = 0;
  for (const NodeReport& report : this->nodes.WithRole(NodeRole::kStore)) {
    const bool leaves = this->state.leaving().contains(report.name) ||
                        this->emptying.contains(report.name);
    left += report.name != name && !leaves ? 1 : 0;
  }
  return left;
}

/// An order that is not committed yet counts as well: of two that come together
/// each would leave enough stores, and both would leave too few.
void Coordinator::OnEmptyStore(StreamId stream, const std::string& body) {
  const auto command = DecodeMessage<EmptyStore>(body);
  if (!this->group->Leads()) {
    this->Reply(stream, ResultCode::kNotLeader);
    return;
  }
  if (this->state.leaving().contains(command.name)) {
    // Accepted before, whatever stores have been lost since.
    this->Reply(stream, ResultCode::kOk);
    return;
  }
  const bool settled = this->nodes.Settled(MonotonicNow());
  const NodeReport* report = this->nodes.Find(command.name);
  if (report == nullptr || report->Role() != NodeRole::kStore) {
    this->Reply(stream,
                settled ? ResultCode::kNotFound : ResultCode::kNotReady);
    return;
  }
  if (this->StoresLeftWithout(command.name) <
      2 * this->options.tolerated_losses + 1) {
    // Those that have not reported to a new leader yet may be there.
    this->Reply(stream,
                settled ? ResultCode::kConflict : ResultCode::kNotReady);
    return;
  }
  this->emptying.insert(command.name);
  this->group->Propose(EncodeVariant(CoordinationCommand(command)),
                       [this, stream, name = command.name](const Result& result,
                                                           const std::string&) {
                         this->emptying.erase(name);
                         this->Reply(stream, result.code);
                         this->AnswerWatchers(MonotonicNow());
                       });
}

StoreState Coordinator::StateOf(const std::string& name) const {
  StoreState found;
  found.leaving = this->state.leaving().count(name) > 0;
  const NodeReport* report = this->nodes.Find(name);
  found.known = found.leaving ||
                (report != nullptr && report->Role() == NodeRole::kStore);
  const auto stores = this->nodes.WithRole(NodeRole::kStore);
  const NodeReport* newest = NewestJobLeader(stores);
  if (found.leaving && report != nullptr && newest != nullptr) {
    found.emptied = std::ranges::find(newest->job_members, report->address) ==
                    newest->job_members.end();
  }
  return found;
}

void Coordinator::OnReadStore(StreamId stream, const std::string& body) {
  const auto query = DecodeMessage<ReadQuery>(body);
  this->group->Read([this, stream, query](bool confirmed) {
    if (!confirmed) {
      this->Reply(stream, ResultCode::kNotLeader);
      return;
    }
    this->Reply(stream, ResultCode::kOk,
                EncodeMessage(this->StateOf(query.store)));
  });
}

}  // namespace papayarack::coordination
