#ifndef PAPAYARACK_NODES_BATCHRUNNER_H_
#define PAPAYARACK_NODES_BATCHRUNNER_H_

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "batches/batchmessages.h"
#include "coordination/groupclient.h"
#include "http/eventsplitter.h"
#include "http/httpclient.h"
#include "nodes/crashdetector.h"
#include "nodes/dialect.h"
#include "routes/routetable.h"
#include "slots/slotallocator.h"

namespace papayarack::nodes {

/// The engine that a runner sends items to.
struct RunnerTarget {
  std::string gate;  ///< Name of this process.
  std::uint64_t incarnation = 0;
  std::string service;
  std::string engine_address;
};

/// The replica that runs at a runner's engine address.
struct RunnerReplica {
  std::string id;  ///< Empty: none is known, so no items run.
  ReplicaSoftware software;
  std::uint64_t started_ms = 0;  ///< As in coordination::EngineInstance.
};

/// Runs batch items on one engine in the slots that online work leaves free:
/// pulls them from the job group's leader, preempts them when online work needs
/// the slot, resumes them after the last event received, and reports their
/// outcomes. Thread safety: none, the loop's thread.
class BatchRunner {
 public:
  /// Maximum bytes of one report, unless a single outcome has more. A gate has
  /// one report in flight, so this times the number of gates is what the leader
  /// may receive at once: 4.6 MB for 144.
  static constexpr std::size_t kMaxReportBytes = 32U << 10U;
  /// The answer to a pull that the leader does not delay arrives within this
  /// time: ten round trips between regions of one continent (20 ms each), or
  /// 200 KB at the rate of TransferTime. Doubled by each pull that was
  /// cancelled without an answer, so that an answer of any size arrives
  /// eventually.
  static constexpr std::chrono::milliseconds kAnswerTime{200};
  /// Upper bound of the answer time: the leader delays a pull by 1 s at most,
  /// which leaves 0.6 s for its answer, as in one attempt.
  static constexpr std::chrono::milliseconds kMaxAnswerTime{1600};
  /// Maximum bytes of texts that one pull returns, unless a single one has
  /// more: a quarter of a second on a link at the rate of TransferTime, within
  /// one attempt.
  static constexpr std::size_t kMaxReturnBytes = 256U << 10U;
  /// Backoff after the first failed report, doubled by each further failure.
  /// Without it, immediate refusals would cause repeated reports as fast as the
  /// link allows.
  static constexpr std::chrono::milliseconds kMinReportBackoff{100};
  /// Upper bound of the backoff: one longer than an election (0.6 to 1.2 s)
  /// would only delay results.
  static constexpr std::chrono::milliseconds kMaxReportBackoff{1600};

  /// Precondition: the arguments outlive it. `crash_detector` may be null: then
  /// crashes of the engine are not reported, and every item is run.
  BatchRunner(RunnerTarget target, const Dialect& dialect,
              http::HttpClient& engine, coordination::GroupClient& jobs,
              slots::SlotAllocator& allocator,
              CrashDetector* crash_detector = nullptr);
  ~BatchRunner();
  BatchRunner(const BatchRunner&) = delete;
  BatchRunner& operator=(const BatchRunner&) = delete;

  void SetRoutes(routes::RouteTablePtr table) {
    this->table = std::move(table);
  }
  void SetEngine(RunnerReplica now) { this->replica = std::move(now); }
  /// Sets what is called when another replica than the one set refuses an item
  /// and names itself.
  void SetOtherReplica(std::function<void(const std::string& id)> report) {
    this->other_replica = std::move(report);
  }
  /// The engine process has restarted. Resumes all runs at once instead of
  /// after kMaxSilence without data; a run that was already sent to the new
  /// process has to read its prompt again.
  void EngineRestarted();
  /// Preempts and starts runs after slots were taken or released.
  void Balance();
  /// Stops all runs and returns their items, except those waiting to be
  /// reported. The next pull carries them.
  void ReturnAll();
  /// Takes no further items and does the same as ReturnAll, at once.
  void Stop();
  /// Called every few tens of milliseconds.
  void Tick();
  std::size_t HeldCount() const { return this->runs.size(); }
  /// Whether the leader has acknowledged all returned items.
  bool AllReturned() const {
    return this->to_return.empty() && this->returning.empty();
  }

