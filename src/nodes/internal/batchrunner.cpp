#include "nodes/batchrunner.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "global/hash.h"
#include "global/logging.h"
#include "nodes/itemrequest.h"
#include "nodes/itemtraits.h"
#include "nodes/responselimits.h"

namespace papayarack::nodes {
namespace {

/// Minimum interval between pulls: the number of free slots changes at each
/// online request, and each pull costs the leader a message.
constexpr std::chrono::milliseconds kPullInterval{40};
constexpr std::chrono::milliseconds kPullTime{4000};
constexpr std::chrono::milliseconds kPullAttemptTime{1600};
/// Timeout of a report and of one attempt at it: a leader answers each
/// eventually, and a lost one is noticed by its connection (PeerClientOptions).
/// Repeating a report whose answer is late would only delay it further.
constexpr std::chrono::milliseconds kReportTime{10000};
/// A paused item is returned after this long: a load peak reaches every engine
/// alike, so an item returned before it ends finds no free slot elsewhere.
constexpr std::chrono::milliseconds kMaxPause{3500};
/// A run that receives no data for this long is resumed on a new connection: a
/// fully loaded engine produces an event at least every 0.2 s.
constexpr std::chrono::milliseconds kMaxSilence{2500};
/// The same for a run that receives data but no event of its text: longer, as
/// an engine that keeps its connection alive by comments may have preempted the
/// run, and short enough for another run in the time that items have.
constexpr std::chrono::milliseconds kMaxTimeWithoutEvent{5000};
/// Delay before a run is retried after a refusal by the engine or a broken
/// connection.
constexpr std::chrono::milliseconds kRetryDelay{150};

/// Estimates for an item before the first one has ended here.
constexpr double kInitialEventsPerItem = 240;
constexpr double kInitialMsPerEvent = 21;
/// Weight of one ended run in both moving averages.
constexpr double kEstimateWeight = 0.1;
/// A late item is returned after a pause this long: another gate may have free
/// slots, while here it would delay items that can still be on time.
constexpr std::chrono::milliseconds kMaxLatePause{400};

/// A quarantined item is returned after this time. A leader that does not know
/// of the quarantine yet leases it again at once. So is a trial that waits
/// here, as no other may begin elsewhere meanwhile.
constexpr std::chrono::milliseconds kMaxSetAside{1000};
/// Quarantined items up to this number take no room from others.
constexpr std::size_t kMaxItemsSetAside = 64;

constexpr int kItemAnswered = 200;
constexpr int kItemImpossible = 422;
constexpr int kItemFailed = 500;

}  // namespace

BatchRunner::BatchRunner(RunnerTarget target, const Dialect& dialect,
                         http::HttpClient& engine,
                         coordination::GroupClient& jobs,
                         slots::SlotAllocator& allocator,
                         CrashDetector* crash_detector)
    : target(std::move(target)),
      dialect(dialect),
      engine(engine),
      jobs(jobs),
      allocator(allocator),
      crash_detector(crash_detector),
      events_per_item(kInitialEventsPerItem),
      ms_per_event(kInitialMsPerEvent) {}

BatchRunner::~BatchRunner() { *this->alive = false; }

std::vector<batches::ItemRef> BatchRunner::HeldItems() const {
  std::vector<batches::ItemRef> holding;
  for (const auto& [id, run] : this->runs) {
    holding.push_back({run.item.batch, run.item.spec.id});
  }
  for (const batches::ReturnedItem& waits : this->to_return) {
    holding.push_back(waits.item);
  }
  return holding;
}

Duration BatchRunner::Remaining(const Run& run) const {
  const double left = std::max(
      1.0, this->events_per_item - static_cast<double>(run.last_event));
  return std::chrono::microseconds(
      static_cast<std::int64_t>(left * this->ms_per_event * 1000));
}

Duration BatchRunner::Slack(const Run& run, Time now) const {
  return run.due - now - this->Remaining(run);
}

Duration BatchRunner::Urgency(const Run& run, Time now) const {
  const Duration slack = this->Slack(run, now);
  return slack < Duration(0) ? Duration::max() : slack;
}

bool BatchRunner::Late(const Run& run) const {
  return this->Slack(run, MonotonicNow()) < Duration(0);
}

void BatchRunner::UpdateEstimates(const Run& run) {
  this->events_per_item +=
      kEstimateWeight *
      (static_cast<double>(run.last_event) - this->events_per_item);
}

std::chrono::milliseconds BatchRunner::WholeRunTime() const {
  return std::chrono::milliseconds(
      this->speed_known ? static_cast<std::int64_t>(this->events_per_item *
                                                    this->ms_per_event)
                        : 0);
}

void BatchRunner::UpdateSpeed(const Run& run) {
  const auto made = static_cast<double>(run.last_event - run.first_event);
  constexpr double kMinEvents = 20;
  if (made >= kMinEvents) {
    const double ms = ToSeconds(run.last_heard - run.since) * 1000 / made;
    const double weight = this->speed_known ? kEstimateWeight : 1;
    this->ms_per_event += weight * (ms - this->ms_per_event);
    this->speed_known = true;
  }
}

std::uint32_t BatchRunner::Room() const {
  if (this->stopping || this->replica.id.empty() || this->table == nullptr) {
    return 0;
  }
  std::size_t paused = 0;
  std::size_t set_aside = 0;
  for (const auto& [id, run] : this->runs) {
    const bool is_paused = run.phase == Phase::kPaused;
    const bool waits = is_paused && (set_aside == kMaxItemsSetAside ||
                                     !this->IsQuarantined(run));
    paused += waits ? 1 : 0;
    set_aside += is_paused && !waits ? 1 : 0;
  }
  const std::uint32_t room = this->allocator.FreeBatchSlots();
  return room > paused ? room - static_cast<std::uint32_t>(paused) : 0;
}

void BatchRunner::Tick() {
  const Time now = MonotonicNow();
  this->ReturnLongPaused(now);
  this->Report();
  std::vector<RunId> silent;
  for (const auto& [id, run] : this->runs) {
    if (IsSilent(run, now)) {
      silent.push_back(id);
    }
  }
  for (const RunId id : silent) {
    Run& run = this->runs.at(id);
    if (run.phase != Phase::kRunning) {
      continue;  // Preempted after one before it has ended.
    }
    if (run.status != 0 && run.status != kItemAnswered) {
      this->Cut(id, "the rest of a refusal or failure does not come");
      continue;
    }
    Log(LogLevel::kWarn, "item_run_silent",
        {{"request", run.item.spec.id}, {"last_event", run.last_event}});
    this->Pause(run);
    run.not_before = now + kRetryDelay;
  }
  this->Balance();
  if (now >= this->next_pull && this->ShouldPull(now)) {
    if (this->pull_call != 0 && !this->PullIsIdle()) {
      this->answer_time = std::min(2 * this->answer_time, kMaxAnswerTime);
    }
    this->Pull();
  }
}

bool BatchRunner::IsSilent(const Run& run, Time now) {
  return run.phase == Phase::kRunning &&
         (now - run.last_block > kMaxSilence ||
          now - run.last_event_at > kMaxTimeWithoutEvent);
}

void BatchRunner::EngineRestarted() {
  for (auto& [id, run] : this->runs) {
    if (run.phase == Phase::kRunning) {
      Log(LogLevel::kInfo, "item_run_lost",
          {{"request", run.item.spec.id}, {"last_event", run.last_event}});
      run.item.is_trial = false;
      this->Pause(run);
    }
  }
  this->Balance();
}

bool BatchRunner::PullIsIdle() const {
  return this->pulled_room == 0 && this->returning.empty();
}

/// Prevents items from being sent over the links repeatedly and starting late
/// while online requests come and go: if any change in the number of items that
/// fit cancelled the pull in flight, the bodies that the leader had already
/// sent would be lost. The leader hands out at once what it has, so a pull is
/// left alone while an answer may be in flight. It is cancelled only for
/// changes that the leader's delay of 1 s would hold up: room for fewer items
/// than requested, room where there was none, or items to return. If the room
/// merely grew, the next pull fills it. A pull that can bring nothing is
/// cancelled at once.
bool BatchRunner::ShouldPull(Time now) const {
  if (this->pull_call == 0) {
    return true;
  }
  const std::uint32_t room = this->Room();
  const bool shrank = room < this->pulled_room;
  const bool grew_from_zero = this->pulled_room == 0 && room > 0;
  if (!shrank && !grew_from_zero && this->to_return.empty()) {
    return false;
  }
  return this->PullIsIdle() || now - this->pulled_at >= this->answer_time;
}

void BatchRunner::Pull() {
  if (this->pull_call != 0) {
    this->jobs.Cancel(this->pull_call);
    this->RequeueReturns();
  }
  this->SelectReturns();
  this->pulled_at = MonotonicNow();
  this->next_pull = this->pulled_at + kPullInterval;
  this->pulled_room = this->Room();
  batches::PullItems pull;
  pull.gate = this->target.gate;
  pull.incarnation = this->target.incarnation;
  pull.service = this->target.service;
  pull.room = this->pulled_room;
  pull.holding = this->HeldItems();
  pull.returned = this->returning;
  pull.run_ms = static_cast<std::uint32_t>(this->WholeRunTime().count());
  this->pull_call = this->jobs.Call(
      "/jobs/pull", EncodeMessage(pull), kPullTime, kPullAttemptTime,
      [this, alive = this->alive](const Result& result,
                                  const std::string& body) {
        if (*alive) {
          this->pull_call = 0;
          this->OnPulled(result, body);
        }
      });
}

void BatchRunner::SelectReturns() {
  std::size_t bytes = 0;
  const auto first_left =
      std::ranges::find_if(this->to_return, [&](const auto& returned) {
        const bool first = bytes == 0;
        bytes += returned.partial.text.size() + 1;
        return !first && bytes > kMaxReturnBytes;
      });
  this->returning.assign(std::make_move_iterator(this->to_return.begin()),
                         std::make_move_iterator(first_left));
  this->to_return.erase(this->to_return.begin(), first_left);
}

/// Prevents a returned item from starting over at the next gate and being late:
/// a pull may be refused, or cancelled before it arrives, so its items are kept
/// until it is answered. Returning one twice is harmless: the leader keeps the
/// longer text and ignores an item that another gate holds by then.
void BatchRunner::RequeueReturns() {
  this->to_return.insert(this->to_return.begin(),
                         std::make_move_iterator(this->returning.begin()),
                         std::make_move_iterator(this->returning.end()));
  this->returning.clear();
}

void BatchRunner::OnPulled(const Result& result, const std::string& body) {
  if (!result.Ok()) {
    this->RequeueReturns();
    return;
  }
  this->returning.clear();
  this->answer_time = std::max(this->answer_time / 2, kAnswerTime);
  batches::PulledItems pulled;
  try {
    pulled = DecodeMessage<batches::PulledItems>(body);
  } catch (const ResultError& error) {
    Log(LogLevel::kWarn, "pull_unreadable", {{"text", error.what()}});
    return;
  }
  for (const batches::ItemRef& stop : pulled.stop) {
    this->EraseRuns([this, &stop](Run& run) {
      const bool meant = run.item.batch == stop.batch &&
                         run.item.spec.id == stop.item &&
                         run.phase != Phase::kReporting;
      if (meant) {
        Log(LogLevel::kInfo, "item_stopped",
            {{"request", run.item.spec.id},
             {"batch", run.item.batch},
             {"reason", "it is listed or its batch ended"}});
        this->Pause(run);
      }
      return meant;
    });
  }
  for (batches::LeasedItem& item : pulled.items) {
    this->Take(std::move(item));
  }
  this->Balance();
}

/// An item may be leased to this gate again before its return was sent, in the
/// answer to a pull that still listed it as held or was sent earlier. It
/// continues here and its return is dropped: a later return would give it to
/// another gate while it runs.
void BatchRunner::Take(batches::LeasedItem item) {
  const batches::ItemRef ref{item.batch, item.spec.id};
  const auto kept =
      std::ranges::find(this->to_return, ref, &batches::ReturnedItem::item);
  if (kept != this->to_return.end()) {
    if (kept->partial.last_event > item.partial.last_event) {
      item.partial = std::move(kept->partial);
    }
    this->to_return.erase(kept);
  }
  Run run;
  run.text = std::move(item.partial.text);
  run.last_event = item.partial.last_event;
  run.software = item.partial.software;
  run.any_event = run.last_event > 0 || !run.text.empty();
  run.since = MonotonicNow();
  run.idle_since = run.since;
  run.due = run.since + std::chrono::milliseconds(item.due_in_ms);
  if (this->crash_detector != nullptr) {
    run.traits = TraitsOfItem(this->dialect, item.spec, this->target.service);
  }
  run.item = std::move(item);
  this->runs.emplace(++this->last_run, std::move(run));
}

void BatchRunner::Balance() {
  while (this->allocator.BatchToPreempt() > 0) {
    this->PreemptOne();
  }
  this->StartNext();
}

/// Preempts a late item first, then the one with the most slack: in both cases
/// no further deadline is missed.
void BatchRunner::PreemptOne() {
  const Time now = MonotonicNow();
  Run* victim = nullptr;
  for (auto& [id, run] : this->runs) {
    if (run.phase == Phase::kRunning &&
        (victim == nullptr ||
         this->Urgency(run, now) > this->Urgency(*victim, now))) {
      victim = &run;
    }
  }
  if (victim == nullptr) {
    this->allocator.EndBatch();  // Nothing runs: corrects the count.
    return;
  }
  this->Pause(*victim);
}

void BatchRunner::Pause(Run& run) {
  if (run.phase != Phase::kRunning) {
    return;
  }
  this->engine.Cancel(run.call);
  run.call = 0;
  this->UpdateSpeed(run);
  BeginPause(run);
  this->allocator.EndBatch();
}

void BatchRunner::BeginPause(Run& run) {
  run.phase = Phase::kPaused;
  run.since = MonotonicNow();
  run.splitter.Clear();
  if (run.last_event > run.first_event) {
    run.idle_since = run.since;
  }
}

void BatchRunner::StartNext() {
  const Time now = MonotonicNow();
  while (this->allocator.FreeBatchSlots() > 0 && !this->stopping &&
         !this->replica.id.empty() && this->table != nullptr) {
    // Least slack first, late ones last.
    RunId best = 0;
    for (const auto& [id, run] : this->runs) {
      const bool ready = run.phase == Phase::kPaused && now >= run.not_before &&
                         !this->IsQuarantined(run);
      if (ready && (best == 0 || this->Urgency(run, now) <
                                     this->Urgency(this->runs.at(best), now))) {
        best = id;
      }
    }
    if (best == 0) {
      return;
    }
    this->Start(best, this->runs.at(best));
  }
}

void BatchRunner::Start(RunId id, Run& run) {
  const routes::Route* route = this->table->FindBatchRoute(run.item.route_key);
  if (route == nullptr || !route->LeadsTo(this->target.service)) {
    run.not_before = MonotonicNow() + kRetryDelay;
    return;  // The leader gives the item up, or it is returned.
  }
  if (!IsSendable(run.item.spec)) {
    // Earlier releases accepted such items.
    this->allocator.StartBatch();
    this->Finish(id, run, batches::ItemEnd::kGivenUp);
    return;
  }
  http::HttpCall call;
  call.peer = ParseEndpoint(this->target.engine_address, "engine_address");
  call.method = kItemMethod;
  call.target = run.item.spec.path;
  call.headers = HeadersOfItem(run.item);
  call.identity = this->dialect.identity(run.item.spec.id);
  call.headers.Set(call.identity.name, call.identity.value);
  ForwardFields fields;
  fields.engine_id = this->replica.id;
  fields.organisation = run.item.organisation;
  this->DropTextOfOtherSoftware(run);
  if (run.any_event) {
    fields.resume_after = run.last_event;
    Log(LogLevel::kInfo, "item_continued",
        {{"request", run.item.spec.id},
         {"engine", this->replica.id},
         {"version", this->replica.software.version},
         {"began_at_version", run.software.version},
         {"last_event", run.last_event}});
  } else {
    run.software = this->replica.software;
  }
  this->dialect.write_forward(call.headers, fields);
  call.body = run.item.spec.body;
  run.phase = Phase::kRunning;
  run.status = 0;
  run.not_run = false;
  run.since = MonotonicNow();
  run.last_heard = run.since;
  run.last_block = run.since;
  run.last_event_at = run.since;
  run.ignored_bytes = 0;
  run.unframed_bytes = 0;
  run.first_event = run.last_event;
  run.run_began.reset();
  run.run_survived = false;
  run.splitter.Clear();
  this->allocator.StartBatch();
  http::HttpCallHandlers handlers;
  handlers.on_head = [this, id](const http::HttpHead& head) {
    this->OnHead(id, head);
  };
  handlers.on_body = [this, id](std::string_view bytes) {
    this->OnBody(id, bytes);
  };
  handlers.on_end = [this, id](http::HttpEnd end) { this->OnEnd(id, end); };
  run.call = this->engine.Call(std::move(call), std::move(handlers));
}

/// What another software wrote does not fit what this replica would write, so
/// the item begins anew here.
void BatchRunner::DropTextOfOtherSoftware(Run& run) const {
  if (!run.any_event || this->replica.software.CanContinue(run.software)) {
    return;
  }
  Log(LogLevel::kInfo, "item_text_dropped",
      {{"request", run.item.spec.id},
       {"engine", this->replica.id},
       {"version", this->replica.software.version},
       {"began_at_version", run.software.version},
       {"last_event", run.last_event}});
  run.text.clear();
  run.last_event = 0;
  run.any_event = false;
}

void BatchRunner::OnHead(RunId id, const http::HttpHead& head) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end()) {
    return;
  }
  const EngineHead engine = this->dialect.read_engine_head(head);
  found->second.status = head.status;
  found->second.not_run = engine.not_run;
  found->second.last_heard = MonotonicNow();
  found->second.last_block = found->second.last_heard;
  found->second.last_event_at = found->second.last_heard;
  const bool other = engine.not_run && !engine.engine_id.empty() &&
                     engine.engine_id != this->replica.id;
  if (other && this->other_replica) {
    this->other_replica(engine.engine_id);
  }
}

