#include "coordination/fleetwatch.h"

#include <algorithm>
#include <utility>

#include "coordination/changelist.h"
#include "global/logging.h"
#include "global/settings.h"

namespace papayarack::coordination {
namespace {

/// The leader holds a watch for 1 s; without an answer for this long the
/// process asks another member. An election takes 0.6 to 1.2 s.
constexpr std::chrono::milliseconds kAnswerTime{1600};
constexpr std::chrono::milliseconds kPause{40};
constexpr int kMostPauses = 5;

std::chrono::milliseconds PauseAfter(std::size_t failures) {
  return kPause * std::min(static_cast<int>(failures), kMostPauses);
}

}  // namespace

FleetWatch::FleetWatch(asio::io_context& context, transport::PeerClient& peers,
                       NodeReport self, std::vector<std::string> seeds,
                       Changed changed)
    : peers(peers),
      self(std::move(self)),
      changed(std::move(changed)),
      fetch(context, peers),
      timer(context) {
  this->leader_search.SetSeeds(std::move(seeds));
}

FleetWatch::~FleetWatch() { *this->alive = false; }

void FleetWatch::Start() { this->Ask(); }

void FleetWatch::ServeHints(transport::PeerServer*& server,
                            transport::PeerDispatch& dispatch,
                            bool serve_watch) {
  dispatch.On(
      "/coordination/announce",
      [this, &server](transport::StreamId stream, const std::string& body) {
        server->Finish(stream);
        this->OnAnnounced(DecodeMessage<AnnounceMembers>(body));
      });
  if (!serve_watch) {
    return;
  }
  ServeChunks(server, dispatch, [this] {
    return HeldText{this->known.config, &this->index};
  });
  dispatch.On("/coordination/watch",
              [this, &server](transport::StreamId stream, const std::string&) {
                WatchReply reply;
                reply.code = static_cast<int>(ResultCode::kNotLeader);
                reply.leader = this->leader_search.leader();
                reply.members = this->leader_search.members();
                server->Send(stream, EncodeMessage(reply));
                server->Finish(stream);
              });
}

void FleetWatch::OnAnnounced(const AnnounceMembers& announced) {
  if (announced.members.empty()) {
    return;
  }
  this->leader_search.SetMembers(announced.members);
  const bool searching = this->failures > 0 || this->known.heard == Time{};
  if (searching && !announced.leader.empty() &&
      this->leader_search.leader() != announced.leader) {
    this->leader_search.Found(announced.leader);
    this->AskAnew();
  }
}

void FleetWatch::SetJobMembers(std::vector<std::string> members,
                               std::uint64_t job_term) {
  if (this->self.job_members == members && this->self.job_term == job_term) {
    return;
  }
  this->self.job_members = std::move(members);
  this->self.job_term = job_term;
  this->AskAnew();
}

void FleetWatch::AskAnew() {
  this->peers.Cancel(this->call);
  this->Ask();
}

void FleetWatch::Ask() {
  const std::uint64_t number = ++this->round;
  this->target = this->leader_search.Next();
  if (this->target.empty()) {
    this->Again(kPause);
    return;
  }
  WatchRequest request;
  request.self = this->self;
  request.config_version = this->text_unusable ? 0 : this->known.config_version;
  request.term = this->term;
  request.nodes_revision = this->nodes_revision;
  request.engines_revision = this->engines_revision;
  this->engines_asked = this->engines_revision;
  request.takes_changes = true;
  request.applies_changes = true;
  request.fetching_from = this->fetch.source();
  request.fetching_version = this->fetch.version();
  this->crash_reports.AddTo(request, MonotonicNow());
  const auto current = [this, number, alive = this->alive] {
    return *alive && this->round == number;
  };
  transport::CallHandlers handlers;
  handlers.on_message = [this, current](const std::string& message) {
    if (current()) {
      this->OnReply(message);
    }
  };
  handlers.on_end = [this, current](transport::CallEnd) {
    if (current()) {
      ++this->failures;
      this->leader_search.Lost(this->target);
      this->Again(PauseAfter(this->failures));
    }
  };
  this->call = this->peers.Call(ParseEndpoint(this->target, "member"),
                                "/coordination/watch", EncodeMessage(request),
                                std::move(handlers));
  this->timer.expires_after(kAnswerTime);
  this->timer.async_wait([this, current](std::error_code error) {
    if (!error && current()) {
      Log(LogLevel::kInfo, "watch_unanswered",
          {{"address", this->target},
           {"config_version", this->known.config_version},
           {"failures", this->failures + 1}});
      this->peers.Cancel(this->call);
      ++this->failures;
      this->leader_search.Lost(this->target);
      this->Ask();
    }
  });
}

void FleetWatch::Again(std::chrono::milliseconds wait) {
  const std::uint64_t number = ++this->round;
  this->timer.expires_after(wait);
  this->timer.async_wait(
      [this, number, alive = this->alive](std::error_code error) {
        if (!error && *alive && this->round == number) {
          this->Ask();
        }
      });
}

void FleetWatch::OnReply(const std::string& message) {
  WatchReply reply;
  try {
    reply = DecodeMessage<WatchReply>(message);
  } catch (const ResultError& error) {
    Log(LogLevel::kWarn, "watch_reply_unreadable", {{"text", error.what()}});
    this->Again(kPause);
    return;
  }
  if (!reply.members.empty()) {
    this->leader_search.SetMembers(reply.members);
  }
  if (static_cast<ResultCode>(reply.code) != ResultCode::kOk) {
    this->leader_search.Refused(this->target, reply.leader);
    const bool hint = !this->leader_search.leader().empty();
    ++this->failures;
    this->Again(hint && this->failures < 3 ? std::chrono::milliseconds(0)
                                           : PauseAfter(this->failures));
    return;
  }
  if (this->failures > 0 || this->term != reply.term) {
    Log(LogLevel::kInfo, "coordination_leader_found",
        {{"address", this->target},
         {"term", reply.term},
         {"silent_ms",
          this->known.heard == Time{}
              ? 0
              : (MonotonicNow() - this->known.heard).count() / 1000}});
  }
  this->failures = 0;
  this->leader_search.Found(this->target);
  this->known.heard = MonotonicNow();
  this->known.job_founders = reply.job_founders;
  this->known.leaving = reply.leaving;
  this->known.entries = reply.entries;
  FleetChange change;
  // The first list of hosts is a change, also where it names the same ones.
  change.nodes = reply.names_hosts && !this->known.names_hosts;
  this->known.names_hosts |= reply.names_hosts;
  change.config = this->TakeConfiguration(reply);
  if (this->term != reply.term) {
    // Another leader counts its changes from its own start: a revision of the
    // one before says nothing, whether it is lower, higher or by chance equal.
    this->engines_revision = 0;
  }
  this->crash_reports.Answered(reply);
  this->term = reply.term;
  if (reply.has_nodes) {
    this->TakeNodes(reply);
    change.nodes = true;
  }
  this->nodes_revision = reply.nodes_revision;
  if (reply.engines_age_ms != kEnginesNeverRead) {
    this->known.engines_seen =
        MonotonicNow() - std::chrono::milliseconds(reply.engines_age_ms);
  }
  change.engines = this->TakeEngineChanges(reply);
  this->changed(change);
  this->Ask();
}

/// True when the text in force changed. Never back: a leader that was elected
/// on an older log could still answer with less than what this process has
/// already obeyed.
bool FleetWatch::TakeConfiguration(const WatchReply& reply) {
  if (reply.config_version <= this->known.config_version) {
    return false;
  }
  if (!reply.config.empty()) {
    this->Obey(SplitText(reply.config_version, reply.config), reply.config);
    return true;
  }
  if (reply.manifest.version <= this->known.config_version) {
    return false;
  }
  std::optional<std::string> text =
      this->fetch.Prepare(reply.manifest, this->known.config, reply.chunks);
  if (text.has_value()) {
    this->Obey(reply.manifest, std::move(*text));
    return true;
  }
  if (reply.source.empty()) {
    this->OnChunksUnusable(reply.manifest.version);
    return false;
  }
  this->fetch.Start(reply.source, [this](std::optional<std::string> fetched) {
    this->OnFetched(std::move(fetched));
  });
  return false;
}

/// Symptom guarded against: a process asks the leader thousands of times a
/// second. It holds another text under a version than the leader does (a group
/// that was founded anew), so the few chunks that it was sent do not complete
/// it, and each answer brings the same again.
void FleetWatch::OnChunksUnusable(std::uint64_t version) {
  Log(LogLevel::kWarn, "configuration_chunks_unusable",
      {{"address", this->target},
       {"config_version", version},
       {"held_version", this->known.config_version}});
  this->text_unusable = true;
}

void FleetWatch::Obey(const TextManifest& manifest, std::string text) {
  this->text_unusable = false;
  this->known.config_version = manifest.version;
  this->known.config = std::move(text);
  this->index = ChunkIndex(manifest);
}

/// The leader hears of it at once: whoever holds the text can give it to
/// others, and one whose source failed needs another.
void FleetWatch::OnFetched(std::optional<std::string> text) {
  if (!text.has_value()) {
    this->peers.Cancel(this->call);
    this->Again(PauseAfter(++this->fetch_failures));
    return;
  }
  this->fetch_failures = 0;
  if (this->fetch.version() > this->known.config_version) {
    this->Obey(this->fetch.manifest(), std::move(*text));
    FleetChange change;
    change.config = true;
    this->changed(change);
  }
  this->AskAnew();
}

/// Symptom guarded against: after a change of leader every gate is gone for a
/// moment, because the new leader has not heard from them yet. Until its table
/// is settled it only adds and replaces.
void FleetWatch::TakeNodes(const WatchReply& reply) {
  ListChanges<NodeReport> changes;
  changes.whole = reply.nodes_settled && !reply.nodes_partial;
  changes.set = reply.nodes;
  if (reply.nodes_settled) {
    changes.removed = reply.nodes_removed;
  }
  ApplyChanges(this->known.nodes, changes,
               [](const NodeReport& report) { return report.name; });
}

/// True when the list changed. Changes are of use only to the list that this
/// process had when it asked: in between it may have read the list by itself.
bool FleetWatch::TakeEngineChanges(const WatchReply& reply) {
  const bool other_base = this->engines_revision != this->engines_asked;
  const bool whole = reply.has_engines && !reply.engines_partial;
  if (reply.engines_age_ms == kEnginesNeverRead || (other_base && !whole)) {
    return false;
  }
  this->engines_revision = reply.engines_revision;
  if (!reply.has_engines) {
    return false;
  }
  ListChanges<EngineInstance> changes;
  changes.whole = !reply.engines_partial;
  changes.set = reply.engines;
  changes.removed = reply.engines_removed;
  ApplyChanges(this->known.engines, changes,
               [](const EngineInstance& engine) { return engine.Key(); });
  return true;
}

void FleetWatch::ReportCrash(const quarantine::Fingerprint& request,
                             std::string replica) {
  this->crash_reports.Crashed(request, std::move(replica), MonotonicNow());
  this->AskAnew();
}

void FleetWatch::ReportSurvival(const quarantine::Fingerprint& request) {
  this->crash_reports.Survived(request, MonotonicNow());
  this->AskAnew();
}

void FleetWatch::SetAway() {
  this->self.away = true;
  this->AskAnew();
}

std::int64_t FleetWatch::ListAgeMs() const {
  return this->known.heard == Time{}
             ? -1
             : (MonotonicNow() - this->known.heard).count() / 1000;
}

void FleetWatch::TakeEngines(std::vector<EngineInstance> engines) {
  this->known.engines_seen = MonotonicNow();
  if (this->known.engines == engines) {
    return;
  }
  this->known.engines = std::move(engines);
  this->engines_revision = 0;
  FleetChange change;
  change.engines = true;
  this->changed(change);
}

}  // namespace papayarack::coordination
