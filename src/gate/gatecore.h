#ifndef PAPAYARACK_GATE_GATECORE_H_
#define PAPAYARACK_GATE_GATECORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gate/adaptivelimit.h"
#include "global/resultcode.h"
#include "global/timepoint.h"

namespace papayarack::gate {

/// Identifies a request or item within one gate.
using WorkId = std::uint64_t;

struct GateOptions {
  LimitOptions limit;
  std::size_t max_queue = 256;
  /// Adapt the limit to the times between tokens; plain services use the fixed
  /// max_concurrent.
  bool learns = true;
  /// Items pulled in advance, beyond those that run.
  std::size_t pull_ahead = 8;
  /// Minimum number of upstream steps between batch starts while online work
  /// runs. The prompt of an item lengthens the step that processes it and so
  /// delays a token of every answer in progress. If more than one step in
  /// twenty is delayed, the 95th percentile of the time between tokens rises.
  std::int64_t steps_per_batch_start = 20;
};

/// The properties of an online request that scheduling depends on.
struct OnlineWork {
  WorkId id = 0;
  std::string caller;
  Time deadline{};
  std::uint32_t urgency =
      0;  ///< Lower is more urgent: its kind's index in the document.
};

struct BatchWork {
  WorkId id = 0;
  Time due{};
};

/// Send this work to the upstream.
struct StartWork {
  WorkId id = 0;
};
/// Cancel this batch work at the upstream; the gate keeps it and restarts it
/// later.
struct PreemptBatch {
  WorkId id = 0;
};
/// Refuse the request, which has not run.
struct RefuseOnline {
  WorkId id = 0;
  Result result;
};
using GateAction = std::variant<StartWork, PreemptBatch, RefuseOnline>;

/// The scheduling logic of one gate: decides what runs at its upstream, what
/// waits and what is preempted. The rules: no batch work starts while online
/// work waits; an online request without a free place replaces batch work at
/// once; queues are bounded and requests are refused early. Uses no sockets,
/// clock, threads or randomness. Thread safety: none, event loop thread.
class GateCore {
 public:
  GateCore(const GateOptions& options, Time now);

  /// Methods that return actions list them in the order of execution.
  std::vector<GateAction> Online(const OnlineWork& work, Time now);
  std::vector<GateAction> Batch(const BatchWork& work, Time now);
  /// The upstream sent a token of this work.
  std::vector<GateAction> Token(WorkId id, Time now);
  /// The work ended at the upstream, with or without success.
  std::vector<GateAction> Ended(WorkId id, Time now);
  /// Cancels work whose caller disconnected or whose job was cancelled. Returns
  /// true if it was running; Ended must then still be called when it ends.
  bool Drop(WorkId id);
  std::vector<GateAction> Tick(Time now);

  void SetOptions(const GateOptions& options);
  /// Sets whether the upstream is reachable. While it is not, nothing starts
  /// and online requests are refused.
  std::vector<GateAction> SetUpstreamUp(bool up, Time now);
  /// Refuses all new work from now on; waiting and running work is finished.
  void BeginLeave() { this->leaving = true; }

  /// Number of further items to pull now.
  std::size_t BatchWanted(Time now) const;
  std::size_t RunningOnline() const { return this->running_online; }
  std::size_t RunningBatch() const {
    return this->running.size() - this->running_online;
  }
  std::size_t WaitingOnline() const { return this->waiting_count; }
  std::size_t WaitingBatch() const { return this->waiting_batch.size(); }
  std::size_t OnlineLimit() const;
  std::size_t SharedLimit() const;
  /// Predicted wait of a new online request.
  Duration PredictedWait() const;

 private:
  struct Running {
    bool online = false;
    Time started{};
    Time last_token{};
    std::uint32_t tokens = 0;
    bool dropped =
        false;  ///< Preempted or cancelled: no longer counts, ends later.
  };
  using CallerQueue = std::deque<OnlineWork>;
  /// Waiting online work of one urgency, served round robin by caller.
  struct UrgencyQueue {
    std::map<std::string, CallerQueue> by_caller;
    std::string last_served;
  };

  std::size_t Occupied() const {
    return this->running.size() - this->dropped_count;
  }
  void StartNow(WorkId id, bool online, Time now,
                std::vector<GateAction>& actions);
  bool PreemptOne(std::vector<GateAction>& actions);
  std::optional<OnlineWork> TakeNextOnline();
  void RefuseOverdue(Time now, std::vector<GateAction>& actions);
  void Fill(Time now, std::vector<GateAction>& actions);
  void FillBatch(Time now, std::vector<GateAction>& actions);
  Duration BatchStartInterval() const;
  bool RemoveWaiting(WorkId id);
  std::optional<Result> RefusalFor(const OnlineWork& work, Time now) const;

  GateOptions options;
  AdaptiveLimit limit;
  std::map<WorkId, Running> running;
  std::size_t running_online = 0;
  std::size_t dropped_count = 0;
  std::map<std::uint32_t, UrgencyQueue> waiting;
  std::size_t waiting_count = 0;
  std::multimap<Time, WorkId> waiting_batch;  ///< By due time.
  Time last_batch_start{};
  Duration mean_service{std::chrono::milliseconds(500)};
  bool upstream_up = true;
  bool leaving = false;
};

}  // namespace papayarack::gate

#endif  // PAPAYARACK_GATE_GATECORE_H_
