#include "gate/gateserver.h"

#include <algorithm>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "control/controlclient.h"
#include "documents/servicedocument.h"
#include "gate/gatecore.h"
#include "gate/gateprotocol.h"
#include "gate/internal/batchitemtracker.h"
#include "gate/internal/replaybuffer.h"
#include "gate/upstreamclient.h"
#include "global/boundedring.h"
#include "global/jsonschema.h"
#include "global/logging.h"
#include "global/variantcodec.h"
#include "transport/peerclient.h"
#include "transport/peerserver.h"

namespace papayarack::gate {
namespace {

constexpr std::size_t kMaxQueuedEvents = 65536;
constexpr std::size_t kWorkers = 96;
constexpr std::chrono::milliseconds kTickInterval{5};
constexpr std::chrono::milliseconds kProbeInterval{250};
constexpr std::chrono::milliseconds kControlTimeout{4000};
constexpr std::chrono::milliseconds kEmptyPullDelay{150};
constexpr Duration kReadTimeout = std::chrono::seconds(8);
/// How long an answer is kept for an entry that lost its connection.
constexpr Duration kReattachTimeout = std::chrono::seconds(4);
constexpr int kHttpOk = 200;

struct PeerRequest {
  transport::StreamId stream = 0;
  std::string path;
  std::string body;
};
struct PeerDisconnected {
  transport::StreamId stream = 0;
};
struct UpstreamHead {
  WorkId id = 0;
  int status = 0;
  std::string content_type;
};
struct UpstreamBytes {
  WorkId id = 0;
  std::string bytes;
};
struct UpstreamEnded {
  WorkId id = 0;
  UpstreamEnd end = UpstreamEnd::kBroken;
  std::string reason;
};
struct PullFinished {
  std::size_t reported = 0;
  std::optional<statemachine::LeaseReply>
      reply;  ///< Empty: control did not answer.
};
struct DocumentsArrived {
  std::uint64_t revision = 0;
  std::vector<documents::AcceptedDocument> changes;
};
struct ProbeResult {
  bool up = false;
};
struct DumpRequested {
  std::shared_ptr<std::promise<nlohmann::json>> answer;
};
struct LeaveRequested {};

using Event =
    std::variant<PeerRequest, PeerDisconnected, UpstreamHead, UpstreamBytes,
                 UpstreamEnded, PullFinished, DocumentsArrived, ProbeResult,
                 DumpRequested, LeaveRequested>;

/// An online request at this gate.
struct OnlineState {
  OnlineRequest request;
  ReplayBuffer out;
  AnswerAssembler answer;
  std::string content_type;
  int status = 0;
  bool engine = false;
  Time deadline{};
  Time arrived{};
  Time detached_at{};  ///< When its stream was lost; zero while attached.
  Time finished_at{};  ///< When it ended; kept for a late reattachment.
  bool first_token_seen = false;
};

}  // namespace

struct GateServer::Impl {
  Impl(const Settings& settings, std::size_t upstream_index, Metrics& metrics)
      : settings(settings),
        upstream_settings(settings.upstreams.at(upstream_index)),
        metrics(metrics),
        name(settings.role == "solo"
                 ? settings.name + "-side-" + std::to_string(upstream_index)
                 : settings.name),
        incarnation(static_cast<std::uint64_t>(WallNow())),
        events(kMaxQueuedEvents),
        pulls(2),
        control(client, settings.control),
        core(MakeOptions(nullptr), MonotonicNow()),
        batch_items(name, incarnation, upstream_settings.service,
                    settings.lease.count()) {
    UpstreamHandlers handlers;
    handlers.on_head = [this](WorkId id, int status, std::string content_type) {
      this->events.Push(UpstreamHead{id, status, std::move(content_type)});
    };
    handlers.on_bytes = [this](WorkId id, std::string bytes) {
      this->events.Push(UpstreamBytes{id, std::move(bytes)});
    };
    handlers.on_end = [this](WorkId id, UpstreamEnd end, std::string reason) {
      this->events.Push(UpstreamEnded{id, end, std::move(reason)});
    };
    this->upstream = std::make_unique<UpstreamClient>(
        ParseEndpoint(this->upstream_settings.address, "/upstreams/address"),
        kWorkers, std::move(handlers));
    transport::PeerServerHandlers peer;
    peer.on_request = [this](transport::StreamId stream, std::string_view path,
                             std::string body) {
      if (!this->events.TryPush(
              PeerRequest{stream, std::string(path), std::move(body)})) {
        this->RefuseStream(
            stream,
            {ResultCode::kOverloaded, "the gate has too much to do", {}});
      }
    };
    peer.on_cancel = [this](transport::StreamId stream) {
      this->events.TryPush(PeerDisconnected{stream});
    };
    this->server = std::make_unique<transport::PeerServer>(
        ParseEndpoint(this->upstream_settings.gate_listen,
                      "/upstreams/gate_listen"),
        std::move(peer));
    this->event_thread = std::thread([this] { this->EventLoop(); });
    this->heartbeat_thread = std::thread([this] { this->HeartbeatLoop(); });
    this->pull_thread = std::thread([this] { this->PullLoop(); });
    this->probe_thread = std::thread([this] { this->ProbeLoop(); });
  }

