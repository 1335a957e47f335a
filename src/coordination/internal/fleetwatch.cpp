#include "coordination/fleetwatch.h"

#include <algorithm>
#include <utility>

#include "coordination/changelist.h"
#include "global/logging.h"
#include "global/settings.h"

namespace papayarack::coordination {
namespace {

/// Time without a reply after which another member is tried. The leader answers
/// a watch after 1 s at most; an election takes 0.6 to 1.2 s.
constexpr std::chrono::milliseconds kAnswerTime{1600};
/// An older confirmation is asked for at once; in calm one comes each second.
constexpr std::chrono::milliseconds kConfirmationAge{1500};
constexpr std::chrono::milliseconds kPause{40};
constexpr int kMaxPauses = 5;

std::chrono::milliseconds RetryDelay(std::size_t failures) {
  return kPause * std::min(static_cast<int>(failures), kMaxPauses);
}

/// Rounded up; zero if `time` has passed.
std::uint32_t MillisUntil(Time time) {
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(time - MonotonicNow());
  return static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 0));
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

void FleetWatch::Start() { this->SendWatch(); }

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
    return LocalText{this->known.config, &this->index};
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
    this->ResendWatch();
  }
}

void FleetWatch::SetJobMembers(std::vector<std::string> members,
                               std::uint64_t job_term) {
  if (this->self.job_members == members && this->self.job_term == job_term) {
    return;
  }
  this->self.job_members = std::move(members);
  this->self.job_term = job_term;
  this->ResendWatch();
}

void FleetWatch::ResendWatch() {
  this->peers.Cancel(this->call);
  this->SendWatch();
}

void FleetWatch::SendWatch() {
  const std::uint64_t number = ++this->round;
  this->target = this->leader_search.Next();
  if (this->target.empty()) {
    this->RetryAfter(kPause);
    return;
  }
  WatchRequest request;
  request.self = this->self;
  request.config_version = this->text_unusable ? 0 : this->known.config_version;
  request.term = this->term;
  request.nodes_revision = this->nodes_revision;
  request.engines_revision = this->engines_revision;
  this->requested_engines_revision = this->engines_revision;
  request.takes_changes = true;
  request.applies_changes = true;
  request.applies_reserves = true;
  request.fetching_from = this->fetch.source();
  request.fetching_version = this->fetch.version();
  this->crash_reports.AddTo(request, MonotonicNow());
  request.wants_confirmation =
      MonotonicNow() - this->known.confirmed > kConfirmationAge;
  this->wants_engines = this->wanted_reading > this->known.engines_read_after;
  request.wants_engines = this->wants_engines;
  request.engines_wanted_in_ms = MillisUntil(this->wanted_reading);
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
      this->RetryAfter(RetryDelay(this->failures));
    }
  };
  this->sent = MonotonicNow();
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
      this->SendWatch();
    }
  });
}

void FleetWatch::RetryAfter(std::chrono::milliseconds wait) {
  const std::uint64_t number = ++this->round;
  this->timer.expires_after(wait);
  this->timer.async_wait(
      [this, number, alive = this->alive](std::error_code error) {
        if (!error && *alive && this->round == number) {
          this->SendWatch();
        }
      });
}

