#include "nodes/onlinerelay.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "global/logging.h"
#include "nodes/fleetengines.h"
#include "nodes/forwarding.h"
#include "nodes/plainresponses.h"
#include "nodes/responselimits.h"
#include "placement/admission.h"

namespace papayarack::nodes {
namespace {

/// Interval of checking timeouts.
constexpr std::chrono::milliseconds kSweep{25};
/// A check later than this means that the loop stood still.
constexpr std::chrono::milliseconds kStoodStill{100};
/// Margin of the time for which an origin is kept, for the way of the caller's
/// last attempt.
constexpr std::chrono::milliseconds kOriginMargin{2000};
constexpr int kGatewayTimeout = 504;
constexpr const char* kEndsTooSoon =
    "this process ends before the request may have ended";

std::int64_t MillisSince(Time start, Time now) {
  return start == Time{} ? -1 : (now - start).count() / 1000;
}

}  // namespace

OnlineRelay::OnlineRelay(asio::io_context& context, http::HttpServer*& front,
                         transport::PeerClient& peers,
                         coordination::FleetWatch& watch,
                         const Dialect& dialect, Metrics& metrics,
                         RelayOptions options, std::uint64_t seed)
    : front(front),
      dialect(dialect),
      metrics(metrics),
      own_name(std::move(options.name)),
      own_zone(std::move(options.zone)),
      engines(context),
      crash_detector(context, watch),
      chooser(seed, options.zones),
      speed_learner(this->chooser, metrics),
      slots(peers, this->chooser, this->speed_learner, this->own_zone,
            this->SlotHandlers()),
      rejections(metrics),
      stream_origins(peers, watch, metrics, options.list_lag),
      random(seed + 1),
      sweep(context) {
  this->Sweep();
}

OnlineRelay::~OnlineRelay() { *this->alive = false; }

void OnlineRelay::SetFleet(const coordination::FleetKnowledge& fleet,
                           const routes::FleetConfiguration& configuration) {
  this->stream_origins.SetFleet(fleet, configuration, MonotonicNow());
  for (auto& [service, options] :
       OptionsByService(fleet, configuration, this->own_name, MonotonicNow())) {
    for (const placement::EngineRestart& restart :
         this->chooser.SetOptions(service, std::move(options))) {
      this->OnRestart(restart);
    }
  }
}

void OnlineRelay::SetListSeen(Time seen, Time read_after) {
  this->engines_seen = seen;
  if (read_after != Time{}) {
    this->stream_origins.ListRead(read_after);
  }
}

/// Closes idle connections to the former engine process. Its runs end with
/// their connections or by timeout: their send times cannot be compared with a
/// start time of another clock.
void OnlineRelay::OnRestart(const placement::EngineRestart& restart) {
  Log(LogLevel::kInfo, "engine_restarted",
      {{"engine", restart.now.id},
       {"before", restart.before.id},
       {"address", restart.now.address},
       {"started_ms", restart.now.started_ms},
       {"started_before_ms", restart.before.started_ms}});
  this->engines.CloseIdle(ParseEndpoint(restart.now.address, "engine"));
}

void OnlineRelay::Take(http::ExchangeId exchange, http::HttpRequest request,
                       RoutedCall routed) {
  const CallId id = ++this->last_call;
  Call call;
  call.exchange = exchange;
  call.fields = this->dialect.read_call(request.headers);
  call.request = std::move(request);
  const routes::Route& route = *routed.route;
  call.table = std::move(routed.table);
  call.route = routed.route;
  call.organisation = routed.organisation;
  std::uniform_real_distribution<double> draw(0, 1);
  this->SetService(id, call, routes::PickService(route, draw(this->random)));
  call.arrived = routed.arrived;
  const auto bound =
      std::min(route.timeout, call.fields.deadline.value_or(route.timeout));
  call.deadline = call.arrived + bound;
  if (call.fields.resume_after.has_value()) {
    call.response.ContinueAfter(*call.fields.resume_after);
  }
  this->by_exchange[exchange] = id;
  this->calls.emplace(id, std::move(call));
  this->metrics.Add("online_requests_total");
  const auto* culprit =
      this->crash_detector.FindQuarantined(this->calls.at(id).traits);
  if (culprit != nullptr) {
    this->RefuseQuarantined(id, *culprit);
    return;
  }
  if (!this->EndsInTime(this->calls.at(id), MonotonicNow())) {
    this->RefuseElsewhere(id, kEndsTooSoon);
    return;
  }
  if (IsTakeUp(this->calls.at(id).fields)) {
    this->FindOrigin(id);
  } else {
    this->FindSlot(id);
  }
}

void OnlineRelay::SetService(CallId id, Call& call,
                             const std::string& service) {
  call.service = service;
  SlotRequest wanted;
  wanted.id = call.fields.id;
  wanted.service = service;
  wanted.objectives = {call.route->target_latency, call.route->target_gap,
                       call.route->timeout};
  wanted.route_priority = call.route->priority;
  if (call.organisation != nullptr) {
    wanted.organisation = call.organisation->name;
    wanted.organisation_priority = call.organisation->priority;
  }
  this->slots.Set(id, std::move(wanted));
  const http::HttpRequest& request = call.request;
  call.traits =
      quarantine::TraitsOf({request.method, request.headers.Get("Host"),
                            request.target, request.body},
                           service, call.fields.prompt_parts);
}

bool OnlineRelay::IsTakeUp(const CallFields& fields) {
  return !fields.resumes.empty() || fields.resume_after.value_or(0) > 0;
}

void OnlineRelay::FindOrigin(CallId id) {
  Call& call = this->calls.at(id);
  call.phase = Phase::kFindingOrigin;
  call.broken_at = call.arrived;
  this->metrics.Add("streams_taken_up_total");
  Log(LogLevel::kInfo, "stream_taken_up",
      {{"request", call.fields.id},
       {"resumes", call.fields.resumes},
       {"last_event", call.response.LastEvent().value_or(0)}});
  StreamOrigins::TakeUp take_up{call.fields.id, call.fields.resumes,
                                call.table,     call.route,
                                call.arrived,   call.deadline};
  const StreamOrigins::LookupId lookup = this->stream_origins.Find(
      std::move(take_up), [this, id](const origins::Continuation& decision) {
        this->OnOrigin(id, decision);
      });
  // The origin may have been found, and the request have ended, by now.
  const auto still = this->calls.find(id);
  if (still != this->calls.end()) {
    still->second.origin_lookup = lookup;
  }
}

void OnlineRelay::OnOrigin(CallId id, const origins::Continuation& decision) {
  if (this->calls.contains(id)) {
    std::visit([this, id](const auto& result) { this->Perform(id, result); },
               decision);
  }
}

void OnlineRelay::Perform(CallId id, const origins::ContinueWith& decision) {
  Call& call = this->calls.at(id);
  call.began = decision.software;
  this->SetService(id, call, decision.software.service);
  this->slots.ContinueOnly(id, decision.software);
  const auto* culprit = this->crash_detector.FindQuarantined(call.traits);
  if (culprit != nullptr) {
    this->RefuseQuarantined(id, *culprit);
    return;
  }
  this->FindSlot(id);
}

void OnlineRelay::Perform(CallId id, const origins::OriginUnknown&) {
  this->RefuseContinuation(id, "nothing tells which version began its text",
                           "continuations_of_unknown_origin_total");
}

void OnlineRelay::Perform(CallId id, const origins::OriginNotOnRoute&) {
  this->RefuseContinuation(id, "its route left the service that began its text",
                           "continuations_without_replica_total");
}

placement::RequestTiming OnlineRelay::TimingOf(const Call& call) {
  return {call.arrived, call.deadline, call.route->target_latency,
          call.broken_at};
}

/// Chooses the next engine, or refuses the request.
void OnlineRelay::FindSlot(CallId id) {
  Call& call = this->calls.at(id);
  if (call.sends >= kMaxSends) {
    this->Refuse(id, "every engine tried said that it did not run");
    return;
  }
  call.phase = Phase::kAsking;
  this->slots.Find(id, TimingOf(call));
}

SlotFinder::Handlers OnlineRelay::SlotHandlers() {
  SlotFinder::Handlers handlers;
  handlers.on_asked = [this](CallId id, const placement::EngineOption& engine,
                             Time asked) {
    Call& call = this->calls.at(id);
    call.engine = engine;
    call.sent = asked;
  };
  handlers.on_found = [this](CallId id, const FoundSlot& found) {
    this->OnSlotFound(id, found);
  };
  handlers.on_none = [this](CallId id, const placement::NoSlot& result) {
    this->OnNoSlot(id, result);
  };
  handlers.on_restart = [this](const placement::EngineRestart& restart) {
    this->OnRestart(restart);
  };
  return handlers;
}

void OnlineRelay::OnSlotFound(CallId id, const FoundSlot& found) {
  Call& call = this->calls.at(id);
  call.engine = found.engine;
  call.service_holds_until = found.service_holds_until;
  if (found.granted && call.organisation != nullptr) {
    this->rejections.Served(MonotonicNow());
  }
  this->KeepSilentRun(id);
  this->Send(id);
}

void OnlineRelay::OnNoSlot(CallId id, const placement::NoSlot& result) {
  if (this->calls.at(id).silent_run.has_value()) {
    this->ReturnToSilentRun(id);
    return;
  }
  if (result.no_replica && this->calls.at(id).began.has_value()) {
    this->RefuseContinuation(id, result.reason,
                             "continuations_without_replica_total");
  } else {
    this->Refuse(id, result.reason);
  }
}

void OnlineRelay::Send(CallId id) {
  Call& call = this->calls.at(id);
  const std::uint64_t attempt = ++call.last_attempt;
  call.attempt = attempt;
  const Time now = MonotonicNow();
  call.phase = Phase::kRunning;
  ++call.sends;
  call.sent = now;
  call.response.BeginAttempt(call.request.body.size(), now);
  this->partial_events.Remove(id);
  call.other_replica.clear();
  call.run_survived = false;
  call.next_search = {};
  ForwardFields fields;
  fields.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.deadline - now);
  fields.engine_id = call.engine.RunningId();
  if (call.organisation != nullptr) {
    fields.organisation = call.organisation->name;
  }
  fields.resume_after = call.response.LastEvent();
  if (fields.resume_after.has_value()) {
    Log(LogLevel::kInfo, "stream_continued",
        {{"request", call.fields.id},
         {"resumes", call.fields.resumes},
         {"engine", call.engine.id},
         {"version", call.engine.software.version},
         {"began_at_version", call.began.value_or(ReplicaSoftware{}).version},
         {"last_event", *fields.resume_after},
         {"engines_age_ms", MillisSince(this->engines_seen, now)}});
  }
  http::HttpCall out = EngineCallOf(call.request, call.engine, fields,
                                    call.fields.id, this->dialect);
  http::HttpCallHandlers handlers;
  handlers.on_head = [this, id, attempt](const http::HttpHead& head) {
    this->OnHead(id, attempt, head);
  };
  handlers.on_body = [this, id, attempt](std::string_view bytes) {
    this->OnBody(id, attempt, bytes);
  };
  handlers.on_end = [this, id, attempt](http::HttpEnd end) {
    this->OnEnd(id, attempt, end);
  };
  this->chooser.Started(call.engine.address);
  this->CountZone(call);
  call.engine_call = this->engines.Call(std::move(out), std::move(handlers));
}