void BatchRunner::OnBody(RunId id, std::string_view bytes) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end()) {
    return;
  }
  Run& run = found->second;
  if (run.status != kItemAnswered) {
    run.ignored_bytes += bytes.size();
    if (run.ignored_bytes > kMaxIgnoredBytes) {
      this->Cut(id, "a refusal or failure without end");
    }
    return;
  }
  const Time before = std::exchange(run.last_heard, MonotonicNow());
  if (!run.run_began.has_value()) {
    run.run_began = run.last_heard;
  }
  if (CrashDetector::IsSurvival(*run.run_began, before, run.last_heard)) {
    this->NoteSurvival(run);
  }
  run.splitter.Add(bytes);
  run.unframed_bytes += bytes.size();
  http::StreamEvent event;
  while (run.splitter.Next(event)) {
    run.last_block = run.last_heard;
    if (event.id.has_value()) {
      run.unframed_bytes = 0;
      run.last_event_at = run.last_heard;
    }
    if (!this->AppendEvent(run, event)) {
      Log(LogLevel::kWarn, "item_event_out_of_order",
          {{"request", run.item.spec.id},
           {"last_event", run.last_event},
           {"event", event.id.value_or(0)}});
      this->Pause(run);
      run.not_before = MonotonicNow() + kRetryDelay;
      return;
    }
  }
  if (run.unframed_bytes > kMaxUnframedBytes) {
    this->Cut(id, "bytes that form no event");
  }
}

