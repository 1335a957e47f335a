#ifndef PAPAYARACK_NODES_BATCHRUNNER_H_
#define PAPAYARACK_NODES_BATCHRUNNER_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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
  /// No further items; runs are stopped and handed back.
  void Stop();
  /// Called every few tens of milliseconds.
  void Tick();
  std::size_t Held() const { return this->runs.size(); }

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
  void OnPulled(const Result& result, const std::string& body);
  std::vector<batches::ItemRef> Holding() const;
  std::uint32_t Room() const;
  std::uint32_t Replaceable() const;
  /// What a run still needs, by the runs that have ended here.
  Duration Remaining(const Run& run) const;
  /// Time to spare until it is due; below zero when it cannot be in time.
  Duration Slack(const Run& run, Time now) const;
  /// Slack, with late runs behind all others.
  Duration Urgency(const Run& run, Time now) const;
  bool Late(const Run& run) const;
  void LearnFrom(const Run& run);
  void ReplaceLate();
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
  std::uint32_t pulled_replaceable = 0;
  double events_per_item;
  double ms_per_event;
  Time next_pull{};
  std::vector<batches::ReturnedItem> to_return;
  bool reporting = false;
  bool stopping = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_BATCHRUNNER_H_
