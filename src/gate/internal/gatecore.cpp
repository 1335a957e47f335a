#include "gate/gatecore.h"

#include <algorithm>
#include <cmath>

namespace papayarack::gate {
namespace {

constexpr double kServiceSmoothing = 0.1;
constexpr std::int64_t kOnlineForFullInterval = 4;

}  // namespace

GateCore::GateCore(const GateOptions& options, Time now)
    : options(options), limit(options.limit, now) {}

void GateCore::SetOptions(const GateOptions& changed) {
  this->options = changed;
  this->limit.SetOptions(changed.limit);
}

std::size_t GateCore::OnlineLimit() const {
  return this->options.learns ? this->limit.Online()
                              : this->options.limit.max_concurrent;
}

std::size_t GateCore::SharedLimit() const {
  return this->options.learns ? this->limit.Shared()
                              : this->options.limit.max_concurrent;
}

Duration GateCore::PredictedWait() const {
  const std::size_t limit_now = std::max<std::size_t>(1, this->OnlineLimit());
  if (this->running_online < limit_now) {
    return Duration(0);
  }
  const double rounds = static_cast<double>(this->waiting_count + 1) /
                        static_cast<double>(limit_now);
  return Duration(static_cast<std::int64_t>(
      rounds * static_cast<double>(this->mean_service.count())));
}

std::optional<Result> GateCore::RefusalFor(const OnlineWork& work,
                                           Time now) const {
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->PredictedWait());
  if (this->leaving) {
    return Result{ResultCode::kLeaving, "the gate is leaving", {}};
  }
  if (!this->upstream_up) {
    return Result{ResultCode::kNoUpstream, "the upstream is not reachable", {}};
  }
  if (now >= work.deadline) {
    return Result{
        ResultCode::kDeadlineBeforeStart, "the deadline has passed", {}};
  }
  const bool queue_full = this->waiting_count >= this->options.max_queue;
  const bool must_wait = this->running_online >= this->OnlineLimit();
  // A request whose wait would exceed the deadline is refused now, while the
  // caller can still try elsewhere.
  const bool too_late =
      must_wait && now + this->PredictedWait() >= work.deadline;
  if ((must_wait && queue_full) || too_late) {
    return Result{
        ResultCode::kOverloaded,
        queue_full ? "the queue is full" : "the wait would pass the deadline",
        std::max(wait, std::chrono::milliseconds(50))};
  }
  return std::nullopt;
}

std::vector<GateAction> GateCore::Online(const OnlineWork& work, Time now) {
  std::vector<GateAction> actions;
  if (const auto refusal = this->RefusalFor(work, now)) {
    actions.emplace_back(RefuseOnline{work.id, *refusal});
    return actions;
  }
  this->waiting[work.urgency].by_caller[work.caller].push_back(work);
  ++this->waiting_count;
  this->Fill(now, actions);
  return actions;
}

std::vector<GateAction> GateCore::Batch(const BatchWork& work, Time now) {
  std::vector<GateAction> actions;
  this->waiting_batch.insert({work.due, work.id});
  this->Fill(now, actions);
  return actions;
}

void GateCore::StartNow(WorkId id, bool online, Time now,
                        std::vector<GateAction>& actions) {
  Running run;
  run.online = online;
  run.started = now;
  run.last_token = now;
  this->running[id] = run;
  this->running_online += online ? 1 : 0;
  actions.emplace_back(StartWork{id});
}

/// Preempts the running batch work with the fewest tokens, which loses the
/// least.
bool GateCore::PreemptOne(std::vector<GateAction>& actions) {
  auto victim = this->running.end();
  for (auto run = this->running.begin(); run != this->running.end(); ++run) {
    const bool candidate = !run->second.online && !run->second.dropped;
    if (candidate && (victim == this->running.end() ||
                      run->second.tokens < victim->second.tokens)) {
      victim = run;
    }
  }
  if (victim == this->running.end()) {
    return false;
  }
  victim->second.dropped = true;
  ++this->dropped_count;
  actions.emplace_back(PreemptBatch{victim->first});
  return true;
}

std::optional<OnlineWork> GateCore::TakeNextOnline() {
  for (auto& [urgency, queue] : this->waiting) {
    if (queue.by_caller.empty()) {
      continue;
    }
    auto next = queue.by_caller.upper_bound(queue.last_served);
    next = next == queue.by_caller.end() ? queue.by_caller.begin() : next;
    OnlineWork work = std::move(next->second.front());
    next->second.pop_front();
    queue.last_served = next->first;
    if (next->second.empty()) {
      queue.by_caller.erase(next);
    }
    --this->waiting_count;
    return work;
  }
  return std::nullopt;
}

void GateCore::RefuseOverdue(Time now, std::vector<GateAction>& actions) {
  for (auto& [urgency, queue] : this->waiting) {
    for (auto& [caller, line] : queue.by_caller) {
      const std::size_t removed =
          std::erase_if(line, [&](const OnlineWork& work) {
            const bool overdue = now >= work.deadline;
            if (overdue) {
              actions.emplace_back(
                  RefuseOnline{work.id,
                               {ResultCode::kDeadlineBeforeStart,
                                "the deadline passed in the queue",
                                {}}});
            }
            return overdue;
          });
      this->waiting_count -= removed;
    }
    std::erase_if(queue.by_caller,
                  [](const auto& entry) { return entry.second.empty(); });
  }
}