 private:
  enum class Phase { kPaused, kRunning, kReporting };
  struct Run {
    batches::LeasedItem item;
    std::string text;
    std::uint64_t last_event = 0;
    bool any_event = false;
    ReplicaSoftware software;  ///< Of the replicas that wrote `text`.
    http::EventSplitter splitter;
    Phase phase = Phase::kPaused;
    http::HttpCallId call = 0;
    int status = 0;
    bool not_run = false;
    Time due{};            ///< Deadline of its result.
    Time since{};          ///< Start of the current phase.
    Time last_heard{};     ///< When its last byte came.
    Time last_block{};     ///< When its last complete block came, or its head.
    Time last_event_at{};  ///< When its text grew, or its head came.
    std::size_t ignored_bytes = 0;   ///< Of a refusal's or failure's body.
    std::size_t unframed_bytes = 0;  ///< Since the last event.
    Time not_before{};               ///< No start before this, after a failure.
    /// Start of the pause, or of the first of several between which no event
    /// came.
    Time idle_since{};
    std::uint64_t first_event = 0;  ///< Of the current connection.
    std::vector<quarantine::Trait> traits;
    std::optional<Time> run_began;  ///< First byte on the current connection.
    bool run_survived = false;      ///< Noted for the current connection.
    batches::ItemOutcome outcome;
  };
  using RunId = std::uint64_t;

  void Pull();
  /// Whether the pull in flight asked for no items and returns none.
  bool PullIsIdle() const;
  bool ShouldPull(Time now) const;
  void OnPulled(const Result& result, const std::string& body);
  void Take(batches::LeasedItem item);
  /// Moves the items for the next pull from `to_return` to `returning`, where
  /// they stay until it is answered.
  void SelectReturns();
  /// Moves the items of the pull in flight back to `to_return`, as that pull
  /// may not have arrived.
  void RequeueReturns();
  std::vector<batches::ItemRef> HeldItems() const;
  std::uint32_t Room() const;
  /// Estimated time to finish, from the runs that have ended here.
  Duration Remaining(const Run& run) const;
  /// Time left until the item is due after its estimated run; negative when it
  /// will be late.
  Duration Slack(const Run& run, Time now) const;
  /// Slack, but late runs sort after all others.
  Duration Urgency(const Run& run, Time now) const;
  bool Late(const Run& run) const;
  /// Time that a whole item takes here; zero before any has run.
  std::chrono::milliseconds WholeRunTime() const;
  void UpdateEstimates(const Run& run);
  /// Learns from a run that has ended or is preempted how long an event takes.
  void UpdateSpeed(const Run& run);
  void StartNext();
  void Start(RunId id, Run& run);
  void DropTextOfOtherSoftware(Run& run) const;
  /// Whether the item must not run, as it or a part of its prompt crashes
  /// replicas.
  bool IsQuarantined(const Run& run) const;
  void NoteSurvival(Run& run);
  void NoteBreak(const Run& run);
  void PreemptOne();
  void Pause(Run& run);
  static void BeginPause(Run& run);
  void OnHead(RunId id, const http::HttpHead& head);
  void OnBody(RunId id, std::string_view bytes);
  bool AppendEvent(Run& run, const http::StreamEvent& event);
  /// Whether nothing that its replica sends has brought the run further for too
  /// long.
  static bool IsSilent(const Run& run, Time now);
  /// Ends a run whose replica sends bytes beyond the limits.
  void Cut(RunId id, const char* reason);
  void OnEnd(RunId id, http::HttpEnd end);
  void Finish(RunId id, Run& run, batches::ItemEnd end);
  void Report();
  void OnReported(const Result& result, std::span<const RunId> reported);
  /// Pause after which the item is returned.
  Duration MaxPause(const Run& run) const;
  void ReturnLongPaused(Time now);
  /// Erases the runs for which `predicate` returns true; it may modify them.
  template <typename Predicate>
  void EraseRuns(const Predicate& predicate) {
    for (auto run = this->runs.begin(); run != this->runs.end();) {
      run = predicate(run->second) ? this->runs.erase(run) : std::next(run);
    }
  }
  void ReturnItem(Run& run);

  RunnerTarget target;
  const Dialect& dialect;
  http::HttpClient& engine;
  coordination::GroupClient& jobs;
  slots::SlotAllocator& allocator;
  CrashDetector* crash_detector;
  routes::RouteTablePtr table;
  RunnerReplica replica;
  std::function<void(const std::string&)> other_replica;
  std::map<RunId, Run> runs;
  RunId last_run = 0;
  std::uint64_t pull_call = 0;
  std::uint32_t pulled_room = 0;
  double events_per_item;
  double ms_per_event;
  bool speed_known = false;  ///< `ms_per_event` was measured.
  Time next_pull{};
  Time pulled_at{};
  std::chrono::milliseconds answer_time = kAnswerTime;
  std::vector<batches::ReturnedItem> to_return;  ///< For a later pull.
  std::vector<batches::ReturnedItem> returning;  ///< In the pull in flight.
  bool reporting = false;
  Time next_report{};
  std::chrono::milliseconds report_backoff = kMinReportBackoff;
  bool stopping = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_BATCHRUNNER_H_