  ~Impl() {
    this->stopping = true;
    this->pulls.Close();
    this->heartbeat_thread.join();
    this->pull_thread.join();
    this->probe_thread.join();
    this->events.Close();
    this->event_thread.join();
    this->upstream.reset();
    this->server.reset();
  }

  GateOptions MakeOptions(const documents::ServiceDocument* document) const {
    GateOptions options;
    options.learns = this->upstream_settings.kind == "engine";
    if (document != nullptr) {
      options.max_queue = document->max_queue;
      options.learns = options.learns && document->learn_limit;
      options.limit.max_concurrent =
          std::min<std::uint32_t>(document->max_concurrent, kWorkers - 16);
      const documents::WorkKind* work =
          document->FindWork("", documents::WorkClass::kOnline);
      if (work != nullptr) {
        options.limit.between_tokens = work->between_tokens;
      }
    }
    return options;
  }

  // --- Event loop thread

  void EventLoop() {
    while (!this->events.Closed()) {
      for (Event& event : this->events.PopAll(kTickInterval)) {
        std::visit([this](auto& body) { this->On(body); }, event);
      }
      const Time now = MonotonicNow();
      this->Execute(this->core.Tick(now));
      this->SweepOnline(now);
      this->MaybePull(now);
      this->PublishState();
    }
  }

  void Execute(const std::vector<GateAction>& actions) {
    for (const GateAction& action : actions) {
      std::visit(
          Overloaded{[this](const StartWork& start) { this->Start(start.id); },
                     [this](const PreemptBatch& preempt) {
                       this->metrics.Add("batch_preemptions_total");
                       this->batch_items.MarkPreempted(preempt.id);
                       this->upstream->Cancel(preempt.id);
                     },
                     [this](const RefuseOnline& refuse) {
                       this->RefuseOnlineWork(refuse.id, refuse.result);
                     }},
          action);
    }
  }

  void Start(WorkId id) {
    UpstreamCall call;
    const auto online = this->online.find(id);
    if (online != this->online.end()) {
      call = this->MakeOnlineCall(id, online->second);
    } else if (this->batch_items.Contains(id)) {
      call = this->batch_items.MakeCall(id, kReadTimeout);
    }
    if (call.id == 0 || !this->upstream->Start(std::move(call))) {
      this->events.TryPush(
          UpstreamEnded{id, UpstreamEnd::kUnstarted, "no worker is free"});
    }
  }

  UpstreamCall MakeOnlineCall(WorkId id, const OnlineState& state) const {
    UpstreamCall call;
    call.id = id;
    call.request_id =
        state.request.id + "-" + std::to_string(state.request.attempt);
    call.method = state.request.method;
    call.target = state.request.target;
    call.content_type = state.request.content_type;
    call.body = state.request.body;
    call.read_timeout = kReadTimeout;
    if (state.engine) {
      // Always requests a stream from the engine, as the gate needs it to count
      // tokens and to detect a complete answer.
      nlohmann::json body = nlohmann::json::parse(call.body, nullptr, false);
      if (body.is_object()) {
        body["stream"] = true;
        call.body = body.dump();
      }
    }
    return call;
  }

  void RefuseStream(transport::StreamId stream, const Result& result) {
    Refused refused{static_cast<int>(result.code), result.text,
                    result.retry_after.count(), this->service_revision};
    this->server->Send(stream, EncodeVariant(GateMessage(refused)));
    this->server->Finish(stream);
  }

