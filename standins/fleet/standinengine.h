#ifndef PAPAYARACK_STANDINS_FLEET_STANDINENGINE_H_
#define PAPAYARACK_STANDINS_FLEET_STANDINENGINE_H_

#include <asio.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/coordinationmessages.h"
#include "global/timepoint.h"
#include "http/httpserver.h"

/// Stand-ins for the platform services that papayarack uses, written from their
/// published protocol: a model engine and the replica list. For tests and the
/// soak test.
namespace papayarack::standins {

struct StandInEngineOptions {
  Endpoint listen;
  std::string id;
  std::uint32_t slots = 8;
  std::uint64_t events = 20;  ///< Events per response.
  std::chrono::milliseconds event_time{5};
  std::uint64_t started_ms = 0;  ///< Start time in reports; zero: omitted.
  /// Admits runs beyond its slots, like engines with an internal queue;
  /// otherwise refuses them.
  bool admits_all = false;
  /// Runs at once; more requests wait, without a response, in the engine's own
  /// queue. Zero: all that are admitted run at once.
  std::uint32_t runs_at_once = 0;
  /// Version of its software, which each event's text names.
  std::string version = "v1";
  /// Padding of each event of a path that begins with `large_prefix`.
  std::size_t large_bytes = 0;
  std::string large_prefix = "/large/";
  /// Number of upcoming runs to abort in the middle.
  std::uint64_t cut_next = 0;
};

/// A run recorded by the engine.
struct SeenRun {
  std::string request;
  std::string path;
  std::uint64_t from = 0;  ///< First event produced.
  bool whole = false;
  std::string prompt = {};  ///< Parts of its prompt, as sent.
  std::string organisation = {};
  bool has_key = false;  ///< The caller's key was passed on.
  Time arrived{};
};

/// How the answers of a crashing engine end.
enum class CrashKind : std::uint8_t {
  kReset,    ///< With their connections, not in order.
  kOrderly,  ///< Inside an event, in order; the port refuses a moment later.
};

/// Streams `id: n`, `data: PATH-n-VERSION`, resumes after Last-Event-Id, and
/// refuses requests for another instance id or without a free slot. A run waits
/// while over 1 MB of its events are unread. Thread safety: none; use it on the
/// event loop's thread.
class StandInEngine {
 public:
  StandInEngine(asio::io_context& context, StandInEngineOptions options);
  ~StandInEngine();
  StandInEngine(const StandInEngine&) = delete;
  StandInEngine& operator=(const StandInEngine&) = delete;

  const std::vector<SeenRun>& runs() const { return this->seen; }
  std::uint64_t max_concurrent_runs() const { return this->max_running; }
  /// Longest continuous time with more runs than slots.
  Duration longest_overload() const { return this->longest_overload_time; }
  void CutNext(std::uint64_t runs) { this->options.cut_next = runs; }
  /// The next requests are refused, as those of a full engine are.
  void RefuseNext(std::uint64_t requests) { this->refuse_next = requests; }
  /// The connections of the next requests end without a response.
  void AbortNext(std::uint64_t requests) { this->abort_next = requests; }
  /// Delays the response to each report request.
  void DelayReports(std::chrono::milliseconds delay) {
    this->report_delay = delay;
  }
  /// Discards all runs and answers no request any more, but keeps all
  /// connections open.
  void StopResponding();
  /// Restarts under the same id with start time `started_ms`. Earlier requests
  /// are never answered.
  void Restart(std::uint64_t started_ms);
  /// From now on reports state `born` in place of the start time, a JSON text
  /// which need not be a whole number.
  void StateBorn(std::string born) { this->stated_born = std::move(born); }
  /// Changes the speed of the current and later runs.
  void SetEventTime(std::chrono::milliseconds time) {
    this->options.event_time = time;
  }
  /// From now on each run of `path` crashes the engine shortly after the run
  /// began, losing all runs; the engine restarts after `down_for`.
  void CrashOn(std::string path, std::chrono::milliseconds down_for,
               CrashKind kind = CrashKind::kReset);
  /// The same for each run whose prompt has the part `part`.
  void CrashOnPart(std::string part, std::chrono::milliseconds down_for,
                   CrashKind kind = CrashKind::kReset);
  /// Runs whose prompt has the part.
  std::size_t RunsWithPart(std::string_view part) const;
  /// From now on each start gets a new id, as on a platform where the id is
  /// known only from the replica list.
  void ChangeIdAtStart() { this->changes_id = true; }
  const std::string& id() const { return this->options.id; }
  const std::string& version() const { return this->options.version; }
  std::size_t running_count() const { return this->running.size(); }
  std::size_t waiting_count() const { return this->waiting.size(); }
  /// Ends like a crashed process: breaks off all runs and refuses connections.
  void Stop();
  /// Starts after Stop as replica `id` with software `version`.
  void Start(std::string id, std::string version);
  std::size_t crashes() const { return this->crash_count; }
  /// The complete response text for `path`, one line per event.
  static std::string ExpectedText(const std::string& path, std::uint64_t events,
                                  const std::string& version = "v1");