void FleetWatch::OnReply(const std::string& message) {
  WatchReply reply;
  try {
    reply = DecodeMessage<WatchReply>(message);
  } catch (const ResultError& error) {
    Log(LogLevel::kWarn, "watch_reply_unreadable", {{"text", error.what()}});
    this->RetryAfter(kPause);
    return;
  }
  if (!reply.members.empty()) {
    this->leader_search.SetMembers(reply.members);
  }
  if (static_cast<ResultCode>(reply.code) != ResultCode::kOk) {
    this->leader_search.Refused(this->target, reply.leader);
    const bool hint = !this->leader_search.leader().empty();
    ++this->failures;
    this->RetryAfter(hint && this->failures < 3 ? std::chrono::milliseconds(0)
                                                : RetryDelay(this->failures));
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
  // The first list is a change even if it names the same processes.
  change.nodes = reply.hosts_known && !this->known.hosts_known;
  this->known.hosts_known |= reply.hosts_known;
  change.config = this->TakeConfiguration(reply);
  this->TakeConfirmation(reply);
  if (this->term != reply.term) {
    // Revisions are counted by each leader from its own start. One of an
    // earlier leader cannot be compared, even if it happens to be equal.
    this->engines_revision = 0;
  }
  this->crash_reports.Answered(reply, MonotonicNow());
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
  this->handles_reply = true;
  this->changed(change);
  this->handles_reply = false;
  this->SendWatch();
}

void FleetWatch::WantEngines(Time read_after) {
  const bool fulfilled = this->known.engines_read_after >= this->wanted_reading;
  const bool sooner = fulfilled || read_after < this->wanted_reading;
  if (sooner) {
    this->wanted_reading = read_after;
  }
  // A request that wants a later reading is answered too late.
  if (!this->handles_reply && (sooner || !this->wants_engines)) {
    this->ResendWatch();
  }
}

/// Returns true if the text in force changed. Never goes back to an older
/// version, which a leader elected on an older log could send.
bool FleetWatch::TakeConfiguration(const WatchReply& reply) {
  if (reply.config_version <= this->known.config_version) {
    return false;
  }
  if (!reply.config.empty()) {
    this->ApplyConfiguration(SplitText(reply.config_version, reply.config),
                             reply.config);
    return true;
  }
  if (reply.manifest.version <= this->known.config_version) {
    return false;
  }
  std::optional<std::string> text =
      this->fetch.Prepare(reply.manifest, this->known.config, reply.chunks);
  if (text.has_value()) {
    this->ApplyConfiguration(reply.manifest, std::move(*text));
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

/// Counts from when the watch was sent, not from the reply's arrival: a reply
/// of a leader that stood still, or that was cut off meanwhile, may be old.
void FleetWatch::TakeConfirmation(const WatchReply& reply) {
  const bool has_newest = this->known.config_version >= reply.config_version;
  if (reply.is_confirmed && has_newest) {
    const Time confirmed =
        this->sent + std::chrono::milliseconds(reply.confirmed_after_ms);
    this->known.confirmed = std::max<Time>(this->known.confirmed, confirmed);
  }
}

/// Requests the full text next. This happens if the process has another text
/// under a version than the leader (a group that was founded again), so that
/// the few chunks it was sent do not complete the text. Without this it would
/// repeat the same request thousands of times a second.
void FleetWatch::OnChunksUnusable(std::uint64_t version) {
  Log(LogLevel::kWarn, "configuration_chunks_unusable",
      {{"address", this->target},
       {"config_version", version},
       {"held_version", this->known.config_version}});
  this->text_unusable = true;
}

void FleetWatch::ApplyConfiguration(const TextManifest& manifest,
                                    std::string text) {
  this->text_unusable = false;
  this->known.config_version = manifest.version;
  this->known.config = std::move(text);
  this->index = ChunkIndex(manifest);
}

/// Informs the leader at once: a process with the text can serve others, and
/// one whose source failed needs another.
void FleetWatch::OnFetched(std::optional<std::string> text) {
  if (!text.has_value()) {
    this->peers.Cancel(this->call);
    this->RetryAfter(RetryDelay(++this->fetch_failures));
    return;
  }
  this->fetch_failures = 0;
  if (this->fetch.version() > this->known.config_version) {
    this->ApplyConfiguration(this->fetch.manifest(), std::move(*text));
    FleetChange change;
    change.config = true;
    this->changed(change);
  }
  this->ResendWatch();
}

/// Until a new leader's table is settled it only adds and replaces. Otherwise
/// every gate would be missing briefly after a change of leader, as the new one
/// has no report from it yet.
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

/// Changes only apply to the list that the request named; this process may have
/// read the platform's list meanwhile.
bool FleetWatch::EnginesUsable(const WatchReply& reply) const {
  const bool other_base =
      this->engines_revision != this->requested_engines_revision;
  const bool whole = reply.has_engines && !reply.engines_partial;
  return reply.engines_age_ms != kEnginesNeverRead && (!other_base || whole);
}

/// Counts from when the watch was sent, like TakeConfirmation.
void FleetWatch::TakeListReading(const WatchReply& reply) {
  if (reply.has_engines_read) {
    const Time read =
        this->sent + std::chrono::milliseconds(reply.engines_read_after_ms);
    this->known.engines_read_after =
        std::max<Time>(this->known.engines_read_after, read);
  }
}

/// Returns true if the list changed.
bool FleetWatch::TakeEngineChanges(const WatchReply& reply) {
  if (!this->EnginesUsable(reply)) {
    return false;
  }
  this->TakeListReading(reply);
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

void FleetWatch::ReportCrashes(std::vector<ReplicaCrash> crashes) {
  for (ReplicaCrash& crash : crashes) {
    this->crash_reports.Crashed(std::move(crash.replica),
                                std::move(crash.traits), crash.when);
  }
  this->ResendWatch();
}

/// A survival that ends no quarantine goes with the next watch, within a
/// second: after each crash, every part of the prompts that ran there survives
/// soon.
void FleetWatch::ReportSurvival(const quarantine::Fingerprint& trait) {
  const bool ends_quarantine = this->crash_reports.Quarantined(trait);
  this->crash_reports.Survived(trait, MonotonicNow());
  if (ends_quarantine) {
    this->ResendWatch();
  }
}

void FleetWatch::SetAway() {
  this->self.away = true;
  this->ResendWatch();
}

std::int64_t FleetWatch::ListAgeMs() const {
  return this->known.heard == Time{}
             ? -1
             : (MonotonicNow() - this->known.heard).count() / 1000;
}

void FleetWatch::TakeEngines(std::vector<EngineInstance> engines, Time begun) {
  this->known.engines_seen = MonotonicNow();
  this->known.engines_read_after =
      std::max<Time>(this->known.engines_read_after, begun);
  FleetChange change;
  change.engines = this->known.engines != engines;
  if (change.engines) {
    this->known.engines = std::move(engines);
    this->engines_revision = 0;
  }
  this->changed(change);
}

}  // namespace papayarack::coordination
