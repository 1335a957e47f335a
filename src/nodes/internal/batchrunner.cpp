#include "nodes/batchrunner.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "global/hash.h"
#include "global/logging.h"

namespace papayarack::nodes {
namespace {

/// Pulls follow each other no more often than this: room changes at each online
/// request, and each pull costs the leader a message.
constexpr std::chrono::milliseconds kPullPace{40};
constexpr std::chrono::milliseconds kPullTime{4000};
constexpr std::chrono::milliseconds kPullTry{1600};
/// Of a report, and of one attempt at it: a leader answers each in the end, and
/// one that is gone is noticed by its connection (PeerClientOptions). A copy
/// for an answer that is late would only make it later.
constexpr std::chrono::milliseconds kReportTime{10000};
/// A paused item goes back to the others after this long: a wave's peak reaches
/// every engine alike, so handing back before it ends finds no room elsewhere.
constexpr std::chrono::milliseconds kLongestPause{3500};
/// A run without a byte for this long is taken up again on a new connection:
/// a crowded engine makes an event at least every 0.2 s.
constexpr std::chrono::milliseconds kSilence{2500};
/// Wait after an engine's refusal or a broken run.
constexpr std::chrono::milliseconds kAfterFailure{150};

/// What an item takes, before the first one ended here.
constexpr double kFirstEventsPerItem = 240;
constexpr double kFirstMsPerEvent = 21;
/// Weight of one ended run in both means.
constexpr double kLearnWeight = 0.1;
/// A late item is handed back after this long a pause: another gate may have
/// room to spare, here it would stand before items that can be in time.
constexpr std::chrono::milliseconds kLatePause{400};

constexpr int kItemImpossible = 422;
constexpr int kItemFailed = 500;

}  // namespace

BatchRunner::BatchRunner(RunnerTarget target, const Dialect& dialect,
                         http::HttpClient& engine,
                         coordination::GroupClient& jobs, slots::SlotDesk& desk)
    : target(std::move(target)),
      dialect(dialect),
      engine(engine),
      jobs(jobs),
      desk(desk),
      events_per_item(kFirstEventsPerItem),
      ms_per_event(kFirstMsPerEvent) {}

BatchRunner::~BatchRunner() { *this->alive = false; }

std::vector<batches::ItemRef> BatchRunner::Holding() const {
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

void BatchRunner::LearnFrom(const Run& run) {
  this->events_per_item += kLearnWeight * (static_cast<double>(run.last_event) -
                                           this->events_per_item);
  const auto made = static_cast<double>(run.last_event - run.first_event);
  constexpr double kEnough = 20;
  if (made >= kEnough) {
    const double ms = ToSeconds(run.last_heard - run.since) * 1000;
    this->ms_per_event += kLearnWeight * (ms / made - this->ms_per_event);
  }
}

std::uint32_t BatchRunner::Room() const {
  if (this->stopping || this->engine_id.empty() || this->table == nullptr) {
    return 0;
  }
  const auto paused = static_cast<std::uint32_t>(std::ranges::count_if(
      this->runs,
      [](const auto& entry) { return entry.second.phase == Phase::kPaused; }));
  const std::uint32_t room = this->desk.BatchRoom();
  return room > paused ? room - paused : 0;
}

void BatchRunner::Tick() {
  const Time now = MonotonicNow();
  this->ReturnOldPauses(now);
  this->Report();
  std::vector<RunId> silent;
  for (const auto& [id, run] : this->runs) {
    if (run.phase == Phase::kRunning && now - run.last_heard > kSilence) {
      silent.push_back(id);
    }
  }
  for (const RunId id : silent) {
    Run& run = this->runs.at(id);
    Log(LogLevel::kWarn, "item_run_silent",
        {{"request", run.item.spec.id}, {"last_event", run.last_event}});
    this->Pause(run);
    run.not_before = now + kAfterFailure;
  }
  this->Balance();
  if (now >= this->next_pull && this->ShouldPull(now)) {
    if (this->pull_call != 0 && !this->PullIsIdle()) {
      this->answer_time = std::min(2 * this->answer_time, kLongestAnswerTime);
    }
    this->Pull();
  }
}

void BatchRunner::EngineRestarted() {
  for (auto& [id, run] : this->runs) {
    if (run.phase == Phase::kRunning) {
      Log(LogLevel::kInfo, "item_run_lost",
          {{"request", run.item.spec.id}, {"last_event", run.last_event}});
      this->Pause(run);
    }
  }
  this->Balance();
}

bool BatchRunner::PullIsIdle() const {
  return this->pulled_room == 0 && this->returning.empty();
}

/// Symptom guarded against: while online requests come and go, the links carry
/// the same items again and again and they start late. Any change of room gave
/// up the pull under way, and with it the bodies that the leader had sent
/// already. What the leader has it hands out at once, so a
/// pull is left alone while an answer may be on its way, and is given up only
/// for what the leader's hold of 1 s would spoil: room that is less than asked
/// for, or that there is now where none was, or items to hand back. Room that
/// merely grew is filled by the next pull. A pull that can bring nothing is
/// given up at once.
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
    this->KeepReturns();
  }
  this->ChooseReturns();
  this->pulled_at = MonotonicNow();
  this->next_pull = this->pulled_at + kPullPace;
  this->pulled_room = this->Room();
  batches::PullItems pull;
  pull.gate = this->target.gate;
  pull.incarnation = this->target.incarnation;
  pull.service = this->target.service;
  pull.room = this->pulled_room;
  pull.holding = this->Holding();
  pull.returned = this->returning;
  this->pull_call =
      this->jobs.Call("/jobs/pull", EncodeMessage(pull), kPullTime, kPullTry,
                      [this, alive = this->alive](const Result& result,
                                                  const std::string& body) {
                        if (*alive) {
                          this->pull_call = 0;
                          this->OnPulled(result, body);
                        }
                      });
}

