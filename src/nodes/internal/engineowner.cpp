#include "nodes/engineowner.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "global/hash.h"
#include "global/logging.h"
#include "nodes/fleetengines.h"
#include "nodes/responselimits.h"
#include "placement/enginestart.h"

namespace papayarack::nodes {
namespace {

/// Interval of load reports on the same VM.
constexpr std::chrono::milliseconds kLocalReportInterval{100};
/// The same from another VM, where each report costs the engine a network call.
constexpr std::chrono::milliseconds kRemoteReportInterval{1000};
/// The same while runs of other processes use the engine, to detect their end.
constexpr std::chrono::milliseconds kSharedReportInterval{250};

const char* NameOf(SlotVerdict verdict) {
  switch (verdict) {
    case SlotVerdict::kGranted:
      return "granted";
    case SlotVerdict::kBusy:
      return "busy";
    case SlotVerdict::kClosed:
      return "closed";
    case SlotVerdict::kNotOwner:
      return "not_owner";
    case SlotVerdict::kWouldPreempt:
      return "would_preempt";
  }
  return "unknown";
}

std::uint32_t WireMillis(Duration time) {
  constexpr std::int64_t kMax = std::numeric_limits<std::uint32_t>::max();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(time);
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(millis.count(), 0, kMax));
}

}  // namespace

EngineOwner::EngineOwner(NodeRuntime& runtime, CrashDetector& crash_detector,
                         OwnedEngine owned)
    : runtime(runtime),
      owned(std::move(owned)),
      client(runtime.context),
      runner({this->owned.leaseholder,
              Hash64(this->owned.leaseholder, runtime.incarnation),
              this->owned.service, this->owned.address},
             runtime.dialect, this->client, *runtime.jobs, this->allocator,
             &crash_detector),
      foreign(this->owned.same_vm ? slots::ReportAge::kFresh
                                  : slots::ReportAge::kLate) {
  this->runner.SetOtherReplica(
      [this](const std::string& other) { this->LearnId(other); });
}

EngineOwner::~EngineOwner() {
  if (this->report_call.has_value()) {
    this->client.Cancel(*this->report_call);
  }
}

/// Applies the engine's list entry: its id, whether it drains, and how many
/// slots it has.
void EngineOwner::OnFleet() {
  const coordination::FleetKnowledge& fleet = this->runtime.watch->knowledge();
  const coordination::EngineInstance* found =
      FindEngine(fleet.engines, this->owned.address, this->owned.service);
  const bool present = found != nullptr && !found->draining;
  const std::string id = present ? found->id : std::string();
  this->listed_software = present ? found->Software() : ReplicaSoftware{};
  this->listed_started_ms = present ? found->started_ms : 0;
  if (id != this->id) {
    this->listed_alive = {};
    this->replaced = false;
    Log(LogLevel::kInfo, "engine_changed",
        {{"engine", id},
         {"version", this->listed_software.version},
         {"before", this->id},
         {"draining", found != nullptr && found->draining}});
    this->id = id;
    this->unlisted_id.clear();
  }
  this->allocator.SetSlots(present ? found->slots : 0);
  this->runner.SetRoutes(this->runtime.table);
  this->UpdateAvailability();
  if (present) {
    this->ApplyListing(*found);
  }
  if (this->AwaitsFirstReport()) {
    this->RequestReport(MonotonicNow());
  }
  this->ProcessQueues(MonotonicNow());
}

bool EngineOwner::AwaitsFirstReport() const {
  return !this->owned.same_vm && !this->foreign.Known() && this->engine_up &&
         !this->leaving && !this->id.empty();
}

void EngineOwner::UpdateAvailability() {
  const bool up = this->health.Up();
  if (up != this->engine_up) {
    this->engine_up = up;
    Log(up ? LogLevel::kInfo : LogLevel::kWarn, "engine_reachable",
        {{"engine", this->id},
         {"address", this->owned.address},
         {"reachable", up},
         {"items_held", this->runner.HeldCount()}});
  }
  const bool knows_others = this->owned.same_vm || this->foreign.Known();
  const bool takes_work = up && knows_others && !this->leaving &&
                          !this->id.empty() && !this->replaced;
  this->allocator.SetOpen(takes_work);
  this->runner.SetEngine(takes_work ? RunnerReplica{this->RunningId(),
                                                    this->RunningSoftware(),
                                                    this->started_ms}
                                    : RunnerReplica{});
  if (!up || this->replaced) {
    this->runner.ReturnAll();
  }
}

/// Prevents runs of a replica that was replaced by another one at the same
/// address from keeping slots taken and items waiting.
void EngineOwner::ApplyListing(const coordination::EngineInstance& listed) {
  const bool other_replica =
      !this->last_id.empty() && this->last_id != listed.id;
  this->last_id = listed.id;
  if (other_replica) {
    this->started_ms = 0;  // Its clock may be behind.
    this->OnEngineRestart();
  }
  this->LearnStart(listed.started_ms);
}

