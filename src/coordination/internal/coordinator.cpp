#include "coordination/coordinator.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "coordination/founders.h"
#include "global/logging.h"
#include "global/settings.h"
#include "global/variantcodec.h"

namespace papayarack::coordination {
namespace {

constexpr std::chrono::milliseconds kTick{20};
/// Membership and silent processes are looked at this often.
constexpr std::chrono::milliseconds kWorkEvery{100};
/// A watch without news is answered after this long, so that the asker knows
/// that the leader lives and the leader that the asker does.
constexpr std::chrono::milliseconds kWatchHold{1000};
/// The platform bounds and prices calls to its list, and its list lags by 0.8 s
/// itself; at this pace a draining replica is known after 1.3 s of the 3 s.
constexpr std::chrono::milliseconds kPollEvery{500};
/// The job group may take every store it is offered; the coordination group
/// takes up to this many VMs, so that more than half of them is a quorum.
constexpr std::size_t kMostCoordinators = 9;
/// How long a new leader waits for as many stores as the job group wants: all
/// processes start within 0.3 s of each other and report within 2 s.
constexpr std::chrono::milliseconds kFoundersPatience{4000};
/// A member that knows no leader answers after this long: an election after a
/// start takes 150 to 300 ms, and whoever asks again meanwhile learns nothing.
/// Not longer, as another member may know.
constexpr std::chrono::milliseconds kNoLeaderHold{150};
/// Members tell seeds that are not members who the members are this often, and
/// at once when another leads. Symptom guarded against: after all processes
/// were killed the configuration was in force 0.5 s after the start, with a
/// leader elected after 0.24 s.
constexpr std::chrono::milliseconds kAnnounceEvery{500};

}  // namespace

namespace {

/// A part of a member's state on its way to one that lags. Symptom guarded
/// against: a store of 130 MB is killed when another one joins, because its
/// whole state stands in memory once for each layer that it passes. It is
/// exported once, for all that ask, and leaves in parts.
struct StatePart {
  std::uint64_t version = 0;  ///< Of the export; zero asks for the newest.
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string bytes;
  MSGPACK_DEFINE(version, offset, total, bytes)
};

constexpr std::size_t kPartBytes = 256U << 10U;
/// An export that nobody asked for during this time is let go.
constexpr std::chrono::milliseconds kExportKept{3000};

/// The last export of a member's state.
struct ExportedOnce {
  std::uint64_t version = 0;
  std::string bytes;
  Time used{};
};

/// A state being fetched.
struct StateFetch {
  std::string address;
  std::uint64_t version = 0;
  std::string bytes;
  std::string reply;
  std::function<void(std::string)> done;
};

void FetchPart(transport::PeerClient& peers, const std::string& path,
               const std::shared_ptr<StateFetch>& fetch) {
  StatePart wanted;
  wanted.version = fetch->version;
  wanted.offset = fetch->bytes.size();
  fetch->reply.clear();
  transport::CallHandlers handlers;
  handlers.on_message = [fetch](std::string message) {
    fetch->reply = std::move(message);
  };
  handlers.on_end = [&peers, path, fetch](transport::CallEnd) {
    StatePart part;
    try {
      part = DecodeMessage<StatePart>(fetch->reply);
    } catch (const ResultError&) {
      fetch->done({});  // The member is gone; the leader offers again.
      return;
    }
    if (part.version != fetch->version) {
      fetch->bytes.clear();  // Another export than before: begin again.
      fetch->version = part.version;
    }
    if (part.offset != fetch->bytes.size() || part.bytes.empty()) {
      fetch->done({});
      return;
    }
    fetch->bytes.reserve(part.total);
    fetch->bytes += part.bytes;
    if (fetch->bytes.size() >= part.total) {
      fetch->done(std::move(fetch->bytes));
    } else {
      FetchPart(peers, path, fetch);
    }
  };
  peers.Call(ParseEndpoint(fetch->address, "member"), path,
             EncodeMessage(wanted), std::move(handlers));
}

void ServeState(const std::string& path, transport::PeerServer*& server,
                transport::PeerDispatch& dispatch,
                std::unique_ptr<replication::ReplicatedGroup>& group) {
  const auto exported = std::make_shared<ExportedOnce>();
  dispatch.On(path, [&server, &group, exported](transport::StreamId stream,
                                                const std::string& body) {
    if (group == nullptr) {
      server->Finish(stream);
      return;
    }
    auto part = DecodeMessage<StatePart>(body);
    const Time now = MonotonicNow();
    const bool known = part.version == exported->version && part.version != 0 &&
                       part.offset < exported->bytes.size();
    const bool fresh =
        !exported->bytes.empty() && now - exported->used < kExportKept;
    if (!known && !(part.version == 0 && fresh)) {
      exported->bytes = {};
      exported->bytes = group->ExportState();
      ++exported->version;
    }
    if (!known) {
      part.offset = 0;
    }
    exported->used = now;
    part.version = exported->version;
    part.total = exported->bytes.size();
    part.bytes = exported->bytes.substr(part.offset, kPartBytes);
    const bool last = part.offset + part.bytes.size() >= part.total;
    server->Send(stream, EncodeMessage(part));
    server->Finish(stream);
    if (last) {
      exported->bytes = {};
    }
  });
}

}  // namespace

replication::GroupEnvironment MakeGroupEnvironment(
    asio::io_context& context, consensus::GroupId group_id,
    const std::string& own_address, transport::PeerClient& peers,
    transport::PeerServer*& server, transport::PeerDispatch& dispatch,
    std::unique_ptr<replication::ReplicatedGroup>& group,
    std::function<void(const std::string&)> storage_failed) {
  const std::string message_path = fmt::format("/group/{}/message", group_id);
  const std::string state_path = fmt::format("/group/{}/state", group_id);
  dispatch.On(message_path,
              [&](transport::StreamId stream, const std::string& body) {
                server->Finish(stream);
                // A store hears of the group before it was told to found or
                // join it.
                if (group != nullptr) {
                  group->Step(body);
                }
              });
  ServeState(state_path, server, dispatch, group);
  replication::GroupEnvironment environment;
  environment.own_address = own_address;
  environment.send = [&peers, message_path](const std::string& address,
                                            std::string message) {
    peers.Call(ParseEndpoint(address, "member"), message_path,
               std::move(message), {});
  };
  environment.fetch_state = [&peers, state_path](
                                const std::string& address,
                                const std::function<void(std::string)>& done) {
    const auto fetch = std::make_shared<StateFetch>();
    fetch->address = address;
    fetch->done = done;
    FetchPart(peers, state_path, fetch);
  };
  environment.post = [&context](std::function<void()> work) {
    asio::post(context, std::move(work));
  };
  environment.now = [] { return MonotonicNow(); };
  environment.storage_failed = std::move(storage_failed);
  return environment;
}

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
  replicated.import_files = [](std::string_view exported) {
    return std::string(exported);
  };
  replicated.load = [this](std::string_view bytes) { this->state.Load(bytes); };
  auto environment = MakeGroupEnvironment(
      context, kCoordinationGroup, options.address, peers, server, dispatch,
      this->group, std::move(storage_failed));
  this->group = std::make_unique<replication::ReplicatedGroup>(
      files, raft, replication::GroupLimits{}, std::move(replicated),
      std::move(environment));
  this->Register(dispatch);
  this->Tick();
}