  void RefuseOnlineWork(WorkId id, const Result& result) {
    const auto found = this->online.find(id);
    if (found == this->online.end()) {
      return;
    }
    this->metrics.Add("online_refused_total");
    if (found->second.out.Attached()) {
      this->RefuseStream(found->second.out.Stream(), result);
    }
    this->Erase(found);
  }

  void Erase(std::map<WorkId, OnlineState>::iterator found) {
    this->by_request.erase(
        {found->second.request.id, found->second.request.attempt});
    this->by_stream.erase(found->second.out.Stream());
    this->online.erase(found);
  }

  void On(PeerRequest& peer) {
    try {
      if (peer.path == path::kOnline) {
        this->OnOnline(peer);
      } else if (peer.path == path::kCancel) {
        this->OnCancel(DecodeMessage<CancelRequest>(peer.body));
        this->server->Finish(peer.stream);
      } else {
        throw ResultError(ResultCode::kProtocol,
                          "unknown request " + peer.path);
      }
    } catch (const ResultError& error) {
      this->RefuseStream(peer.stream, error.result());
    }
  }

  void OnOnline(const PeerRequest& peer) {
    auto request = DecodeMessage<OnlineRequest>(peer.body);
    const auto known = this->by_request.find({request.id, request.attempt});
    if (known != this->by_request.end()) {
      // The entry lost its connection to this gate: resumes the same attempt
      // instead of running it again.
      OnlineState& state = this->online.at(known->second);
      this->by_stream.erase(state.out.Stream());
      state.out.Attach(peer.stream, request.received_messages);
      state.detached_at = {};
      this->by_stream[peer.stream] = known->second;
      return;
    }
    if (request.resume_only) {
      throw ResultError(ResultCode::kUnknownOutcome,
                        "this gate does not know the request");
    }
    this->RequireAcceptable(request);
    const Time now = MonotonicNow();
    const WorkId id = ++this->last_id;
    const Time deadline = now + std::chrono::milliseconds(request.deadline_ms);
    this->by_request[{request.id, request.attempt}] = id;
    this->by_stream[peer.stream] = id;
    OnlineState state{std::move(request),
                      ReplayBuffer(*this->server, peer.stream),
                      {},
                      {},
                      0,
                      this->upstream_settings.kind == "engine",
                      deadline,
                      now,
                      {},
                      {},
                      false};
    const OnlineWork work{id, state.request.caller, deadline,
                          this->UrgencyOf(state.request.work)};
    this->online.emplace(id, std::move(state));
    this->metrics.Add("online_requests_total");
    this->Execute(this->core.Online(work, now));
  }

  void RequireAcceptable(const OnlineRequest& request) const {
    if (request.version != kMessageVersion) {
      throw ResultError(ResultCode::kProtocol,
                        "the entry speaks another message version");
    }
    if (!this->ready) {
      throw ResultError(ResultCode::kNotReady,
                        "the gate has not confirmed its documents");
    }
    if (request.service != this->upstream_settings.service) {
      throw ResultError(ResultCode::kNoUpstream,
                        "this gate serves another service");
    }
    // A request that was routed by an older document must not run under a newer
    // one.
    if (request.revision < this->service_revision) {
      throw ResultError(ResultCode::kStaleRevision,
                        "a newer document is in force");
    }
  }

  std::uint32_t UrgencyOf(std::string_view work) const {
    for (std::size_t i = 0; i < this->document.work.size(); ++i) {
      if (this->document.work[i].name == work) {
        return static_cast<std::uint32_t>(i);
      }
    }
    return static_cast<std::uint32_t>(this->document.work.size());
  }

  void OnCancel(const CancelRequest& cancel) {
    const auto known = this->by_request.find({cancel.id, cancel.attempt});
    if (known != this->by_request.end()) {
      this->DropOnline(known->second);
    }
  }

  void DropOnline(WorkId id) {
    if (this->core.Drop(id)) {
      this->upstream->Cancel(id);
    }
    const auto found = this->online.find(id);
    if (found != this->online.end()) {
      this->Erase(found);
    }
  }