void OnlineRelay::OnHead(CallId id, std::uint64_t attempt,
                         const http::HttpHead& head) {
  if (!this->Concerns(id, attempt)) {
    return;
  }
  Call& call = this->calls.at(id);
  call.response.HeadArrived(head.status, MonotonicNow());
  const EngineHead engine = this->dialect.read_engine_head(head);
  if (KeepsSilentRun(call)) {
    const bool goes_on = call.response.IsSuccess() && engine.sealed;
    if (!goes_on) {
      this->EndAttemptBesideSilentRun(id, !engine.not_run);
      return;
    }
    this->EndSilentRun(id);
  }
  if (engine.not_run) {
    // Handled in OnEnd; the body is ignored.
    call.failed_status = true;
    if (engine.engine_id != call.engine.RunningId()) {
      call.other_replica = engine.engine_id;
    }
    return;
  }
  this->chooser.LearnPace(call.engine.address,
                          engine.load.value_or(EngineLoad{}).pace,
                          call.response.LastHeard());
  call.ran_at.insert(call.engine.address);
  const bool can_repeat =
      call.route->MayRepeat() && call.ran_at.size() < call.route->max_attempts;
  switch (JudgeHead(head, engine, call.head_sent, can_repeat)) {
    case HeadVerdict::kForward:
      call.response.SetEvents(false);
      this->ForwardHead(call, head);
      return;
    case HeadVerdict::kHold:
      call.response.SetEvents(true);
      call.held_head = head;
      return;
    case HeadVerdict::kHoldWhole:
      call.response.SetEvents(false);
      call.held_head = head;
      return;
    case HeadVerdict::kGoOn:
      return;
    case HeadVerdict::kIgnore:
      call.failed_status = true;
      return;
    case HeadVerdict::kBroken:
      this->OnBroken(id, "a success without the engine's mark");
      return;
  }
}