Coordinator::~Coordinator() { *this->alive = false; }

void Coordinator::Register(transport::PeerDispatch& dispatch) {
  dispatch.On("/coordination/watch",
              [this](StreamId stream, const std::string& body) {
                this->OnWatch(stream, body);
              });
  dispatch.On("/coordination/submit",
              [this](StreamId stream, const std::string& body) {
                this->OnSubmit(stream, body);
              });
  dispatch.On("/coordination/read",
              [this](StreamId stream, const std::string&) {
                this->OnReadConfiguration(stream);
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
}

void Coordinator::Tick() {
  this->timer.expires_after(kTick);
  this->timer.async_wait([this, alive = this->alive](std::error_code error) {
    if (error || !*alive) {
      return;
    }
    this->group->Tick();
    this->Work(MonotonicNow());
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
  this->next_announcement = now + kAnnounceEvery;
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
    this->led_term = 0;
    this->AnswerWatchers(now);
    return;
  }
  if (this->led_term != this->group->term()) {
    this->OnTerm(now);
  }
  if (now >= this->next_work) {
    this->next_work = now + kWorkEvery;
    this->nodes.DropSilent(now);
    this->group->Heal(
        CoordinationCandidates(this->nodes.WithRole(NodeRole::kEntry),
                               this->options.has_disk),
        {}, {2 * this->options.losses_borne + 1, kMostCoordinators});
    this->FoundJobGroupWhenReady(now);
  }
  this->PollEngines(now);
  this->AnswerWatchers(now);
}

/// A new leader knows nobody: everyone reports anew.
void Coordinator::OnTerm(Time now) {
  this->led_term = this->group->term();
  this->led_since = now;
  this->nodes.Clear(now);
  this->founding = false;
  ++this->engines_revision;
}

/// Exactly one job group is ever formed: its founders are one entry of this
/// group's log, and a store that is not named there only ever joins.
void Coordinator::FoundJobGroupWhenReady(Time now) {
  if (this->founding || !this->state.job_founders().members.empty()) {
    return;
  }
  const std::vector<NodeReport> stores = this->nodes.WithRole(NodeRole::kStore);
  const std::optional<consensus::MemberList> founders =
      ChooseFounders(stores, 2 * this->options.losses_borne + 1,
                     now - this->led_since >= kFoundersPatience);
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
  this->next_poll = now + kPollEvery;
  this->list_engines([this, alive = this->alive](
                         std::optional<std::vector<EngineInstance>> list) {
    if (!*alive) {
      return;
    }
    this->poll_under_way = false;
    if (!list.has_value()) {
      return;
    }
    this->engines_seen = MonotonicNow();
    if (*list != this->engines) {
      this->engines = std::move(*list);
      ++this->engines_revision;
      this->AnswerWatchers(MonotonicNow());
    }
  });
}

bool Coordinator::KnowsOtherLeader() const {
  const std::string leader = this->group->LeaderAddress();
  // Elected, but the entries of earlier terms are not committed yet.
  const bool soon_itself = leader == this->options.address;
  return !soon_itself &&
         !(leader.empty() && this->options.hint().leader.empty());
}

bool Coordinator::Differs(const WatchRequest& request) const {
  return request.config_version < this->state.version() ||
         request.term != this->group->term() ||
         request.nodes_revision != this->nodes.revision() ||
         request.engines_revision != this->engines_revision;
}

WatchReply Coordinator::MakeReply(const WatchRequest& request) const {
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
  const Time now = MonotonicNow();
  const bool new_term = request.term != this->group->term();
  reply.term = this->group->term();
  reply.config_version = this->state.version();
  if (request.config_version < this->state.version()) {
    reply.config = this->state.text();
  }
  reply.nodes_revision = this->nodes.revision();
  reply.nodes_settled = this->nodes.Settled(now);
  if (new_term || request.nodes_revision != reply.nodes_revision) {
    reply.has_nodes = true;
    reply.nodes = this->nodes.For(request.self.Role());
  }
  reply.engines_revision = this->engines_revision;
  const bool known = this->engines_seen != Time{};
  reply.engines_age_ms = static_cast<std::uint32_t>(
      known ? (now - this->engines_seen).count() / 1000 : kEnginesNeverRead);
  if (known &&
      (new_term || request.engines_revision != reply.engines_revision)) {
    reply.has_engines = true;
    reply.engines = this->engines;
  }
  reply.job_founders = this->state.job_founders();
  reply.leaving.assign(this->state.leaving().begin(),
                       this->state.leaving().end());
  return reply;
}

void Coordinator::OnWatch(StreamId stream, const std::string& body) {
  const auto request = DecodeMessage<WatchRequest>(body);
  const Time now = MonotonicNow();
  if (this->group->Leads()) {
    if (this->led_term != this->group->term()) {
      this->OnTerm(now);
    }
    this->nodes.Take(request.self, now);
  }
  this->watchers[stream] = {request, now};
  if (!this->group->Leads() || request.config_version < this->state.version() ||
      request.term != this->group->term()) {
    this->AnswerWatchers(now);
  }
}

/// Called at each tick: changes that come together leave in one answer.
void Coordinator::AnswerWatchers(Time now) {
  for (auto watcher = this->watchers.begin();
       watcher != this->watchers.end();) {
    const auto& [stream, waiting] = *watcher;
    const bool no_news =
        this->group->Leads()
            ? now - waiting.since < kWatchHold &&
                  !this->Differs(waiting.request)
            : now - waiting.since < kNoLeaderHold && !this->KnowsOtherLeader();
    if (no_news) {
      ++watcher;
      continue;
    }
    this->server->Send(stream, EncodeMessage(this->MakeReply(waiting.request)));
    this->server->Finish(stream);
    watcher = this->watchers.erase(watcher);
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

void Coordinator::ProposeAndReply(StreamId stream,
                                  const CoordinationCommand& command) {
  this->group->Propose(
      EncodeVariant(command),
      [this, stream](const Result& result, const std::string&) {
        this->Reply(stream, result.code);
        this->AnswerWatchers(MonotonicNow());
      });
}

void Coordinator::OnSubmit(StreamId stream, const std::string& body) {
  const auto command = DecodeMessage<SubmitConfiguration>(body);
  if (command.version > this->state.version()) {
    this->ProposeAndReply(stream, command);
    return;
  }
  // Overtaken: acknowledged without an entry, once this member is known to
  // lead still.
  this->group->Read([this, stream](bool confirmed) {
    this->Reply(stream, confirmed ? ResultCode::kOk : ResultCode::kNotLeader);
  });
}

void Coordinator::OnReadConfiguration(StreamId stream) {
  this->group->Read([this, stream](bool confirmed) {
    if (confirmed) {
      SubmitConfiguration found{this->state.version(), this->state.text()};
      this->Reply(stream, ResultCode::kOk, EncodeMessage(found));
    } else {
      this->Reply(stream, ResultCode::kNotLeader);
    }
  });
}

std::size_t Coordinator::StoresLeftWithout(const std::string& name) const {
  std::size_t left = 0;
  for (const NodeReport& report : this->nodes.WithRole(NodeRole::kStore)) {
    const bool leaves = this->state.leaving().count(report.name) > 0;
    left += report.name != name && !leaves ? 1 : 0;
  }
  return left;
}

void Coordinator::OnEmptyStore(StreamId stream, const std::string& body) {
  const auto command = DecodeMessage<EmptyStore>(body);
  if (!this->group->Leads()) {
    this->Reply(stream, ResultCode::kNotLeader);
    return;
  }
  const NodeReport* report = this->nodes.Find(command.name);
  const bool known = report != nullptr && report->Role() == NodeRole::kStore;
  if (!known && this->state.leaving().count(command.name) == 0) {
    this->Reply(stream, this->nodes.Settled(MonotonicNow())
                            ? ResultCode::kNotFound
                            : ResultCode::kNotReady);
    return;
  }
  if (this->StoresLeftWithout(command.name) <
      2 * this->options.losses_borne + 1) {
    this->Reply(stream, ResultCode::kConflict);
    return;
  }
  this->ProposeAndReply(stream, command);
}

StoreState Coordinator::StateOf(const std::string& name) const {
  StoreState found;
  found.leaving = this->state.leaving().count(name) > 0;
  const NodeReport* report = this->nodes.Find(name);
  found.known = found.leaving ||
                (report != nullptr && report->Role() == NodeRole::kStore);
  // The job group's own leader says who its members are; the highest term is
  // the newest word.
  const NodeReport* newest = nullptr;
  const auto stores = this->nodes.WithRole(NodeRole::kStore);
  for (const NodeReport& store : stores) {
    if (!store.job_members.empty() &&
        (newest == nullptr || store.job_term > newest->job_term)) {
      newest = &store;
    }
  }
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