const std::string& EngineOwner::RunningId() const {
  return this->unlisted_id.empty() ? this->id : this->unlisted_id;
}

/// Settings do not tell whose replica stands at the address: they may change
/// later than the replica.
Duration EngineOwner::ServiceHolds(Time now) const {
  if (this->listed_alive == Time{}) {
    return Duration::zero();
  }
  const Time until = this->listed_alive + this->runtime.options.address_reuse;
  return std::max<Duration>(until - now, Duration::zero());
}

void EngineOwner::LearnId(const std::string& other) {
  if (this->id.empty() || other == this->RunningId()) {
    return;
  }
  if (this->ServiceHolds(MonotonicNow()) == Duration::zero()) {
    this->NoteReplaced(other);
    return;
  }
  Log(LogLevel::kInfo, "engine_id_learned",
      {{"engine", other},
       {"listed", this->id},
       {"address", this->owned.address}});
  this->unlisted_id = other == this->id ? std::string() : other;
  this->UpdateAvailability();
}

/// Without the start of the listed replica, nothing would tell that it answers
/// again.
void EngineOwner::NoteReplaced(const std::string& other) {
  if (this->replaced || this->listed_started_ms == 0) {
    return;
  }
  Log(LogLevel::kInfo, "engine_replaced",
      {{"engine", other},
       {"listed", this->id},
       {"address", this->owned.address},
       {"items_held", this->runner.HeldCount()}});
  this->replaced = true;  // Takes effect with the next report.
}

ReplicaSoftware EngineOwner::RunningSoftware() const {
  const bool restarted = !this->unlisted_id.empty() ||
                         (this->listed_started_ms != 0 &&
                          this->started_ms > this->listed_started_ms);
  return restarted ? ReplicaSoftware{} : this->listed_software;
}

/// Only a later start counts, as the list lags behind the engine's own reports.
void EngineOwner::LearnStart(std::uint64_t started_ms) {
  const std::uint64_t before = this->started_ms;
  if (!placement::LearnStart(this->started_ms, started_ms)) {
    return;
  }
  Log(LogLevel::kInfo, "engine_restarted",
      {{"engine", this->id},
       {"before", this->id},
       {"address", this->owned.address},
       {"started_ms", started_ms},
       {"started_before_ms", before}});
  this->ReleaseLostRuns();
  this->OnEngineRestart();
}

/// Connections to a VM that lost power stay open, so entries notice for up to a
/// second after the restart that their runs are gone. Runs that got their slot
/// after the last report of the former process may be at the new one and keep
/// it.
void EngineOwner::ReleaseLostRuns() {
  const Time now = MonotonicNow();
  std::size_t released = 0;
  for (auto& [stream, ticket] : this->tickets) {
    if (!ticket.lost && ticket.granted.has_value() &&
        *ticket.granted < this->known_start_seen) {
      ticket.lost = true;
      ++released;
      this->allocator.Release(stream, now);
    }
  }
  if (released > 0) {
    Log(LogLevel::kInfo, "slots_of_lost_runs_released",
        {{"engine", this->id}, {"slots", released}});
    this->runtime.metrics.Add("slots_of_lost_runs_total", released);
  }
}

/// Drops the state of the former engine process: foreign runs, pooled
/// connections and running batch items. Entries end their online runs
/// themselves.
void EngineOwner::OnEngineRestart() {
  this->UpdateAvailability();
  this->foreign.Forget();
  this->allocator.SetForeign(0);
  this->speed.Reset();
  this->client.CloseIdle(ParseEndpoint(this->owned.address, "engine_address"));
  this->runner.EngineRestarted();
}

void EngineOwner::Ask(transport::StreamId stream, const AcquireSlot& ask) {
  const Time now = MonotonicNow();
  if (!this->AwaitsFirstReport()) {
    this->Decide(stream, ask, now);
  } else if (!this->pending.Offer(stream, ask, now)) {
    this->Answer(stream, TicketOf(ask, now), SlotVerdict::kNotOwner);
  }
}

