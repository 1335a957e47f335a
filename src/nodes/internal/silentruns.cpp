#include <utility>

#include "global/logging.h"
#include "nodes/onlinerelay.h"
#include "placement/admission.h"

namespace papayarack::nodes {
namespace {

/// Pause between two searches beside one silent run. A search takes a few round
/// trips, and slots come free meanwhile.
constexpr std::chrono::milliseconds kSearchPause{500};
/// How long a silent run is kept while another replica may work on its request.
constexpr std::chrono::milliseconds kMaxKept{300};

}  // namespace

void OnlineRelay::OnSilent(CallId id) {
  Call& call = this->calls.at(id);
  const Time now = MonotonicNow();
  if (now < call.next_search) {
    return;
  }
  const bool first = call.next_search == Time{};
  call.next_search = now + kSearchPause;
  call.ran_at.insert(call.engine.address);
  const bool searches = this->MaySendAgain(call, now);
  if (first) {
    this->chooser.Failed(call.engine.address, now);
    this->metrics.Add("online_silent_runs_total");
    Log(LogLevel::kInfo, "run_silent",
        {{"request", call.fields.id},
         {"engine", call.engine.id},
         {"address", call.engine.address},
         {"last_event", call.response.LastEvent().value_or(0)},
         {"searches", searches}});
  }
  if (!searches) {
    return;
  }
  call.silent_run =
      SilentRun{call.engine, call.sent, call.attempt, std::nullopt};
  call.phase = Phase::kAsking;
  if (call.began.has_value()) {
    call.broken_at = now;
  }
  this->slots.SetAside(id);
  this->slots.Restart(id, call.engine.Start());
  this->FindSlot(id);
}

bool OnlineRelay::MaySendAgain(const Call& call, Time now) const {
  // Streams can be resumed after their last event, other answers cannot.
  const bool can_go_on = !call.head_sent || call.response.IsEvents();
  return call.ran_at.size() < call.route->max_attempts &&
         call.sends < kMaxSends && can_go_on &&
         now + placement::kMinRunTime <= call.deadline &&
         this->crash_detector.FindQuarantined(call.traits) == nullptr;
}

bool OnlineRelay::KeepsSilentRun(const Call& call) {
  return call.silent_run.has_value() && call.silent_run->kept.has_value();
}

bool OnlineRelay::Concerns(CallId id, std::uint64_t attempt) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return false;
  }
  Call& call = found->second;
  if (call.silent_run.has_value() && call.silent_run->attempt == attempt) {
    if (KeepsSilentRun(call)) {
      // The other replica may have begun to run it.
      call.ran_at.insert(call.engine.address);
    }
    this->ReturnToSilentRun(id);
  }
  return call.attempt == attempt;
}

void OnlineRelay::ReturnToSilentRun(CallId id) {
  Call& call = this->calls.at(id);
  if (!call.silent_run.has_value()) {
    return;
  }
  SilentRun run = *std::exchange(call.silent_run, std::nullopt);
  if (run.kept.has_value()) {
    if (call.engine_call != 0) {
      this->engines.Cancel(call.engine_call);
    }
    this->chooser.Ended(call.engine.address);
    call.engine_call = run.kept->engine_call;
    call.response = std::move(run.kept->response);
    this->partial_events.Set(id, call.response.HeldBytes());
    call.held_head = std::move(run.kept->held_head);
    call.run_survived = run.kept->run_survived;
    call.failed_status = false;
    call.next_search = MonotonicNow() + kSearchPause;
  }
  this->slots.TakeBack(id);
  call.engine = run.engine;
  call.sent = run.sent;
  call.attempt = run.attempt;
  call.phase = Phase::kRunning;
}

void OnlineRelay::KeepSilentRun(CallId id) {
  Call& call = this->calls.at(id);
  if (!call.silent_run.has_value()) {
    return;
  }
  call.silent_run->kept =
      KeptRun{std::exchange(call.engine_call, 0), call.response,
              std::exchange(call.held_head, std::nullopt), call.run_survived};
  // A caller without a response has nothing yet that could break off, so its
  // request need not hold two replicas.
  if (!call.head_sent) {
    this->EndSilentRun(id);
  }
}

void OnlineRelay::EndAttemptBesideSilentRun(CallId id, bool may_have_run) {
  Call& call = this->calls.at(id);
  const placement::EngineOption other = call.engine;
  Log(LogLevel::kInfo, "silent_run_kept",
      {{"request", call.fields.id},
       {"engine", call.silent_run->engine.id},
       {"other", other.id},
       {"other_status", call.response.Status()},
       {"other_may_have_run", may_have_run}});
  if (may_have_run) {
    call.ran_at.insert(other.address);
    this->chooser.Failed(other.address, MonotonicNow());
  }
  this->ReturnToSilentRun(id);
}

void OnlineRelay::EndSilentRun(CallId id) {
  Call& call = this->calls.at(id);
  const SilentRun run = *std::exchange(call.silent_run, std::nullopt);
  Log(LogLevel::kInfo, "run_broken",
      {{"request", call.fields.id},
       {"engine", run.engine.id},
       {"version", run.engine.software.version},
       {"address", run.engine.address},
       {"fingerprint", call.traits.front().id.ToString()},
       {"reason", "the engine fell silent"},
       {"last_event", run.kept->response.LastEvent().value_or(0)},
       {"resumable", call.route->MayRepeat()}});
  if (run.kept->engine_call != 0) {
    this->engines.Cancel(run.kept->engine_call);
  }
  this->chooser.Ended(run.engine.address);
  this->slots.ReleaseSetAside(id);
}

void OnlineRelay::CheckKeptRun(CallId id, Time now) {
  if (now - this->calls.at(id).sent > kMaxKept) {
    this->EndSilentRun(id);
  }
}

bool OnlineRelay::LoseKeptRun(CallId id, std::uint64_t attempt,
                              http::HttpEnd end) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end() || !KeepsSilentRun(found->second) ||
      found->second.silent_run->attempt != attempt ||
      end == http::HttpEnd::kComplete) {
    return false;
  }
  Call& call = found->second;
  SilentRun& run = *call.silent_run;
  run.kept->engine_call = 0;
  this->crash_detector.ConnectionBroke({call.fields.id, call.traits,
                                        run.engine.Start(),
                                        run.kept->response.run().began});
  this->EndSilentRun(id);
  return true;
}

}  // namespace papayarack::nodes