void OnlineRelay::ForwardHead(Call& call, const http::HttpHead& head) {
  call.head_sent = true;
  this->front->BeginStream(call.exchange, head.status,
                           CallerHeaders(head, call.response.IsEvents()));
}

void OnlineRelay::BeginEvents(CallId id) {
  Call& call = this->calls.at(id);
  const bool taken_up = call.began.has_value();
  if (!taken_up) {
    call.began = call.engine.software;
    this->slots.ContinueOnly(id, *call.began);
  }
  const std::string& key = taken_up ? call.fields.resumes : call.fields.id;
  if (call.route->MayRepeat() && !key.empty()) {
    const Duration patience = call.fields.deadline.value_or(
        call.route->timeout * StreamOrigins::kMaxAttemptsOfCaller);
    this->stream_origins.Began(key, *call.began, patience + kOriginMargin);
  }
  this->ForwardHead(call, *call.held_head);
  call.held_head.reset();
}

void OnlineRelay::OnBody(CallId id, std::uint64_t attempt,
                         std::string_view bytes) {
  if (!this->Concerns(id, attempt)) {
    return;
  }
  Call& call = this->calls.at(id);
  if (call.failed_status || (!call.head_sent && !call.held_head.has_value())) {
    this->IgnoreBody(id, bytes.size());
    return;
  }
  this->ForwardBody(id, bytes);
}

