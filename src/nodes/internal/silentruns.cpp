#include <utility>

#include "global/logging.h"
#include "nodes/onlinerelay.h"
#include "placement/admission.h"

namespace papayarack::nodes {
namespace {

/// Pause between two searches beside one silent run. A search takes a few round
/// trips, and slots come free meanwhile.
constexpr std::chrono::milliseconds kSearchPause{500};

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
  call.silent_run = SilentRun{call.engine, call.sent};
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

void OnlineRelay::ReturnToSilentRun(CallId id) {
  Call& call = this->calls.at(id);
  if (!call.silent_run.has_value()) {
    return;
  }
  const SilentRun run = *std::exchange(call.silent_run, std::nullopt);
  this->slots.TakeBack(id);
  call.engine = run.engine;
  call.sent = run.sent;
  call.phase = Phase::kRunning;
}

void OnlineRelay::EndSilentRun(CallId id) {
  Call& call = this->calls.at(id);
  if (!call.silent_run.has_value()) {
    return;
  }
  const SilentRun run = *std::exchange(call.silent_run, std::nullopt);
  Log(LogLevel::kInfo, "run_broken",
      {{"request", call.fields.id},
       {"engine", run.engine.id},
       {"version", run.engine.software.version},
       {"address", run.engine.address},
       {"fingerprint", call.traits.front().id.ToString()},
       {"reason", "the engine fell silent"},
       {"last_event", call.response.LastEvent().value_or(0)},
       {"resumable", call.route->MayRepeat()}});
  this->engines.Cancel(std::exchange(call.engine_call, 0));
  this->chooser.Ended(run.engine.address);
  this->slots.ReleaseSetAside(id);
  call.held_head.reset();
}

}  // namespace papayarack::nodes