  void On(const PeerDisconnected& disconnected) {
    const auto found = this->by_stream.find(disconnected.stream);
    if (found == this->by_stream.end()) {
      return;
    }
    OnlineState& state = this->online.at(found->second);
    state.out.Detach();
    state.detached_at = MonotonicNow();
    this->by_stream.erase(found);
  }

  /// Drops answers that no entry resumed in time, and ends requests past their
  /// deadline.
  void SweepOnline(Time now) {
    std::vector<WorkId> expired;
    for (auto& [id, state] : this->online) {
      const bool abandoned = state.detached_at != Time{} &&
                             now - state.detached_at > kReattachTimeout;
      const bool over = state.finished_at != Time{} &&
                        now - state.finished_at > kReattachTimeout;
      const bool late = state.finished_at == Time{} && now >= state.deadline;
      if (abandoned || over) {
        expired.push_back(id);
      } else if (late) {
        // This request is running: waiting ones were refused by GateCore::Tick.
        this->EndOnline(state, ResultCode::kDeadlineWhileRunning,
                        "the deadline passed");
        this->StopRunning(id);
      }
    }
    for (const WorkId id : expired) {
      this->DropOnline(id);
    }
  }

  void StopRunning(WorkId id) {
    if (this->core.Drop(id)) {
      this->upstream->Cancel(id);
    }
  }

  void EndOnline(OnlineState& state, ResultCode code, const std::string& text) {
    if (state.out.Finished()) {
      return;
    }
    state.out.Send(
        EncodeVariant(GateMessage(AnswerEnd{static_cast<int>(code), text})));
    state.out.Finish();
    state.finished_at = MonotonicNow();
  }

  void On(const UpstreamHead& head) {
    this->batch_items.OnHead(head.id, head.status);
    const auto found = this->online.find(head.id);
    if (found == this->online.end()) {
      return;
    }
    OnlineState& state = found->second;
    state.status = head.status;
    state.content_type = head.content_type;
    const bool assembled =
        state.engine && !state.request.stream && head.status == kHttpOk;
    if (!assembled) {
      state.out.Send(EncodeVariant(
          GateMessage(AnswerHead{head.status, head.content_type})));
    }
  }

  void On(const UpstreamBytes& bytes) {
    const Time now = MonotonicNow();
    std::size_t tokens = 0;
    const auto found = this->online.find(bytes.id);
    try {
      if (found != this->online.end()) {
        tokens = this->OnOnlineBytes(found->second, bytes.bytes, now);
      } else {
        tokens = this->batch_items.OnBytes(bytes.id, bytes.bytes);
        this->metrics.Add("batch_tokens_total", tokens);
      }
    } catch (const ResultError& error) {
      this->upstream->Cancel(bytes.id);
    }
    for (std::size_t i = 0; i < tokens; ++i) {
      this->Execute(this->core.Token(bytes.id, now));
    }
  }

  std::size_t OnOnlineBytes(OnlineState& state, const std::string& bytes,
                            Time now) {
    if (state.out.Finished()) {
      return 0;
    }
    const bool events = state.engine && state.status == kHttpOk;
    const std::size_t tokens = events ? state.answer.Add(bytes) : 0;
    if (!events || state.request.stream) {
      state.out.Send(EncodeVariant(GateMessage(AnswerBytes{bytes})));
    }
    if (tokens > 0 && !std::exchange(state.first_token_seen, true)) {
      this->metrics.Observe("online_first_token_seconds",
                            ToSeconds(now - state.arrived));
    }
    this->metrics.Add("online_tokens_total", tokens);
    return tokens;
  }

  void On(const UpstreamEnded& ended) {
    // A refused connection marks the upstream as down at once. Otherwise items
    // are pulled and returned hundreds of times a second until the next probe
    // fails.
    if (ended.end == UpstreamEnd::kNotSent) {
      this->On(ProbeResult{false});
    }
    const auto found = this->online.find(ended.id);
    if (found != this->online.end()) {
      this->FinishOnline(found, ended);
    } else if (this->batch_items.Contains(ended.id) &&
               this->batch_items.OnEnd(ended.id, ended.end, ended.reason)) {
      this->Execute(this->core.Ended(ended.id, MonotonicNow()));
      this->Execute(
          this->core.Batch({ended.id, MonotonicNow()}, MonotonicNow()));
      return;
    }
    this->Execute(this->core.Ended(ended.id, MonotonicNow()));
  }