void OnlineRelay::ForwardBody(CallId id, std::string_view bytes) {
  Call& call = this->calls.at(id);
  const EngineResponse::BodyFault fault = call.response.AddBody(
      bytes, MonotonicNow(), [this, id, &call](std::string_view part) {
        if (call.held_head.has_value()) {
          this->BeginEvents(id);
        }
        this->front->Write(call.exchange, part);
      });
  if (call.response.run().survived) {
    this->NoteSurvival(call);
  }
  switch (fault) {
    case EngineResponse::BodyFault::kNone:
      this->PauseIfSlow(call);
      this->BoundPartialEvents(id);
      return;
    case EngineResponse::BodyFault::kOutOfOrder:
      this->OnBroken(id, "an event out of order");
      return;
    case EngineResponse::BodyFault::kUnframed:
      this->OnUnusable(id, "bytes that form no event");
      return;
    case EngineResponse::BodyFault::kEndlessFailure:
      this->OnUnusable(id, "a failure without end");
      return;
  }
}

void OnlineRelay::BoundPartialEvents(CallId id) {
  this->partial_events.Set(id, this->calls.at(id).response.HeldBytes());
  while (const auto largest =
             this->partial_events.LargestBeyond(kMaxAllUnframedBytes)) {
    this->OnUnusable(*largest, "incomplete events of all streams");
  }
}

void OnlineRelay::OnUnusable(CallId id, const char* reason) {
  this->ReturnToSilentRun(id);
  this->CutResponse(this->calls.at(id), reason);
  this->OnBroken(id, reason);
}

void OnlineRelay::PauseIfSlow(Call& call) {
  if (call.engine_call == 0 ||
      !call.response.Pause(this->front->Unsent(call.exchange))) {
    return;
  }
  this->engines.Pause(call.engine_call);
  this->metrics.Add("online_reads_paused_total");
}

bool OnlineRelay::CheckCaller(CallId id) {
  Call& call = this->calls.at(id);
  if (this->front->Stalled(call.exchange) > kMaxCallerStall) {
    Log(LogLevel::kInfo, "slow_caller_dropped",
        {{"request", call.fields.id},
         {"unsent", this->front->Unsent(call.exchange)},
         {"unsent_total", this->front->UnsentTotal()}});
    this->metrics.Add("online_callers_dropped_total");
    this->front->AbortStalled(call.exchange);
    this->Finish(id, "caller_stalled", call.response.Status());
    return false;
  }
  if (call.response.Resume(this->front->Unsent(call.exchange),
                           MonotonicNow())) {
    this->engines.Resume(call.engine_call);
  }
  return true;
}