void EngineOwner::Decide(transport::StreamId stream, const AcquireSlot& ask,
                         Time asked) {
  const Time now = MonotonicNow();
  const bool other_engine = this->id.empty() || ask.engine_id != this->id;
  const Ticket ticket = TicketOf(ask, asked);
  if (other_engine || !this->allocator.Open()) {
    this->Answer(stream, ticket, SlotVerdict::kClosed);
    return;
  }
  if (ask.spares_items && this->allocator.WouldPreempt()) {
    this->Answer(stream, ticket, SlotVerdict::kWouldPreempt);
    return;
  }
  this->tickets[stream] = ticket;
  const slots::SlotRequest request{
      stream, ask.priority, asked + std::chrono::milliseconds(ask.wait_ms),
      ask.organisation};
  switch (this->allocator.Acquire(request, now)) {
    case slots::SlotAnswer::kGranted:
      this->Grant(stream, this->tickets[stream]);
      this->runner.Balance();
      break;
    case slots::SlotAnswer::kQueued:
      this->runtime.metrics.Add("slots_queued_total");
      this->AnswerDisplaced();
      break;
    case slots::SlotAnswer::kRefused:
      this->tickets.erase(stream);
      this->Answer(stream, ticket, SlotVerdict::kBusy);
      break;
  }
}

void EngineOwner::AnswerDisplaced() {
  for (const slots::TicketId stream : this->allocator.TakeDisplaced()) {
    auto displaced = this->tickets.extract(stream);
    if (!displaced.empty()) {
      this->runtime.metrics.Add("slots_displaced_total");
      displaced.mapped().displaced = true;
      this->Answer(stream, displaced.mapped(), SlotVerdict::kBusy);
    }
  }
}

EngineOwner::Ticket EngineOwner::TicketOf(const AcquireSlot& ask, Time asked) {
  return {ask.request, ask.organisation, ask.priority, asked, ask.wait_ms};
}

void EngineOwner::Grant(transport::StreamId stream, Ticket& ticket) {
  ticket.granted = MonotonicNow();
  this->Answer(stream, ticket, SlotVerdict::kGranted);
}

void EngineOwner::Answer(transport::StreamId stream, const Ticket& ticket,
                         SlotVerdict verdict) {
  const slots::SlotLoad load = this->allocator.Load();
  SlotReply reply;
  reply.verdict = static_cast<std::uint8_t>(verdict);
  reply.online = load.online;
  reply.waiting = load.waiting;
  reply.batch = load.batch;
  reply.slots = load.slots;
  const Duration wait = this->allocator.ExpectedWait(
      ticket.organisation, ticket.priority, MonotonicNow());
  reply.expected_wait_ms = static_cast<std::uint32_t>(wait.count() / 1000);
  reply.engine_started_ms = this->started_ms;
  reply.service = this->owned.service;
  reply.service_holds_ms = WireMillis(this->ServiceHolds(MonotonicNow()));
  const speeds::SpeedStatement stated = this->speed.Statement(MonotonicNow());
  reply.hold_ms = WireMillis(stated.hold);
  reply.hold_age_ms = WireMillis(stated.hold_age);
  reply.pace = stated.pace;
  Log(LogLevel::kInfo, "slot_answered",
      {{"request", ticket.request},
       {"organisation", ticket.organisation},
       {"verdict", NameOf(verdict)},
       {"displaced", ticket.displaced},
       {"engine", this->id},
       {"online", load.online},
       {"waiting", load.waiting},
       {"batch", load.batch},
       {"slots", load.slots},
       {"waited_ms", (MonotonicNow() - ticket.asked).count() / 1000},
       {"could_wait_ms", ticket.wait_ms},
       {"expected_wait_ms", reply.expected_wait_ms},
       {"hold_ms", reply.hold_ms},
       {"pace", reply.pace}});
  this->runtime.metrics.Add(fmt::format("slots_{}_total", NameOf(verdict)));
  this->runtime.server->Send(stream, EncodeMessage(reply));
  if (verdict != SlotVerdict::kGranted) {
    this->runtime.server->Finish(stream);
  }
}

bool EngineOwner::Cancelled(transport::StreamId stream) {
  if (this->pending.Remove(stream)) {
    return true;
  }
  const auto ended = this->tickets.extract(stream);
  if (ended.empty()) {
    return false;
  }
  const Time now = MonotonicNow();
  const Ticket& ticket = ended.mapped();
  if (ticket.granted.has_value() && !ticket.lost) {
    this->speed.Held(now - *ticket.granted, now);
  }
  this->allocator.Release(stream, now);
  this->ProcessQueues(now);
  return true;
}

void EngineOwner::ProcessPending(Time now) {
  if (this->AwaitsFirstReport()) {
    for (const PendingAcquire& late : this->pending.TakeExpired(now)) {
      this->Answer(late.stream, TicketOf(late.ask, late.asked),
                   SlotVerdict::kNotOwner);
    }
    return;
  }
  for (const PendingAcquire& early : this->pending.TakeAll()) {
    this->Decide(early.stream, early.ask, early.asked);
  }
}