  void FinishOnline(std::map<WorkId, OnlineState>::iterator found,
                    const UpstreamEnded& ended) {
    OnlineState& state = found->second;
    const bool not_run = ended.end == UpstreamEnd::kNotSent ||
                         ended.end == UpstreamEnd::kUnstarted;
    if (not_run && state.status == 0) {
      this->RefuseOnlineWork(found->first, {ResultCode::kNoUpstream,
                                            ended.reason, kProbeInterval});
      return;
    }
    const bool events = state.engine && state.status == kHttpOk;
    const bool whole = ended.end == UpstreamEnd::kComplete &&
                       (!events || state.answer.Whole());
    if (!whole) {
      this->metrics.Add("online_cut_total");
      this->EndOnline(state, ResultCode::kUpstreamFailed,
                      ended.reason.empty()
                          ? "the answer ended before it was whole"
                          : ended.reason);
      return;
    }
    if (events && !state.request.stream) {
      state.out.Send(EncodeVariant(
          GateMessage(AnswerHead{state.status, "application/json"})));
      state.out.Send(EncodeVariant(
          GateMessage(AnswerBytes{state.answer.Assemble().dump()})));
    }
    this->EndOnline(state, ResultCode::kOk, {});
  }

  // --- Batch

  void MaybePull(Time now) {
    if (this->pull_in_flight) {
      return;
    }
    const std::size_t wanted = this->ready && !this->leaving &&
                                       this->upstream_settings.kind == "engine"
                                   ? this->core.BatchWanted(now)
                                   : 0;
    const Duration since = now - this->last_pull;
    const bool report = this->batch_items.Unreported() > 0 &&
                        since > std::chrono::milliseconds(10);
    const bool work_expected = !this->last_pull_empty || this->batch_work_known;
    const bool request_items =
        wanted > 0 && work_expected &&
        (!this->last_pull_empty || since > kEmptyPullDelay);
    const bool renew =
        this->batch_items.Count() > 0 && since > this->settings.lease / 4;
    if (!report && !request_items && !renew) {
      return;
    }
    this->pull_in_flight = this->pulls.TryPush(this->batch_items.MakePull(
        static_cast<std::uint32_t>(request_items || report ? wanted : 0)));
    this->last_pull = now;
  }

  void On(PullFinished& finished) {
    this->pull_in_flight = false;
    if (!finished.reply.has_value()) {
      return;  // The outcomes are kept and reported again.
    }
    this->batch_items.Reported(finished.reported);
    this->metrics.Add("batch_outcomes_total", finished.reported);
    const Time now = MonotonicNow();
    for (const jobs::ItemKey& key : finished.reply->stop) {
      if (const auto id = this->batch_items.Find(key)) {
        this->batch_items.Remove(*id);
        this->StopRunning(*id);
      }
    }
    this->last_pull_empty = finished.reply->items.empty();
    for (const jobs::LeasedItem& item : finished.reply->items) {
      const WorkId id = ++this->last_id;
      if (!this->batch_items.Add(id, item)) {
        continue;
      }
      if (this->leaving) {
        this->batch_items.Return(id);
      } else {
        this->Execute(this->core.Batch({id, now}, now));
      }
    }
  }

  void On(const DocumentsArrived& arrived) {
    this->revision = std::max(this->revision, arrived.revision);
    for (const documents::AcceptedDocument& accepted : arrived.changes) {
      const bool ours = accepted.service == this->upstream_settings.service;
      // Replies may arrive out of order; an older document must not replace a
      // newer one.
      if (!ours || accepted.revision <= this->service_revision) {
        continue;
      }
      try {
        this->document =
            documents::ParseDocument(ParseJson(accepted.text, "document"));
        this->service_revision = accepted.revision;
        this->core.SetOptions(this->MakeOptions(&this->document));
        Log(LogLevel::kInfo, "document_in_force",
            {{"service", accepted.service},
             {"version", accepted.version},
             {"revision", accepted.revision}});
      } catch (const ResultError& error) {
        Log(LogLevel::kError, "document_unreadable",
            {{"reason", error.what()}});
      }
    }
    this->ready = true;
  }

