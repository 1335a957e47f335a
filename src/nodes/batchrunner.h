#ifndef PAPAYARACK_NODES_BATCHRUNNER_H_
#define PAPAYARACK_NODES_BATCHRUNNER_H_

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "batches/batchmessages.h"
#include "coordination/groupclient.h"
#include "http/eventsplitter.h"
#include "http/httpclient.h"
#include "nodes/dialect.h"
#include "routes/routetable.h"
#include "slots/slotdesk.h"

namespace papayarack::nodes {

/// The engine that a runner feeds.
struct RunnerTarget {
  std::string gate;  ///< Name of this process.
  std::uint64_t incarnation = 0;
  std::string service;
  std::string engine_address;
};

/// Runs batch items on one engine in the slots that online work leaves: pulls
/// them from the job group's leader, stops them when online work needs the
/// slot, goes on behind what they have made, reports how they ended. Thread
/// safety: none, the loop's thread.
class BatchRunner {
 public:
  /// Most bytes of one report, unless a single outcome has more. A gate has one
  /// report on its way, so this times the gates of a fleet is what its leader
  /// may have to take at once: 4.6 MB for 144.
  static constexpr std::size_t kMostReportBytes = 32U << 10U;
  /// An answer that the leader gave at once is here after this long: ten round
  /// trips between regions of one continent (20 ms each), or 200 KB at the pace
  /// of TransferTime. Doubled by each pull that was given up in vain, so that
  /// an answer of any size arrives in the end.
  static constexpr std::chrono::milliseconds kAnswerTime{200};
  /// The time stops growing here: the leader holds a pull for 1 s at most, and
  /// this leaves 0.6 s for its answer, as one attempt does.
  static constexpr std::chrono::milliseconds kLongestAnswerTime{1600};
  /// Most bytes of texts that one pull hands back, unless a single one has
  /// more: a quarter of a second on a link at the pace of TransferTime, within
  /// one attempt.
  static constexpr std::size_t kMostReturnBytes = 256U << 10U;
  /// Wait after the first report that failed; doubled by each further one. It
  /// keeps refusals that come at once from being met with copies at the pace of
  /// the link.
  static constexpr std::chrono::milliseconds kReportPause{100};
  /// The pause stops growing here: longer than an election (0.6 to 1.2 s) it
  /// would only delay results.
  static constexpr std::chrono::milliseconds kLongestReportPause{1600};

  BatchRunner(RunnerTarget target, const Dialect& dialect,
              http::HttpClient& engine, coordination::GroupClient& jobs,
              slots::SlotDesk& desk);
  ~BatchRunner();
  BatchRunner(const BatchRunner&) = delete;
  BatchRunner& operator=(const BatchRunner&) = delete;

  void SetRoutes(routes::RouteTablePtr table) {
    this->table = std::move(table);
  }
  /// The id of the engine; empty when it is not known.
  void SetEngine(std::string id) { this->engine_id = std::move(id); }
  /// The engine is another start of it. All runs are taken up again at once
  /// instead of when they have been silent for kSilence; one that was already
  /// sent to the new start loses the reading of its prompt.
  void EngineRestarted();
  /// Slots were taken or given back: preempts and starts runs accordingly.
  void Balance();
  /// Runs are stopped and handed back, but for those that wait to be reported.
  /// The next pull carries them.
  void HandBackAll();
  /// No further items; as HandBackAll, at once.
  void Stop();
  /// Called every few tens of milliseconds.
  void Tick();
  std::size_t Held() const { return this->runs.size(); }
  /// Whether the leader has taken back all that was handed back.
  bool Returned() const {
    return this->to_return.empty() && this->returning.empty();
  }

 private:
  enum class Phase { kPaused, kRunning, kReporting };
  struct Run {
    batches::LeasedItem item;
    std::string text;
    std::uint64_t last_event = 0;
    bool any_event = false;
    http::EventSplitter splitter;
    Phase phase = Phase::kPaused;
    http::HttpCallId call = 0;
    int status = 0;
    bool not_run = false;
    Time due{};                     ///< When its result is due.
    Time since{};                   ///< Start of the present phase.
    Time last_heard{};              ///< Last byte of the run.
    Time not_before{};              ///< No start before this, after a failure.
    std::uint64_t first_event = 0;  ///< Of the present connection.
    batches::ItemOutcome outcome;
  };
  using RunId = std::uint64_t;

  void Pull();
  /// Whether the answer to the pull under way can bring no items, and it hands
  /// nothing back.
  bool PullIsIdle() const;
  bool ShouldPull(Time now) const;
  void OnPulled(const Result& result, const std::string& body);
  void Take(batches::LeasedItem item);
  /// What the next pull hands back; it stays in `returning` until answered.
  void ChooseReturns();
  /// The pull under way may not have arrived: the next hands back again.
  void KeepReturns();
  std::vector<batches::ItemRef> Holding() const;
  std::uint32_t Room() const;
  /// What a run still needs, by the runs that have ended here.
  Duration Remaining(const Run& run) const;
  /// Time to spare until it is due; below zero when it cannot be in time.
  Duration Slack(const Run& run, Time now) const;
  /// Slack, with late runs behind all others.
  Duration Urgency(const Run& run, Time now) const;
  bool Late(const Run& run) const;
  void LearnFrom(const Run& run);
  void StartNext();
  void Start(RunId id, Run& run);
  void PreemptOne();
  void Pause(Run& run);
  void OnHead(RunId id, const http::HttpHead& head);
  void OnBody(RunId id, std::string_view bytes);
  bool TakeEvent(Run& run, const http::StreamEvent& event);
  void OnEnd(RunId id, http::HttpEnd end);
  void Finish(RunId id, Run& run, batches::ItemEnd end);
  void Report();
  void OnReported(const Result& result, std::span<const RunId> reported);
  void ReturnOldPauses(Time now);
  /// Forgets the runs for which `wanted` says yes; it may change them.
  template <typename Wanted>
  void EraseRuns(const Wanted& wanted) {
    for (auto run = this->runs.begin(); run != this->runs.end();) {
      run = wanted(run->second) ? this->runs.erase(run) : std::next(run);
    }
  }
  void HandBack(Run& run);

  RunnerTarget target;
  const Dialect& dialect;
  http::HttpClient& engine;
  coordination::GroupClient& jobs;
  slots::SlotDesk& desk;
  routes::RouteTablePtr table;
  std::string engine_id;
  std::map<RunId, Run> runs;
  RunId last_run = 0;
  std::uint64_t pull_call = 0;
  std::uint32_t pulled_room = 0;
  double events_per_item;
  double ms_per_event;
  Time next_pull{};
  Time pulled_at{};
  std::chrono::milliseconds answer_time = kAnswerTime;
  std::vector<batches::ReturnedItem> to_return;  ///< With a later pull.
  std::vector<batches::ReturnedItem> returning;  ///< With that under way.
  bool reporting = false;
  Time next_report{};
  std::chrono::milliseconds report_pause = kReportPause;
  bool stopping = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_BATCHRUNNER_H_