void OnlineRelay::IgnoreBody(CallId id, std::size_t bytes) {
  Call& call = this->calls.at(id);
  if (call.response.AddIgnored(bytes)) {
    return;
  }
  this->CutResponse(call, "a refusal or failure without end");
  this->chooser.Failed(call.engine.address, MonotonicNow());
  call.other_replica.clear();
  this->EndFailed(id);
}

void OnlineRelay::CutResponse(Call& call, const char* reason) {
  Log(LogLevel::kWarn, "response_cut",
      {{"request", call.fields.id},
       {"engine", call.engine.id},
       {"address", call.engine.address},
       {"status", call.response.Status()},
       {"reason", reason}});
  this->metrics.Add("online_responses_cut_total");
  this->engines.Cancel(std::exchange(call.engine_call, 0));
}

void OnlineRelay::EndFailed(CallId id) {
  const Call& call = this->calls.at(id);
  const bool ran = call.ran_at.count(call.engine.address) > 0;
  if (ran) {
    this->OnBroken(id, "the engine failed the request");
  } else if (!this->SendToOtherReplica(id)) {
    this->Retry(id);
  }
}

void OnlineRelay::OnEnd(CallId id, std::uint64_t attempt, http::HttpEnd end) {
  if (this->LoseKeptRun(id, attempt, end) || !this->Concerns(id, attempt)) {
    return;
  }
  Call& call = this->calls.at(id);
  call.engine_call = 0;
  if (KeepsSilentRun(call)) {
    this->EndAttemptBesideSilentRun(id, end != http::HttpEnd::kNotSent);
    return;
  }
  if (end == http::HttpEnd::kNotSent) {
    this->chooser.Failed(call.engine.address, MonotonicNow());
    this->Retry(id);
    return;
  }
  if (end != http::HttpEnd::kComplete) {
    this->crash_detector.ConnectionBroke({call.fields.id, call.traits,
                                          call.engine.Start(),
                                          call.response.run().began});
    call.ran_at.insert(call.engine.address);
    this->OnBroken(id, end == http::HttpEnd::kMalformed
                           ? "the engine sent what is not an answer"
                           : "the engine's connection broke");
    return;
  }
  if (call.failed_status) {
    this->EndFailed(id);
    return;
  }
  if (call.response.EndedInsideEvent()) {
    this->crash_detector.ConnectionBroke({call.fields.id, call.traits,
                                          call.engine.Start(),
                                          call.response.run().began});
    this->OnBroken(id, "the stream ended inside an event");
    return;
  }
  if (call.response.IsSuccess()) {
    this->NoteSurvival(call);
  }
  this->chooser.Succeeded(call.engine.address);
  this->speed_learner.ResponseEnded(call.service, call.engine.address,
                                    call.sent, call.response, MonotonicNow());
  if (call.held_head.has_value()) {
    this->ForwardHead(call, *call.held_head);
  }
  if (call.response.IsSuccess()) {
    const Time now = MonotonicNow();
    this->run_durations.Add(call.route->name, now - call.sent, now);
  } else {
    this->front->Write(call.exchange, call.response.FailureBody());
  }
  this->front->EndStream(call.exchange);
  this->Finish(id, "answered", call.response.Status());
}

void OnlineRelay::CountZone(const Call& call) {
  const bool other_zone = call.engine.zone != this->own_zone;
  const Time now = MonotonicNow();
  this->chooser.CountZone(call.service, other_zone, now);
  const placement::ZonePolicy* policy = this->chooser.ZoneOf(call.service);
  const char* reason = NameOf(policy->Reason());
  if (other_zone) {
    this->metrics.Add(
        fmt::format(R"(online_other_zone_total{{reason="{}"}})", reason));
  }
  if (this->zone_changes.Due(fmt::format("{} {}", call.service, reason), now)) {
    Log(LogLevel::kInfo, "zone_policy",
        {{"service", call.service},
         {"zone", this->own_zone},
         {"reason", reason},
         {"other_zone_share", policy->Share()}});
  }
}