/// The head has decided how a refusal or a failure is handled; a stream without
/// events is handled like a broken connection.
void BatchRunner::Cut(RunId id, const char* reason) {
  Run& run = this->runs.at(id);
  Log(LogLevel::kWarn, "item_response_cut",
      {{"request", run.item.spec.id},
       {"engine", this->replica.id},
       {"status", run.status},
       {"reason", reason},
       {"last_event", run.last_event}});
  this->engine.Cancel(run.call);
  this->OnEnd(id, http::HttpEnd::kMalformed);
}

/// Event ids must be consecutive; any other id belongs to another run.
bool BatchRunner::AppendEvent(Run& run, const http::StreamEvent& event) {
  if (!event.id.has_value()) {
    return true;
  }
  if (run.any_event && *event.id != run.last_event + 1) {
    return false;
  }
  if (run.any_event) {
    run.text += '\n';
  }
  run.text += event.data;
  run.last_event = *event.id;
  run.any_event = true;
  return true;
}

void BatchRunner::OnEnd(RunId id, http::HttpEnd end) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end()) {
    return;
  }
  Run& run = found->second;
  run.call = 0;
  const bool whole = end == http::HttpEnd::kComplete &&
                     run.status == kItemAnswered &&
                     !run.splitter.HasPartialEvent() && run.any_event;
  if (whole) {
    this->NoteSurvival(run);
    this->Finish(id, run, batches::ItemEnd::kComplete);
  } else if (run.status == kItemImpossible) {
    this->Finish(id, run, batches::ItemEnd::kGivenUp);
  } else if (run.status == kItemFailed && !run.not_run) {
    this->Finish(id, run, batches::ItemEnd::kFailed);
  } else {
    Log(LogLevel::kInfo, "item_run_broken",
        {{"request", run.item.spec.id},
         {"status", run.status},
         {"not_run", run.not_run},
         {"end", static_cast<int>(end)},
         {"last_event", run.last_event}});
    if (end != http::HttpEnd::kNotSent) {
      this->NoteBreak(run);
      run.item.is_trial = run.item.is_trial && run.not_run;
    }
    BeginPause(run);
    run.not_before = run.since + kRetryDelay;
    this->allocator.EndBatch();
  }
  this->Balance();
}