  void On(const ProbeResult& probe) {
    if (probe.up != this->upstream_up) {
      this->upstream_up = probe.up;
      Log(LogLevel::kWarn, probe.up ? "upstream_up" : "upstream_down",
          {{"address", this->upstream_settings.address}});
      if (!probe.up) {
        this->batch_items.DropTexts();
      }
      this->Execute(this->core.SetUpstreamUp(probe.up, MonotonicNow()));
    }
  }

  void On(const LeaveRequested&) {
    this->leaving = true;
    this->core.BeginLeave();
    for (const WorkId id : this->batch_items.All()) {
      this->batch_items.Return(id);
      this->StopRunning(id);
    }
    Log(LogLevel::kInfo, "leaving", {{"online", this->online.size()}});
  }

  void On(const DumpRequested& wanted) {
    wanted.answer->set_value(this->BuildDump());
  }

  /// Publishes the state of the event loop thread to other threads.
  void PublishState() {
    std::size_t open = 0;
    for (const auto& [id, state] : this->online) {
      open += state.finished_at == Time{} ? 1 : 0;
    }
    this->drained = this->leaving && open == 0 &&
                    this->batch_items.Count() == 0 &&
                    this->batch_items.Unreported() == 0;
    const std::lock_guard lock(this->report_mutex);
    this->report.name = this->name;
    this->report.role = "side";
    this->report.zone = this->settings.zone;
    this->report.service = this->upstream_settings.service;
    this->report.kind = this->upstream_settings.kind;
    this->report.address = this->upstream_settings.gate_listen;
    this->report.incarnation = this->incarnation;
    this->report.revision = this->revision;
    // Not set when only the upstream is down, as it may recover.
    this->report.leaving = this->leaving;
    this->report.running =
        static_cast<std::uint32_t>(this->core.RunningOnline());
    this->report.limit = static_cast<std::uint32_t>(this->core.OnlineLimit());
    this->report.shared_limit =
        static_cast<std::uint32_t>(this->core.SharedLimit());
    this->report.waiting =
        static_cast<std::uint32_t>(this->core.WaitingOnline());
  }

  nlohmann::json BuildDump() {
    nlohmann::json requests = nlohmann::json::array();
    const Time now = MonotonicNow();
    for (const auto& [id, state] : this->online) {
      requests.push_back({{"id", state.request.id},
                          {"attempt", state.request.attempt},
                          {"caller", state.request.caller},
                          {"age_ms", ToSeconds(now - state.arrived) * 1000},
                          {"tokens", state.answer.Tokens()},
                          {"over", state.finished_at != Time{}}});
    }
    return {
        {"role", "side"},
        {"name", this->name},
        {"service", this->upstream_settings.service},
        {"upstream", this->upstream_settings.address},
        {"upstream_up", this->upstream_up},
        {"leaving", this->leaving.load()},
        {"ready", this->ready.load()},
        {"revision", this->revision},
        {"service_revision", this->service_revision.load()},
        {"service_version", this->document.version},
        {"control_quiet_ms", ToSeconds(now - this->last_control.load()) * 1000},
        {"running_online", this->core.RunningOnline()},
        {"running_batch", this->core.RunningBatch()},
        {"waiting_online", this->core.WaitingOnline()},
        {"waiting_batch", this->core.WaitingBatch()},
        {"online_limit", this->core.OnlineLimit()},
        {"shared_limit", this->core.SharedLimit()},
        {"items_held", this->batch_items.Count()},
        {"outcomes_unreported", this->batch_items.Unreported()},
        {"tokens_kept_over_preemptions", this->batch_items.tokens_kept()},
        {"requests", requests}};
  }

  // --- Threads that block on the network

  void HeartbeatLoop() {
    std::uint64_t known = 0;
    while (!this->stopping) {
      try {
        if (!this->ready) {
          const auto reply =
              this->control.Ask(control::QueryChanges{0}, kControlTimeout);
          control::RequireOk(reply);
          auto body = DecodeMessage<control::ChangesReply>(reply.body);
          known = body.revision;
          this->events.Push(
              DocumentsArrived{body.revision, std::move(body.changes)});
        }
        control::Heartbeat heartbeat;
        {
          const std::lock_guard lock(this->report_mutex);
          heartbeat.report = this->report;
        }
        const auto reply =
            this->control.SendHeartbeat(heartbeat, kControlTimeout);
        control::RequireOk(reply);
        auto body = DecodeMessage<control::HeartbeatReply>(reply.body);
        this->last_control = MonotonicNow();
        this->batch_work_known = body.has_batch_work;
        if (body.documents.revision > known) {
          known = body.documents.revision;
          this->events.Push(DocumentsArrived{
              body.documents.revision, std::move(body.documents.changes)});
        }
      } catch (const ResultError& error) {
        Log(LogLevel::kDebug, "heartbeat_failed", {{"reason", error.what()}});
      }
      this->SleepUntilHeartbeat();
    }
  }