/// After a restart of many replicas the list shows their former ids for a
/// second, in which every request would be refused by each replica it is sent
/// to. The platform may also have given the address to another service, whose
/// replica would run a request that names it; the gate tells until when it
/// cannot have.
bool OnlineRelay::SendToOtherReplica(CallId id) {
  Call& call = this->calls.at(id);
  const Time now = MonotonicNow();
  const bool too_late = now + placement::kMinRunTime > call.deadline;
  // What has begun goes on at known software only.
  if (call.other_replica.empty() || now >= call.service_holds_until ||
      !this->slots.Holds(id) || call.began.has_value() ||
      call.sends >= kMaxSends || too_late) {
    return false;
  }
  Log(LogLevel::kInfo, "engine_id_learned",
      {{"engine", call.other_replica},
       {"listed", call.engine.id},
       {"address", call.engine.address},
       {"request", call.fields.id}});
  this->metrics.Add("engine_ids_learned_total");
  this->chooser.ObserveId(call.engine.address, call.other_replica);
  this->chooser.Ended(call.engine.address);
  call.engine.unlisted_id = call.other_replica;
  call.engine.software = {};
  call.failed_status = false;
  this->Send(id);
  return true;
}

void OnlineRelay::NoteSurvival(Call& call) {
  if (!std::exchange(call.run_survived, true)) {
    this->crash_detector.Survived(call.traits);
  }
}

void OnlineRelay::OnBroken(CallId id, const char* reason) {
  Call& call = this->calls.at(id);
  call.ran_at.insert(call.engine.address);
  this->chooser.Failed(call.engine.address, MonotonicNow());
  Log(LogLevel::kInfo, "run_broken",
      {{"request", call.fields.id},
       {"engine", call.engine.id},
       {"version", call.engine.software.version},
       {"address", call.engine.address},
       {"fingerprint", call.traits.front().id.ToString()},
       {"reason", reason},
       {"last_event", call.response.LastEvent().value_or(0)},
       {"resumable", call.route->MayRepeat()}});
  const bool attempts_left = call.ran_at.size() < call.route->max_attempts;
  // Streams can be resumed after their last event, other answers cannot.
  const bool can_go_on = !call.head_sent || call.response.IsEvents();
  if (call.route->MayRepeat() && attempts_left && can_go_on) {
    this->Retry(id);
    return;
  }
  this->Fail(id, kBadGateway, reason);
}

/// Tries another engine; those already tried are excluded.
void OnlineRelay::Retry(CallId id) {
  Call& call = this->calls.at(id);
  this->ReleaseEngine(id);
  call.failed_status = false;
  call.held_head.reset();
  if (call.began.has_value()) {
    call.broken_at = MonotonicNow();
  }
  if (MonotonicNow() + placement::kMinRunTime > call.deadline) {
    this->Fail(id, kGatewayTimeout, "too little time left for another engine");
    return;
  }
  const auto* culprit = this->crash_detector.FindQuarantined(call.traits);
  if (culprit != nullptr) {
    this->RefuseQuarantined(id, *culprit);
    return;
  }
  this->slots.Restart(id, call.engine.Start());
  this->FindSlot(id);
}

void OnlineRelay::ReleaseEngine(CallId id) {
  Call& call = this->calls.at(id);
  if (KeepsSilentRun(call)) {
    this->EndSilentRun(id);
  }
  this->ReturnToSilentRun(id);
  call.attempt = ++call.last_attempt;
  call.response.EndAttempt();
  this->partial_events.Remove(id);
  if (call.engine_call != 0) {
    this->engines.Cancel(std::exchange(call.engine_call, 0));
  }
  this->slots.Release(id);
  if (call.phase == Phase::kRunning) {
    this->chooser.Ended(call.engine.address);
    call.phase = Phase::kAsking;
  }
}

void OnlineRelay::RefuseQuarantined(CallId id,
                                    const quarantine::Trait& culprit) {
  Call& call = this->calls.at(id);
  constexpr const char* kReason = "it crashes the replicas that run it";
  Log(LogLevel::kInfo, "quarantined_request_refused",
      {{"request", call.fields.id},
       {"fingerprint", culprit.id.ToString()},
       {"part", culprit.depth != quarantine::kWholeRequestDepth},
       {"may_have_run", !call.ran_at.empty()}});
  if (!call.ran_at.empty()) {
    this->Fail(id, kBadGateway, kReason);
    return;
  }
  this->front->Respond(call.exchange, Rejections::Quarantined(kReason));
  this->Finish(id, "quarantined", kServiceUnavailable);
}