bool BatchRunner::IsQuarantined(const Run& run) const {
  return this->crash_detector != nullptr && !run.item.is_trial &&
         this->crash_detector->FindQuarantined(run.traits) != nullptr;
}

void BatchRunner::NoteSurvival(Run& run) {
  if (this->crash_detector != nullptr &&
      !std::exchange(run.run_survived, true)) {
    this->crash_detector->Survived(run.traits);
  }
}

void BatchRunner::NoteBreak(const Run& run) {
  if (this->crash_detector != nullptr && !run.not_run) {
    this->crash_detector->ConnectionBroke(
        {run.item.spec.id,
         run.traits,
         {this->target.engine_address, this->replica.id,
          this->replica.started_ms},
         run.run_began});
  }
}

void BatchRunner::Finish(RunId id, Run& run, batches::ItemEnd end) {
  const routes::Route* route = this->table->FindBatchRoute(run.item.route_key);
  run.phase = Phase::kReporting;
  run.outcome.batch = run.item.batch;
  run.outcome.item = run.item.spec.id;
  run.outcome.end = static_cast<std::uint8_t>(end);
  run.outcome.max_attempts = route != nullptr ? route->max_attempts : 1;
  // Run ids restart at 1 with each start of this process.
  run.outcome.run = Hash64(std::to_string(id), this->target.incarnation) | 1U;
  Log(LogLevel::kInfo, "item_ended",
      {{"request", run.item.spec.id},
       {"batch", run.item.batch},
       {"status", run.status},
       {"events", run.last_event},
       {"run", id}});
  if (end == batches::ItemEnd::kComplete) {
    this->UpdateEstimates(run);
    this->UpdateSpeed(run);
    run.outcome.text = std::move(run.text);
  }
  this->allocator.EndBatch();
  this->Report();
}

