#ifndef PAPAYARACK_GATE_GATECORE_H_
#define PAPAYARACK_GATE_GATECORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gate/learnedlimit.h"
#include "global/resultcode.h"
#include "global/timepoint.h"

namespace papayarack::gate {

/// Names one request or item at one gate.
using WorkId = std::uint64_t;

struct GateOptions {
  LimitOptions limit;
  std::size_t max_queue = 256;
  /// Learn the limit from tokens; plain services use max_concurrent as it
  /// stands.
  bool learns = true;
  /// How far ahead items are pulled, beyond what runs.
  std::size_t pull_ahead = 8;
  /// While online work runs, one batch start in so many steps of the upstream.
  /// The prompt of an item lengthens the step that takes it in, for every
  /// answer in progress: beyond one step in twenty the 95th percentile of the
  /// time between tokens shows it.
  std::int64_t steps_per_batch_start = 20;
};

/// An online request as the decisions see it.
struct OnlineWork {
  WorkId id = 0;
  std::string caller;
  Time deadline{};
  std::uint32_t urgency =
      0;  ///< Smaller first; the place of its kind in the document.
};

struct BatchWork {
  WorkId id = 0;
  Time due{};
};

/// Send this work to the upstream now.
struct StartWork {
  WorkId id = 0;
};
/// Take this batch work off the upstream; it stays with the gate and starts
/// again later.
struct PreemptBatch {
  WorkId id = 0;
};
/// Tell the caller; certainly not run.
struct RefuseOnline {
  WorkId id = 0;
  Result result;
};
using GateAction = std::variant<StartWork, PreemptBatch, RefuseOnline>;

/// All decisions of one gate: what runs at its upstream, what waits, what steps
/// aside. The rules: no batch work starts while online work waits; an online
/// request that finds no room takes the place of batch work at once; queues are
/// bounded and refusals are early. No sockets, clock, threads or randomness.
/// Thread safety: none, the deciding thread.
class GateCore {
 public:
  GateCore(const GateOptions& options, Time now);

  /// Each of these returns what to do now, in order.
  std::vector<GateAction> Online(const OnlineWork& work, Time now);
  std::vector<GateAction> Batch(const BatchWork& work, Time now);
  /// A token came from the upstream for this work.
  std::vector<GateAction> Token(WorkId id, Time now);
  /// The work ended at the upstream, well or badly.
  std::vector<GateAction> Ended(WorkId id, Time now);
  /// The work must not go on: its caller is gone or its job was cancelled. The
  /// upstream's end of it, if it ran, is still to be reported by Ended. True
  /// when it was running.
  bool Drop(WorkId id);
  std::vector<GateAction> Tick(Time now);

  void SetOptions(const GateOptions& options);
  /// Upstream reachable or not; while not, nothing starts and online requests
  /// are refused.
  std::vector<GateAction> SetUpstreamUp(bool up, Time now);
  /// From now on everything new is refused; what waits and runs is finished.
  void BeginLeave() { this->leaving = true; }

  /// How many more items are worth pulling now.
  std::size_t BatchWanted(Time now) const;
  std::size_t RunningOnline() const { return this->running_online; }
  std::size_t RunningBatch() const {
    return this->running.size() - this->running_online;
  }
  std::size_t WaitingOnline() const { return this->waiting_count; }
  std::size_t WaitingBatch() const { return this->waiting_batch.size(); }
  std::size_t OnlineLimit() const;
  std::size_t SharedLimit() const;
  /// Predicted wait of an online request that comes now.
  Duration PredictedWait() const;

 private:
  struct Running {
    bool online = false;
    Time started{};
    Time last_token{};
    std::uint32_t tokens = 0;
    bool dropped =
        false;  ///< Preempted or dropped: leaves its place at once, ends later.
  };
  using CallerQueue = std::deque<OnlineWork>;
  /// Waiting online work of one urgency: round robin over callers.
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
  Duration BatchStartPace() const;
  bool RemoveWaiting(WorkId id);
  std::optional<Result> RefusalFor(const OnlineWork& work, Time now) const;

  GateOptions options;
  LearnedLimit limit;
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