 private:
  struct Run {
    std::size_t number = 0;
    std::string path;
    std::uint64_t next = 1;
    bool cut = false;
  };
  void Listen();
  void Crash();
  void CrashOrderly();
  bool RunsCrashingRequest() const;
  void OnRequest(http::ExchangeId exchange, const http::HttpRequest& request);
  void Report(http::ExchangeId exchange);
  void ReportLater(http::ExchangeId exchange);
  void Refuse(http::ExchangeId exchange, int status);
  void Begin(http::ExchangeId exchange, const http::HttpRequest& request);
  void BeginWaiting();
  void Step();
  void TrackOverload();

  StandInEngineOptions options;
  std::unique_ptr<http::HttpServer> server;
  std::map<http::ExchangeId, Run> running;
  std::map<http::ExchangeId, http::HttpRequest> waiting;  ///< Oldest first.
  std::vector<SeenRun> seen;
  std::uint64_t max_running = 0;
  Time overloaded_since{};  ///< Zero unless it has more runs than slots.
  Duration longest_overload_time{0};
  bool unresponsive = false;
  std::chrono::milliseconds report_delay{0};
  std::uint64_t refuse_next = 0;
  std::uint64_t abort_next = 0;
  std::string stated_born;  ///< Empty: the start time.
  std::string crash_path;   ///< Empty: none.
  std::string crash_part;   ///< Empty: none.
  CrashKind crash_kind = CrashKind::kReset;
  std::chrono::milliseconds down_time{0};
  std::size_t crash_count = 0;
  bool changes_id = false;
  asio::io_context& context;
  asio::steady_timer timer;
  asio::steady_timer restart;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// Serves the replica list, two entries per page.
class StandInList {
 public:
  StandInList(asio::io_context& context, const Endpoint& listen,
              std::vector<coordination::EngineInstance> engines);
  StandInList(const StandInList&) = delete;
  StandInList& operator=(const StandInList&) = delete;

  /// Marks the engine as draining in subsequent reads of the list.
  void Drain(const std::string& id);
  /// Changes the id at the address in subsequent reads of the list.
  void Rename(const std::string& address, const std::string& id);
  /// Lists another replica at the address in subsequent reads of the list.
  void Replace(const std::string& address, const std::string& id,
               const std::string& version);
  /// States the start of the replica at the address in subsequent reads of the
  /// list.
  void StateStart(const std::string& address, std::uint64_t started_ms);
  /// Adds a replica to subsequent reads of the list.
  void Add(const coordination::EngineInstance& engine) {
    this->engines.push_back(engine);
  }
  /// Removes the replicas of `version` from subsequent reads of the list.
  void RemoveVersion(const std::string& version);

 private:
  void OnRequest(http::ExchangeId exchange, const http::HttpRequest& request);

  std::vector<coordination::EngineInstance> engines;
  std::unique_ptr<http::HttpServer> server;
};

}  // namespace papayarack::standins

#endif  // PAPAYARACK_STANDINS_FLEET_STANDINENGINE_H_