/// Sends one report at a time; an item stays held until its report is
/// acknowledged, as the leader would otherwise lease it to another gate.
/// Reports are bounded and failures are followed by a backoff: otherwise gates
/// that could not report for a moment fill the links to the leader, since a
/// failed report sent again at once with everything that ended meanwhile grows
/// with the load that it causes.
void BatchRunner::Report() {
  if (this->reporting || MonotonicNow() < this->next_report) {
    return;
  }
  batches::ReportOutcomes report;
  std::vector<RunId> reported;
  std::size_t bytes = 0;
  for (const auto& [id, run] : this->runs) {
    if (run.phase != Phase::kReporting) {
      continue;
    }
    bytes += run.outcome.text.size();
    if (!reported.empty() && bytes > kMaxReportBytes) {
      break;
    }
    report.outcomes.push_back(run.outcome);
    reported.push_back(id);
  }
  if (reported.empty()) {
    return;
  }
  this->reporting = true;
  this->jobs.Call("/jobs/report", EncodeMessage(report), kReportTime,
                  kReportTime,
                  [this, reported, alive = this->alive](const Result& result,
                                                        const std::string&) {
                    if (*alive) {
                      this->reporting = false;
                      this->OnReported(result, reported);
                    }
                  });
}

void BatchRunner::OnReported(const Result& result,
                             std::span<const RunId> reported) {
  if (!result.Ok()) {
    this->next_report = MonotonicNow() + this->report_backoff;
    this->report_backoff =
        std::min(2 * this->report_backoff, kMaxReportBackoff);
    return;  // Tick sends it again.
  }
  this->report_backoff = kMinReportBackoff;
  for (const RunId id : reported) {
    this->runs.erase(id);
  }
  this->Report();
}