  /// Waits until the next heartbeat is due. Returns early when the gate starts
  /// to leave, so that this is reported at once.
  void SleepUntilHeartbeat() {
    constexpr std::chrono::milliseconds kStep{20};
    const bool was_leaving = this->leaving;
    for (Duration slept{0}; slept < this->settings.heartbeat; slept += kStep) {
      if (this->stopping || this->leaving != was_leaving) {
        return;
      }
      std::this_thread::sleep_for(kStep);
    }
  }

  void PullLoop() {
    while (true) {
      const auto pull = this->pulls.Pop(std::chrono::milliseconds(200));
      if (!pull.has_value()) {
        if (this->pulls.Closed()) {
          return;
        }
        continue;
      }
      PullFinished finished;
      finished.reported = pull->outcomes.size();
      try {
        const auto reply = this->control.Run(*pull, kControlTimeout);
        control::RequireOk(reply);
        finished.reply = DecodeMessage<statemachine::LeaseReply>(reply.body);
      } catch (const ResultError& error) {
        Log(LogLevel::kWarn, "pull_failed", {{"reason", error.what()}});
      }
      this->events.Push(std::move(finished));
    }
  }

  void ProbeLoop() {
    while (!this->stopping) {
      this->events.TryPush(ProbeResult{this->upstream->Healthy()});
      std::this_thread::sleep_for(kProbeInterval);
    }
  }

  Settings settings;
  UpstreamSettings upstream_settings;
  Metrics& metrics;
  std::string name;
  std::uint64_t incarnation;
  BoundedRing<Event> events;
  BoundedRing<statemachine::PullItems> pulls;
  transport::PeerClient client;
  control::ControlClient control;
  std::unique_ptr<UpstreamClient> upstream;
  std::unique_ptr<transport::PeerServer> server;
  GateCore core;
  BatchItemTracker batch_items;
  documents::ServiceDocument document;
  std::map<WorkId, OnlineState> online;
  std::map<std::pair<std::string, std::uint32_t>, WorkId> by_request;
  std::map<transport::StreamId, WorkId> by_stream;
  WorkId last_id = 0;
  std::uint64_t revision = 0;
  std::atomic<std::uint64_t> service_revision = 0;
  std::atomic<bool> ready = false;
  std::atomic<bool> leaving = false;
  std::atomic<bool> drained = false;
  std::atomic<bool> batch_work_known = false;
  std::atomic<bool> stopping = false;
  std::atomic<Time> last_control = Time{};
  bool upstream_up = true;
  bool pull_in_flight = false;
  bool last_pull_empty = true;
  Time last_pull{};
  std::mutex report_mutex;
  fleet::ProcessReport report;
  std::thread event_thread;
  std::thread heartbeat_thread;
  std::thread pull_thread;
  std::thread probe_thread;
};

GateServer::GateServer(const Settings& settings, std::size_t upstream,
                       Metrics& metrics)
    : impl(std::make_unique<Impl>(settings, upstream, metrics)) {}

GateServer::~GateServer() = default;

void GateServer::BeginLeave() { this->impl->events.TryPush(LeaveRequested{}); }

bool GateServer::Drained() const { return this->impl->drained; }

nlohmann::json GateServer::Dump() const {
  constexpr std::chrono::seconds kPatience{2};
  auto answer = std::make_shared<std::promise<nlohmann::json>>();
  std::future<nlohmann::json> future = answer->get_future();
  if (!this->impl->events.TryPush(DumpRequested{answer}) ||
      future.wait_for(kPatience) != std::future_status::ready) {
    return {{"role", "side"}, {"error", "the deciding thread did not answer"}};
  }
  return future.get();
}

bool GateServer::Healthy() const {
  return this->impl->ready && !this->impl->leaving;
}

}  // namespace papayarack::gate