void BatchRunner::ChooseReturns() {
  std::size_t bytes = 0;
  const auto first_left =
      std::ranges::find_if(this->to_return, [&](const auto& returned) {
        const bool first = bytes == 0;
        bytes += returned.partial.text.size() + 1;
        return !first && bytes > kMostReturnBytes;
      });
  this->returning.assign(std::make_move_iterator(this->to_return.begin()),
                         std::make_move_iterator(first_left));
  this->to_return.erase(this->to_return.begin(), first_left);
}

/// Symptom guarded against: an item that was handed back begins from nothing at
/// the next gate, and is late. What a pull hands back was forgotten when it
/// left, though it might be refused, or given up before it arrived. A second
/// arrival is harmless: the leader keeps the text that goes further, and leaves
/// an item alone that another gate has by then.
void BatchRunner::KeepReturns() {
  this->to_return.insert(this->to_return.begin(),
                         std::make_move_iterator(this->returning.begin()),
                         std::make_move_iterator(this->returning.end()));
  this->returning.clear();
}

void BatchRunner::OnPulled(const Result& result, const std::string& body) {
  if (!result.Ok()) {
    this->KeepReturns();
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

/// An item may come back before it was handed back, in the answer to a pull
/// that still named it as held or had left before. It goes on from here, and is
/// handed back no more: a return that came later would give it to another gate
/// while it runs.
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
  run.any_event = run.last_event > 0 || !run.text.empty();
  run.since = MonotonicNow();
  run.due = run.since + std::chrono::milliseconds(item.due_in_ms);
  run.item = std::move(item);
  this->runs.emplace(++this->last_run, std::move(run));
}

void BatchRunner::Balance() {
  while (this->desk.BatchToPreempt() > 0) {
    this->PreemptOne();
  }
  this->StartNext();
}

/// A late item leaves first, then the one with the most time to spare: both
/// lose nothing that a caller would notice.
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
    this->desk.EndBatch();  // Nothing runs: the count was off.
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
  run.phase = Phase::kPaused;
  run.since = MonotonicNow();
  run.splitter.Clear();
  this->desk.EndBatch();
}