void BatchRunner::ReturnItem(Run& run) {
  this->to_return.push_back(
      {{run.item.batch, run.item.spec.id},
       {std::move(run.text), run.last_event, run.software}});
}

Duration BatchRunner::MaxPause(const Run& run) const {
  if (run.item.is_trial || this->IsQuarantined(run)) {
    return kMaxSetAside;
  }
  return this->Late(run) ? kMaxLatePause : kMaxPause;
}

void BatchRunner::ReturnLongPaused(Time now) {
  this->EraseRuns([this, now](Run& run) {
    const bool old = run.phase == Phase::kPaused &&
                     now - run.idle_since > this->MaxPause(run);
    if (old) {
      if (this->IsQuarantined(run)) {
        Log(LogLevel::kInfo, "item_quarantined",
            {{"request", run.item.spec.id}, {"batch", run.item.batch}});
      }
      this->ReturnItem(run);
    }
    return old;
  });
}

void BatchRunner::Stop() {
  this->stopping = true;
  this->ReturnAll();
  this->Pull();
}

void BatchRunner::ReturnAll() {
  this->EraseRuns([this](Run& run) {
    if (run.phase == Phase::kReporting) {
      return false;
    }
    this->Pause(run);
    this->ReturnItem(run);
    return true;
  });
}

}  // namespace papayarack::nodes