/// Refuses the request; answers "not run" only if no engine may have run it.
void OnlineRelay::Refuse(CallId id, const char* reason) {
  Call& call = this->calls.at(id);
  if (!call.ran_at.empty() || call.head_sent) {
    this->Fail(id, kBadGateway, reason);
    return;
  }
  std::uniform_real_distribution<double> draw(0, 1);
  this->front->Respond(call.exchange, this->rejections.NoSlot(
                                          this->RejectedOf(id, reason),
                                          draw(this->random), MonotonicNow()));
  this->Finish(id, "refused", kServiceUnavailable);
}

void OnlineRelay::RefuseElsewhere(CallId id, const char* reason) {
  const Call& call = this->calls.at(id);
  Log(LogLevel::kInfo, "request_refused",
      {{"request", call.fields.id},
       {"route", call.route->name},
       {"reason", reason}});
  this->metrics.Add("online_refused_by_leaving_total");
  this->front->Respond(call.exchange, ElsewhereResponse());
  this->Finish(id, "refused", kServiceUnavailable);
}

bool OnlineRelay::EndsInTime(const Call& call, Time now) {
  return !this->answer_by.has_value() ||
         EndsBefore(*this->answer_by,
                    {call.deadline, call.route->MayRepeat(),
                     this->run_durations.Longest(call.route->name, now)},
                    now);
}

void OnlineRelay::RefuseContinuation(CallId id, const char* reason,
                                     const char* metric) {
  this->metrics.Add(metric);
  Call& call = this->calls.at(id);
  if (!call.ran_at.empty() || call.head_sent) {
    this->Fail(id, kBadGateway, reason);
    return;
  }
  this->front->Respond(call.exchange, this->rejections.NoContinuation(
                                          this->RejectedOf(id, reason)));
  this->Finish(id, "refused", kServiceUnavailable);
}

RejectedRequest OnlineRelay::RejectedOf(CallId id, const char* reason) const {
  const Call& call = this->calls.at(id);
  RejectedRequest rejected;
  rejected.id = call.fields.id;
  rejected.reason = reason;
  rejected.of_organisation = call.organisation != nullptr;
  rejected.asks = this->slots.Asks(id);
  rejected.shortest_wait = this->slots.ShortestWait(id);
  rejected.budget = placement::WaitBudget(TimingOf(call), MonotonicNow());
  rejected.deadline = call.deadline;
  return rejected;
}

void OnlineRelay::Fail(CallId id, int status, const char* reason) {
  Call& call = this->calls.at(id);
  Log(LogLevel::kInfo, "request_failed",
      {{"request", call.fields.id},
       {"reason", reason},
       {"head_sent", call.head_sent},
       {"may_have_run", !call.ran_at.empty()}});
  if (call.head_sent) {
    this->front->Abort(call.exchange);
    this->Finish(id, "cut", call.response.Status());
    return;
  }
  http::HttpResponse response;
  response.status = status;
  this->front->Respond(call.exchange, response);
  this->Finish(id, "failed", status);
}

void OnlineRelay::Finish(CallId id, const char* outcome, int status) {
  Call& call = this->calls.at(id);
  const bool may_have_run =
      !call.ran_at.empty() || call.phase == Phase::kRunning;
  if (!may_have_run && call.organisation != nullptr && this->not_run) {
    this->not_run(call.organisation->name, call.arrived);
  }
  this->ReleaseEngine(id);
  this->stream_origins.Cancel(call.origin_lookup);
  const Time now = MonotonicNow();
  const Time first_event = call.response.FirstEvent();
  Log(LogLevel::kInfo, "request_done",
      {{"request", call.fields.id},
       {"route", call.route->name},
       {"organisation",
        call.organisation != nullptr ? call.organisation->name : ""},
       {"outcome", outcome},
       {"status", status},
       {"engine", call.engine.id},
       {"version", call.engine.software.version},
       {"sends", call.sends},
       {"sent_ms", MillisSince(call.arrived, call.sent)},
       {"first_ms",
        first_event == Time{} ? -1 : MillisSince(call.arrived, first_event)},
       {"total_ms", MillisSince(call.arrived, now)},
       {"config_version", call.table->configuration().version},
       {"engines_age_ms", MillisSince(this->engines_seen, now)}});
  this->metrics.Add(fmt::format("online_{}_total", outcome));
  this->metrics.Observe("online_total_seconds", ToSeconds(now - call.arrived));
  if (first_event != Time{}) {
    this->metrics.Observe("online_first_event_seconds",
                          ToSeconds(first_event - call.arrived));
  }
  this->slots.Remove(id);
  this->by_exchange.erase(call.exchange);
  this->calls.erase(id);
}