void BatchRunner::StartNext() {
  const Time now = MonotonicNow();
  while (this->desk.BatchRoom() > 0 && !this->stopping &&
         !this->engine_id.empty() && this->table != nullptr) {
    // The one with the least time to spare, late ones last.
    RunId best = 0;
    for (const auto& [id, run] : this->runs) {
      const bool ready = run.phase == Phase::kPaused && now >= run.not_before;
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
  const routes::Route* route =
      this->table->Find(run.item.host, run.item.spec.path);
  if (route == nullptr || route->kind != routes::RouteKind::kBatch) {
    run.not_before = MonotonicNow() + kAfterFailure;
    return;  // The leader gives it up, or the route comes back.
  }
  http::HttpCall call;
  call.peer = ParseEndpoint(this->target.engine_address, "engine_address");
  call.method = "POST";
  call.target = run.item.spec.path;
  call.headers.Add("Host", run.item.host);
  for (const batches::ItemHeader& header : run.item.spec.headers) {
    call.headers.Set(header.name, header.value);
  }
  call.identity = this->dialect.identity(run.item.spec.id);
  call.headers.Set(call.identity.name, call.identity.value);
  ForwardFields fields;
  fields.engine_id = this->engine_id;
  if (run.any_event) {
    fields.resume_after = run.last_event;
  }
  this->dialect.write_forward(call.headers, fields);
  call.body = run.item.spec.body;
  run.phase = Phase::kRunning;
  run.status = 0;
  run.not_run = false;
  run.since = MonotonicNow();
  run.last_heard = run.since;
  run.first_event = run.last_event;
  run.splitter.Clear();
  this->desk.StartBatch();
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

void BatchRunner::OnHead(RunId id, const http::HttpHead& head) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end()) {
    return;
  }
  found->second.status = head.status;
  found->second.not_run = this->dialect.read_engine_head(head).not_run;
  found->second.last_heard = MonotonicNow();
}

void BatchRunner::OnBody(RunId id, std::string_view bytes) {
  const auto found = this->runs.find(id);
  if (found == this->runs.end() || found->second.status != 200) {
    return;
  }
  Run& run = found->second;
  run.last_heard = MonotonicNow();
  run.splitter.Add(bytes);
  http::StreamEvent event;
  while (run.splitter.Next(event)) {
    if (!this->TakeEvent(run, event)) {
      Log(LogLevel::kWarn, "item_event_out_of_order",
          {{"request", run.item.spec.id},
           {"last_event", run.last_event},
           {"event", event.id.value_or(0)}});
      this->Pause(run);
      run.not_before = MonotonicNow() + kAfterFailure;
      return;
    }
  }
}

/// Ids must follow each other without a gap; anything else is not this run's.
bool BatchRunner::TakeEvent(Run& run, const http::StreamEvent& event) {
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
  const bool whole = end == http::HttpEnd::kComplete && run.status == 200 &&
                     !run.splitter.HasPartialEvent() && run.any_event;
  if (whole) {
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
    run.phase = Phase::kPaused;
    run.since = MonotonicNow();
    run.not_before = run.since + kAfterFailure;
    run.splitter.Clear();
    this->desk.EndBatch();
  }
  this->Balance();
}

void BatchRunner::Finish(RunId id, Run& run, batches::ItemEnd end) {
  const routes::Route* route = this->table->FindKey(run.item.route_key);
  run.phase = Phase::kReporting;
  run.outcome.batch = run.item.batch;
  run.outcome.item = run.item.spec.id;
  run.outcome.end = static_cast<std::uint8_t>(end);
  run.outcome.max_attempts = route != nullptr ? route->max_attempts : 1;
  // Numbers of runs begin anew with each start of this process.
  run.outcome.run = Hash64(std::to_string(id), this->target.incarnation) | 1U;
  Log(LogLevel::kInfo, "item_ended",
      {{"request", run.item.spec.id},
       {"batch", run.item.batch},
       {"status", run.status},
       {"events", run.last_event},
       {"run", id}});
  if (end == batches::ItemEnd::kComplete) {
    this->LearnFrom(run);
    run.outcome.text = std::move(run.text);
  }
  this->desk.EndBatch();
  this->Report();
}

/// One report at a time; an item stays held until its report is acknowledged,
/// or the leader would hand it to another gate. Symptom guarded against: gates
/// that could not report for a moment fill the links to the leader. A report
/// that had failed was sent again at once, with all that had ended meanwhile,
/// so it grew with the load that it made. It is bounded, the rest goes with the
/// next, and a failure is followed by a pause.
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
    if (!reported.empty() && bytes > kMostReportBytes) {
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
    this->next_report = MonotonicNow() + this->report_pause;
    this->report_pause = std::min(2 * this->report_pause, kLongestReportPause);
    return;  // Tick reports again.
  }
  this->report_pause = kReportPause;
  for (const RunId id : reported) {
    this->runs.erase(id);
  }
  this->Report();
}

void BatchRunner::HandBack(Run& run) {
  this->to_return.push_back({{run.item.batch, run.item.spec.id},
                             {std::move(run.text), run.last_event}});
}

void BatchRunner::ReturnOldPauses(Time now) {
  this->EraseRuns([this, now](Run& run) {
    const Duration longest =
        this->Late(run) ? Duration(kLatePause) : Duration(kLongestPause);
    const bool old = run.phase == Phase::kPaused && now - run.since > longest;
    if (old) {
      this->HandBack(run);
    }
    return old;
  });
}

void BatchRunner::Stop() {
  this->stopping = true;
  this->HandBackAll();
  this->Pull();
}

void BatchRunner::HandBackAll() {
  this->EraseRuns([this](Run& run) {
    if (run.phase == Phase::kReporting) {
      return false;
    }
    this->Pause(run);
    this->HandBack(run);
    return true;
  });
}

}  // namespace papayarack::nodes