void GateCore::Fill(Time now, std::vector<GateAction>& actions) {
  this->RefuseOverdue(now, actions);
  if (!this->upstream_up) {
    return;
  }
  while (this->waiting_count > 0 &&
         this->running_online < this->OnlineLimit()) {
    // Online work never waits behind batch work: within the online limit it
    // starts now. Batch work above the shared limit is preempted, without
    // waiting for its end.
    while (this->Occupied() >= this->SharedLimit() &&
           this->PreemptOne(actions)) {
    }
    const std::optional<OnlineWork> next = this->TakeNextOnline();
    this->StartNow(next->id, true, now, actions);
  }
  this->FillBatch(now, actions);
}

void GateCore::FillBatch(Time now, std::vector<GateAction>& actions) {
  if (this->waiting_count > 0) {
    return;
  }
  while (!this->waiting_batch.empty() &&
         this->Occupied() < this->SharedLimit()) {
    const bool throttled = this->running_online > 0;
    if (throttled &&
        now - this->last_batch_start < this->BatchStartInterval()) {
      return;
    }
    const auto first = this->waiting_batch.begin();
    if (this->running.count(first->second) > 0) {
      return;  // It was preempted and has not yet ended at the upstream.
    }
    this->last_batch_start = now;
    const WorkId id = first->second;
    this->waiting_batch.erase(first);
    this->StartNow(id, false, now, actions);
  }
}

/// Minimum time between batch starts. It is shorter while few online requests
/// run here: they are a small part of all online answers of the service, so
/// items may delay them more often.
Duration GateCore::BatchStartInterval() const {
  const std::int64_t online = std::min(
      static_cast<std::int64_t>(this->running_online), kOnlineForFullInterval);
  return this->limit.Baseline() * this->options.steps_per_batch_start * online /
         kOnlineForFullInterval;
}

std::vector<GateAction> GateCore::Token(WorkId id, Time now) {
  std::vector<GateAction> actions;
  const auto run = this->running.find(id);
  if (run == this->running.end()) {
    return actions;
  }
  run->second.tokens += 1;
  if (run->second.tokens > 1) {
    this->limit.OnToken(now - run->second.last_token, this->Occupied(), now);
  }
  run->second.last_token = now;
  return actions;
}

std::vector<GateAction> GateCore::Ended(WorkId id, Time now) {
  std::vector<GateAction> actions;
  const auto run = this->running.find(id);
  if (run != this->running.end()) {
    if (run->second.online) {
      const auto took =
          static_cast<double>((now - run->second.started).count());
      const auto mean = static_cast<double>(this->mean_service.count());
      this->mean_service = Duration(
          static_cast<std::int64_t>(mean + (took - mean) * kServiceSmoothing));
      --this->running_online;
    }
    this->dropped_count -= run->second.dropped ? 1 : 0;
    this->running.erase(run);
  }
  this->Fill(now, actions);
  return actions;
}

bool GateCore::RemoveWaiting(WorkId id) {
  const auto batch = std::ranges::find(
      this->waiting_batch, id, [](const auto& entry) { return entry.second; });
  if (batch != this->waiting_batch.end()) {
    this->waiting_batch.erase(batch);
    return true;
  }
  for (auto& [urgency, queue] : this->waiting) {
    for (auto& [caller, line] : queue.by_caller) {
      const auto position = std::ranges::find(line, id, &OnlineWork::id);
      if (position != line.end()) {
        line.erase(position);
        --this->waiting_count;
        if (line.empty()) {
          queue.by_caller.erase(caller);
        }
        return true;
      }
    }
  }
  return false;
}

bool GateCore::Drop(WorkId id) {
  this->RemoveWaiting(id);
  const auto run = this->running.find(id);
  if (run == this->running.end()) {
    return false;
  }
  if (!run->second.dropped) {
    run->second.dropped = true;
    ++this->dropped_count;
  }
  return true;
}

std::vector<GateAction> GateCore::Tick(Time now) {
  std::vector<GateAction> actions;
  this->limit.Tick(this->Occupied(), now);
  this->Fill(now, actions);
  return actions;
}

std::vector<GateAction> GateCore::SetUpstreamUp(bool up, Time now) {
  std::vector<GateAction> actions;
  this->upstream_up = up;
  if (!up) {
    // Waiting work has not run: refusing it now lets the entry try elsewhere
    // before the deadline.
    while (const std::optional<OnlineWork> work = this->TakeNextOnline()) {
      actions.emplace_back(RefuseOnline{
          work->id, {ResultCode::kNoUpstream, "the upstream went away", {}}});
    }
  }
  this->Fill(now, actions);
  return actions;
}

std::size_t GateCore::BatchWanted(Time /*now*/) const {
  if (this->leaving || !this->upstream_up || this->waiting_count > 0) {
    return 0;
  }
  // Items start so rarely while online work runs that a few are enough; more
  // would wait here although other gates could run them.
  const bool throttled = this->running_online > 0;
  if (throttled && this->waiting_batch.size() >= this->options.pull_ahead) {
    return 0;
  }
  const std::size_t wanted = this->SharedLimit() + this->options.pull_ahead;
  const std::size_t have = this->Occupied() + this->waiting_batch.size();
  const std::size_t more = wanted > have ? wanted - have : 0;
  return throttled ? std::min(more, this->options.pull_ahead) : more;
}

}  // namespace papayarack::gate