void EngineOwner::ProcessQueues(Time now) {
  this->ProcessPending(now);
  const slots::SlotLoad own = this->allocator.Load();
  this->foreign.RecordHeld(own.online + own.batch);
  for (const slots::TicketId stream : this->allocator.TakeExpired(now)) {
    const auto expired = this->tickets.extract(stream);
    if (!expired.empty()) {
      this->Answer(
          stream, expired.mapped(),
          this->allocator.Open() ? SlotVerdict::kBusy : SlotVerdict::kClosed);
    }
  }
  for (const slots::TicketId stream : this->allocator.TakeGranted(now)) {
    const auto granted = this->tickets.find(stream);
    if (granted != this->tickets.end()) {
      this->Grant(stream, granted->second);
    }
  }
  this->runner.Balance();
}

void EngineOwner::Tick() {
  const Time now = MonotonicNow();
  this->RequestReport(now);
  this->ProcessQueues(now);
  this->runner.Tick();
}

Duration EngineOwner::ReportInterval() const {
  if (this->owned.same_vm) {
    return kLocalReportInterval;
  }
  return this->foreign.Counted() > 0 ? kSharedReportInterval
                                     : kRemoteReportInterval;
}

/// Requests a load report from the engine.
void EngineOwner::RequestReport(Time now) {
  if (this->report_call.has_value() && this->health.Overdue(now)) {
    if (this->report_problems.Due("overdue", now)) {
      Log(LogLevel::kWarn, "engine_report_overdue", {{"engine", this->id}});
    }
    this->client.Cancel(*std::exchange(this->report_call, std::nullopt));
    this->health.TimedOut();
    this->UpdateAvailability();
  }
  const bool due = now >= this->next_report || this->health.Suspected();
  if (this->report_call.has_value() || !due || this->id.empty()) {
    return;
  }
  this->next_report = now + this->ReportInterval();
  this->report_asked = now;
  this->health.Asked(now);
  http::HttpCall call;
  call.peer = ParseEndpoint(this->owned.address, "engine_address");
  call.target = this->runtime.dialect.report_target;
  call.max_body_bytes = kMaxReportBodyBytes;
  const auto body = std::make_shared<std::string>();
  http::HttpCallHandlers handlers;
  handlers.on_head = [this](const http::HttpHead& head) {
    const auto load = this->runtime.dialect.read_engine_head(head).load;
    this->speed.Paced(load.value_or(EngineLoad{}).pace, MonotonicNow());
  };
  handlers.on_body = [body](std::string_view bytes) { body->append(bytes); };
  handlers.on_end = [this, body](http::HttpEnd end) {
    this->report_call.reset();
    if (end == http::HttpEnd::kComplete) {
      this->OnReport(*body);
    } else {
      this->ReportFailed();
    }
  };
  this->report_call = this->client.Call(std::move(call), std::move(handlers));
}

void EngineOwner::ReportFailed() {
  this->health.Failed();
  this->UpdateAvailability();
  this->ProcessQueues(MonotonicNow());
}

void EngineOwner::OnReport(const std::string& body) {
  this->health.Answered();
  this->UpdateAvailability();
  EngineLoad load;
  try {
    load = this->runtime.dialect.read_report(body);
  } catch (const ResultError& error) {
    if (this->report_problems.Due(error.what(), MonotonicNow())) {
      Log(LogLevel::kWarn, "engine_report_unreadable",
          {{"engine", this->id}, {"text", error.what()}});
    }
    return;
  }
  this->report_problems.Due({}, MonotonicNow());
  if (load.started_ms != 0 && load.started_ms == this->listed_started_ms) {
    this->listed_alive = this->report_asked;
    this->replaced = false;
  }
  this->LearnStart(load.started_ms);
  if (load.started_ms != 0 && load.started_ms == this->started_ms) {
    this->known_start_seen = this->report_asked;
  }
  const slots::SlotLoad own = this->allocator.Load();
  this->allocator.SetForeign(this->foreign.Reported(load.running + load.waiting,
                                                    own.online + own.batch));
  this->UpdateAvailability();
  this->ProcessQueues(MonotonicNow());
}

OwnedEngineState EngineOwner::State() const {
  OwnedEngineState state;
  state.address = this->owned.address;
  state.id = this->id;
  state.service = this->owned.service;
  state.same_vm = this->owned.same_vm;
  state.open = this->allocator.Open();
  state.load = this->allocator.Load();
  return state;
}

void EngineOwner::BeginLeave() {
  this->leaving = true;
  this->allocator.SetOpen(false);
  this->ProcessQueues(MonotonicNow());
  this->runner.Stop();
}

bool EngineOwner::Drained() const {
  return this->tickets.empty() && this->pending.Empty() &&
         this->runner.HeldCount() == 0;
}

bool EngineOwner::HandedOver() const {
  return this->Drained() && this->runner.AllReturned();
}

}  // namespace papayarack::nodes
