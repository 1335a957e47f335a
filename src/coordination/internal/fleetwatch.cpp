#include "coordination/fleetwatch.h"

#include <algorithm>
#include <utility>

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
      seeds(std::move(seeds)),
      changed(std::move(changed)),
      timer(context) {}

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
  dispatch.On("/coordination/watch",
              [this, &server](transport::StreamId stream, const std::string&) {
                WatchReply reply;
                reply.code = static_cast<int>(ResultCode::kNotLeader);
                reply.leader = this->known.leader;
                reply.members = this->known.members;
                server->Send(stream, EncodeMessage(reply));
                server->Finish(stream);
              });
}

void FleetWatch::OnAnnounced(const AnnounceMembers& announced) {
  if (announced.members.empty()) {
    return;
  }
  this->known.members = announced.members;
  const bool searching = this->failures > 0 || this->known.heard == Time{};
  if (searching && !announced.leader.empty() &&
      this->known.leader != announced.leader) {
    this->known.leader = announced.leader;
    this->peers.Cancel(this->call);
    this->Ask();
  }
}

void FleetWatch::SetFallbacks(std::vector<std::string> addresses) {
  this->fallbacks = std::move(addresses);
}

void FleetWatch::SetSeeds(std::vector<std::string> replacement) {
  this->seeds = std::move(replacement);
}

void FleetWatch::SetJobMembers(std::vector<std::string> members,
                               std::uint64_t job_term) {
  if (this->self.job_members == members && this->self.job_term == job_term) {
    return;
  }
  this->self.job_members = std::move(members);
  this->self.job_term = job_term;
  this->peers.Cancel(this->call);
  this->Ask();
}

std::vector<std::string> FleetWatch::MembersAndSeeds() const {
  std::vector<std::string> targets = this->known.members;
  for (const std::string& address : this->seeds) {
    if (std::ranges::find(targets, address) == targets.end()) {
      targets.push_back(address);
    }
  }
  return targets;
}

std::vector<std::string> FleetWatch::Targets() const {
  std::vector<std::string> targets = this->MembersAndSeeds();
  for (const std::string& address : this->fallbacks) {
    if (std::ranges::find(targets, address) == targets.end()) {
      targets.push_back(address);
    }
  }
  return targets;
}

std::string FleetWatch::NextTarget() {
  if (!this->known.leader.empty()) {
    return this->known.leader;
  }
  const std::vector<std::string> first = this->MembersAndSeeds();
  const std::size_t turn = this->rotation++;
  const bool fallback_turn = turn % 2 == 1 || first.empty();
  if (!this->fallbacks.empty() && fallback_turn) {
    return this->fallbacks[this->fallback_rotation++ % this->fallbacks.size()];
  }
  if (first.empty()) {
    return {};
  }
  return first[(this->fallbacks.empty() ? turn : turn / 2) % first.size()];
}

void FleetWatch::Ask() {
  const std::uint64_t number = ++this->round;
  this->target = this->NextTarget();
  if (this->target.empty()) {
    this->Again(kPause);
    return;
  }
  WatchRequest request;
  request.self = this->self;
  request.config_version = this->known.config_version;
  request.term = this->term;
  request.nodes_revision = this->nodes_revision;
  request.engines_revision = this->engines_revision;
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
      this->known.leader.clear();
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
      this->known.leader.clear();
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
    this->known.members = reply.members;
  }
  if (static_cast<ResultCode>(reply.code) != ResultCode::kOk) {
    const bool hint = !reply.leader.empty() && reply.leader != this->target;
    this->known.leader = hint ? reply.leader : std::string();
    ++this->failures;
    this->Again(hint && this->failures < 3 ? std::chrono::milliseconds(0)
                                           : PauseAfter(this->failures));
    return;
  }
  if (this->known.leader != this->target || this->term != reply.term) {
    Log(LogLevel::kInfo, "coordination_leader_found",
        {{"address", this->target},
         {"term", reply.term},
         {"silent_ms",
          this->known.heard == Time{}
              ? 0
              : (MonotonicNow() - this->known.heard).count() / 1000}});
  }
  this->failures = 0;
  this->known.leader = this->target;
  this->known.heard = MonotonicNow();
  this->known.job_founders = reply.job_founders;
  this->known.leaving = reply.leaving;
  FleetChange change;
  // Never back: a leader that was elected on an older log could still answer
  // with less than what this process has already obeyed.
  if (reply.config_version > this->known.config_version &&
      !reply.config.empty()) {
    this->known.config_version = reply.config_version;
    this->known.config = reply.config;
    change.config = true;
  }
  this->term = reply.term;
  if (reply.has_nodes) {
    this->TakeNodes(reply);
    this->nodes_revision = reply.nodes_revision;
    change.nodes = true;
  }
  if (reply.engines_age_ms != kEnginesNeverRead) {
    this->known.engines_seen =
        MonotonicNow() - std::chrono::milliseconds(reply.engines_age_ms);
  }
  if (reply.has_engines) {
    this->known.engines = reply.engines;
    this->engines_revision = reply.engines_revision;
    change.engines = true;
  }
  this->changed(change);
  this->Ask();
}

/// Symptom guarded against: after a change of leader every gate is gone for a
/// moment, because the new leader has not heard from them yet. Until its table
/// is settled it only adds and replaces.
void FleetWatch::TakeNodes(const WatchReply& reply) {
  if (reply.nodes_settled) {
    this->known.nodes = reply.nodes;
    return;
  }
  for (const NodeReport& report : reply.nodes) {
    const auto found =
        std::ranges::find(this->known.nodes, report.name, &NodeReport::name);
    if (found != this->known.nodes.end()) {
      *found = report;
    } else {
      this->known.nodes.push_back(report);
    }
  }
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