void OnlineRelay::AnswerOpen() {
  constexpr const char* kReason = "this process ends";
  for (const CallId id : this->AllIds()) {
    const Call& call = this->calls.at(id);
    if (call.head_sent) {
      continue;
    }
    if (call.ran_at.empty() && call.phase != Phase::kRunning) {
      this->RefuseElsewhere(id, kReason);
    } else {
      this->Fail(id, kGatewayTimeout, kReason);
    }
  }
}

bool OnlineRelay::CallerGone(http::ExchangeId exchange) {
  const auto found = this->by_exchange.find(exchange);
  if (found == this->by_exchange.end()) {
    return false;
  }
  this->Finish(found->second, "caller_gone", 0);
  return true;
}

void OnlineRelay::Sweep() {
  const Time due = MonotonicNow() + kSweep;
  this->sweep.expires_after(kSweep);
  this->sweep.async_wait(
      [this, due, alive = this->alive](std::error_code error) {
        if (error || !*alive) {
          return;
        }
        const Time now = MonotonicNow();
        const bool stood_still = now - due > kStoodStill;
        if (stood_still) {
          this->ExcuseSilence(now - due, now);
        }
        // What arrived meanwhile is read first, but two checks in a row are not
        // left out: deadlines hold on a loop that is always late.
        if (!stood_still || std::exchange(this->check_left_out, true)) {
          this->check_left_out = false;
          this->stream_origins.Tick();
          this->CheckAll(now);
        }
        this->Sweep();
      });
}

/// While the loop stood still, nobody was listening: that time is no silence of
/// an engine or a gate.
void OnlineRelay::ExcuseSilence(Duration time, Time now) {
  this->slots.Excuse(time, now);
  for (auto& [id, call] : this->calls) {
    call.response.Excuse(time, now);
  }
}

std::vector<OnlineRelay::CallId> OnlineRelay::AllIds() const {
  std::vector<CallId> ids;
  ids.reserve(this->calls.size());
  for (const auto& [id, call] : this->calls) {
    ids.push_back(id);
  }
  return ids;
}

void OnlineRelay::CheckAll(Time now) {
  for (const CallId id : this->AllIds()) {
    this->Check(id, now);
  }
  if (this->front != nullptr) {
    this->metrics.Set("caller_unsent_bytes",
                      static_cast<double>(this->front->UnsentTotal()));
    this->metrics.SetTotal("callers_dropped_for_memory_total",
                           this->front->ClosedForMemory());
  }
}

void OnlineRelay::Check(CallId id, Time now) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  Call& call = found->second;
  if (now >= call.deadline) {
    if (call.ran_at.empty() && call.phase != Phase::kRunning) {
      this->Refuse(id, "its time was over before a slot came free");
    } else {
      this->Fail(id, kGatewayTimeout, "its time is over");
    }
    return;
  }
  if (call.phase != Phase::kRunning) {
    if (call.ran_at.empty() && !this->EndsInTime(call, now)) {
      this->RefuseElsewhere(id, kEndsTooSoon);
      return;
    }
    this->slots.CheckReply(id, now);
    return;
  }
  if (KeepsSilentRun(call)) {
    this->CheckKeptRun(id, now);
    return;
  }
  if (call.failed_status && call.response.IgnoredTooLong(now)) {
    this->CutResponse(call, "a refusal or failure that does not end");
    this->EndFailed(id);
    return;
  }
  const bool holds_failure = call.held_head.has_value() &&
                             !call.failed_status && !call.response.IsSuccess();
  if (holds_failure && call.response.FailureTooLong(now)) {
    this->OnUnusable(id, "a failure that does not end");
    return;
  }
  if (!this->CheckCaller(id) || call.response.Paused()) {
    return;
  }
  const bool streaming = call.route->kind == routes::RouteKind::kStreaming;
  if (streaming && call.route->MayRepeat() &&
      call.response.SilentTooLong(now)) {
    this->OnSilent(id);
  }
}

}  // namespace papayarack::nodes
