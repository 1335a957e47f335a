#include "nodes/gatenode.h"

#include <algorithm>
#include <utility>

#include "global/logging.h"
#include "nodes/fleetengines.h"
#include "placement/enginestart.h"

namespace papayarack::nodes {
namespace {

/// The desk's queue and the runner are looked at this often; grants after a
/// release do not wait for it.
constexpr std::chrono::milliseconds kTick{20};

/// Pace of the engine's reports: what others run in it ends within a second or
/// lasts for seconds.
constexpr std::chrono::milliseconds kReportEvery{100};

const char* NameOf(SlotVerdict verdict) {
  switch (verdict) {
    case SlotVerdict::kGranted:
      return "granted";
    case SlotVerdict::kBusy:
      return "busy";
    case SlotVerdict::kClosed:
      return "closed";
  }
  return "unknown";
}

}  // namespace

GateNode::GateNode(NodeRuntime& runtime)
    : runtime(runtime),
      engine(runtime.context),
      runner({runtime.options.name, runtime.incarnation,
              runtime.options.engine_service, runtime.options.engine_address},
             runtime.dialect, this->engine, *runtime.jobs, this->desk),
      timer(runtime.context) {
  this->runtime.dispatch.On("/slots/ask", [this](transport::StreamId stream,
                                                 const std::string& body) {
    this->OnAsk(stream, body);
  });
  this->runtime.dispatch.OnCancel(
      [this](transport::StreamId stream) { this->OnCancel(stream); });
  this->runtime.Watch(
      [this](const coordination::FleetChange&) { this->OnFleet(); });
  this->Tick();
}

GateNode::~GateNode() { *this->alive = false; }

/// The engine behind this gate: its present id, whether it leaves, and how
/// many slots it has.
void GateNode::OnFleet() {
  const coordination::FleetKnowledge& fleet = this->runtime.watch->knowledge();
  const coordination::EngineInstance* found =
      FindEngine(fleet.engines, this->runtime.options.engine_address,
                 this->runtime.options.engine_service);
  const bool present = found != nullptr && !found->draining;
  const std::string id = present ? found->id : std::string();
  if (id != this->engine_id) {
    Log(LogLevel::kInfo, "engine_changed",
        {{"engine", id},
         {"before", this->engine_id},
         {"draining", found != nullptr && found->draining}});
    this->engine_id = id;
  }
  this->desk.SetSlots(present ? found->slots : 0);
  this->runner.SetRoutes(this->runtime.table);
  this->Apply();
  if (present) {
    this->TakeListed(*found);
  }
  this->Settle(MonotonicNow());
}

void GateNode::Apply() {
  const bool up = this->pulse.Up();
  if (up != this->engine_up) {
    this->engine_up = up;
    Log(up ? LogLevel::kInfo : LogLevel::kWarn, "engine_reachable",
        {{"engine", this->engine_id},
         {"address", this->runtime.options.engine_address},
         {"reachable", up},
         {"items_held", this->runner.Held()}});
  }
  const bool takes_work = up && !this->leaving && !this->engine_id.empty();
  this->desk.SetOpen(takes_work);
  this->runner.SetEngine(takes_work ? this->engine_id : std::string());
  if (!up) {
    this->runner.HandBackAll();
  }
}

/// Symptom guarded against: slots stay taken, or items wait, after another
/// replica has begun at this address, for what the one before was running.
void GateNode::TakeListed(const coordination::EngineInstance& listed) {
  const bool other_replica =
      !this->last_engine_id.empty() && this->last_engine_id != listed.id;
  this->last_engine_id = listed.id;
  if (other_replica) {
    this->engine_started_ms = 0;  // Its clock may be behind the former's.
    this->OnOtherStart();
  }
  this->LearnStart(listed.started_ms);
}

/// The list lags behind the engine's own reports, so only a later start counts.
void GateNode::LearnStart(std::uint64_t started_ms) {
  const std::uint64_t before = this->engine_started_ms;
  if (!placement::LearnStart(this->engine_started_ms, started_ms)) {
    return;
  }
  Log(LogLevel::kInfo, "engine_restarted",
      {{"engine", this->engine_id},
       {"before", this->engine_id},
       {"address", this->runtime.options.engine_address},
       {"started_ms", started_ms},
       {"started_before_ms", before}});
  this->OnOtherStart();
}

/// Drops what holds only for the former start of the engine: runs counted as
/// others', kept connections, and batch items that it was running. Online runs
/// are their entries' to end.
void GateNode::OnOtherStart() {
  this->last_foreign = 0;
  this->desk.SetForeign(0);
  this->engine.CloseIdle(
      ParseEndpoint(this->runtime.options.engine_address, "engine_address"));
  this->runner.EngineRestarted();
}

void GateNode::OnAsk(transport::StreamId stream, const std::string& body) {
  const auto ask = DecodeMessage<AskSlot>(body);
  const Time now = MonotonicNow();
  const bool other_engine =
      this->engine_id.empty() || ask.engine_id != this->engine_id;
  const Ticket ticket{ask.request, now, ask.wait_ms};
  if (other_engine || !this->desk.Open()) {
    this->Answer(stream, ticket, SlotVerdict::kClosed);
    return;
  }
  this->tickets[stream] = ticket;
  const slots::SlotRequest request{
      stream, ask.priority, now + std::chrono::milliseconds(ask.wait_ms)};
  switch (this->desk.Ask(request, now)) {
    case slots::SlotAnswer::kGranted:
      this->Answer(stream, ticket, SlotVerdict::kGranted);
      this->runner.Balance();
      break;
    case slots::SlotAnswer::kQueued:
      break;
    case slots::SlotAnswer::kRefused:
      this->tickets.erase(stream);
      this->Answer(stream, ticket, SlotVerdict::kBusy);
      break;
  }
}

void GateNode::Answer(transport::StreamId stream, const Ticket& ticket,
                      SlotVerdict verdict) {
  const slots::SlotLoad load = this->desk.Load();
  SlotReply reply;
  reply.verdict = static_cast<std::uint8_t>(verdict);
  reply.online = load.online;
  reply.waiting = load.waiting;
  reply.batch = load.batch;
  reply.slots = load.slots;
  reply.expected_wait_ms =
      static_cast<std::uint32_t>(this->desk.ExpectedWait().count() / 1000);
  reply.engine_started_ms = this->engine_started_ms;
  Log(LogLevel::kInfo, "slot_answered",
      {{"request", ticket.request},
       {"verdict", NameOf(verdict)},
       {"engine", this->engine_id},
       {"online", load.online},
       {"waiting", load.waiting},
       {"batch", load.batch},
       {"slots", load.slots},
       {"waited_ms", (MonotonicNow() - ticket.asked).count() / 1000},
       {"could_wait_ms", ticket.wait_ms},
       {"expected_wait_ms", reply.expected_wait_ms}});
  this->runtime.server->Send(stream, EncodeMessage(reply));
  if (verdict != SlotVerdict::kGranted) {
    this->runtime.server->Finish(stream);
  }
}

void GateNode::OnCancel(transport::StreamId stream) {
  if (this->tickets.erase(stream) == 0) {
    return;
  }
  const Time now = MonotonicNow();
  this->desk.Leave(stream, now);
  this->Settle(now);
}

void GateNode::Settle(Time now) {
  for (const slots::TicketId stream : this->desk.TakeExpired(now)) {
    const auto expired = this->tickets.extract(stream);
    if (!expired.empty()) {
      this->Answer(
          stream, expired.mapped(),
          this->desk.Open() ? SlotVerdict::kBusy : SlotVerdict::kClosed);
    }
  }
  for (const slots::TicketId stream : this->desk.TakeGranted(now)) {
    const auto granted = this->tickets.find(stream);
    if (granted != this->tickets.end()) {
      this->Answer(stream, granted->second, SlotVerdict::kGranted);
    }
  }
  this->runner.Balance();
}

void GateNode::Tick() {
  this->timer.expires_after(kTick);
  this->timer.async_wait([this, alive = this->alive](std::error_code error) {
    if (error || !*alive) {
      return;
    }
    const Time now = MonotonicNow();
    this->AskReport(now);
    this->Settle(now);
    this->runner.Tick();
    this->Tick();
  });
}

/// The engine's own word on what runs in it; asked on the same VM it is fresh.
void GateNode::AskReport(Time now) {
  if (this->report_call.has_value() && this->pulse.Overdue(now)) {
    if (this->report_problems.Due("overdue", now)) {
      Log(LogLevel::kWarn, "engine_report_overdue",
          {{"engine", this->engine_id}});
    }
    this->engine.Cancel(*std::exchange(this->report_call, std::nullopt));
    this->pulse.FellSilent();
    this->Apply();
  }
  const bool due = now >= this->next_report || this->pulse.InDoubt();
  if (this->report_call.has_value() || !due || this->engine_id.empty()) {
    return;
  }
  this->next_report = now + kReportEvery;
  this->pulse.Asked(now);
  http::HttpCall call;
  call.peer =
      ParseEndpoint(this->runtime.options.engine_address, "engine_address");
  call.target = this->runtime.dialect.report_target;
  const auto body = std::make_shared<std::string>();
  http::HttpCallHandlers handlers;
  handlers.on_head = [](const http::HttpHead&) {};
  handlers.on_body = [body](std::string_view bytes) { body->append(bytes); };
  handlers.on_end = [this, body](http::HttpEnd end) {
    this->report_call.reset();
    if (end == http::HttpEnd::kComplete) {
      this->OnReport(*body);
    } else {
      this->ReportFailed();
    }
  };
  this->report_call = this->engine.Call(std::move(call), std::move(handlers));
}

void GateNode::ReportFailed() {
  this->pulse.Failed();
  this->Apply();
  this->Settle(MonotonicNow());
}

/// Counts only what two reports in a row show: a run that was just cancelled,
/// or whose caller has not yet said that it ended, is gone by the second.
void GateNode::OnReport(const std::string& body) {
  this->pulse.Answered();
  this->Apply();
  EngineLoad load;
  try {
    load = this->runtime.dialect.read_report(body);
  } catch (const ResultError& error) {
    if (this->report_problems.Due(error.what(), MonotonicNow())) {
      Log(LogLevel::kWarn, "engine_report_unreadable",
          {{"engine", this->engine_id}, {"text", error.what()}});
    }
    return;
  }
  this->report_problems.Due({}, MonotonicNow());
  this->LearnStart(load.started_ms);
  const slots::SlotLoad own = this->desk.Load();
  const std::uint32_t there = load.running + load.waiting;
  const std::uint32_t here = own.online + own.batch;
  const std::uint32_t foreign = there > here ? there - here : 0;
  this->desk.SetForeign(std::min(foreign, this->last_foreign));
  this->last_foreign = foreign;
  this->Settle(MonotonicNow());
}

void GateNode::BeginLeave() {
  this->leaving = true;
  this->desk.SetOpen(false);
  this->Settle(MonotonicNow());
  this->runner.Stop();
}

bool GateNode::Drained() const {
  return this->tickets.empty() && this->runner.Held() == 0;
}

}  // namespace papayarack::nodes
