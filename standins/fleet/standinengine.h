#ifndef PAPAYARACK_STANDINS_FLEET_STANDINENGINE_H_
#define PAPAYARACK_STANDINS_FLEET_STANDINENGINE_H_

#include <asio.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/coordinationmessages.h"
#include "global/timepoint.h"
#include "http/httpserver.h"

/// Small stand-ins for what papayarack meets on a platform, written from its
/// published protocol: a model engine and the list of replicas. For tests and
/// the soak.
namespace papayarack::standins {

struct StandInEngineOptions {
  Endpoint listen;
  std::string id;
  std::uint32_t slots = 8;
  std::uint64_t events = 20;  ///< Of each answer.
  std::chrono::milliseconds event_time{5};
  std::uint64_t started_ms = 0;  ///< Told in its reports; zero: not told.
  /// Admits runs beyond its slots, as engines do that keep a queue of their
  /// own; otherwise it refuses them.
  bool admits_all = false;
  /// So many of the next runs are cut in the middle.
  std::uint64_t cut_next = 0;
};

/// One run as the engine saw it.
struct SeenRun {
  std::string request;
  std::string path;
  std::uint64_t from = 0;  ///< First event it made.
  bool whole = false;
};

/// Streams `id: n`, `data: PATH-n`, resumes behind Last-Event-Id, refuses what
/// is meant for another start of it or finds no slot. Thread safety: none, the
/// loop's thread.
class StandInEngine {
 public:
  StandInEngine(asio::io_context& context, StandInEngineOptions options);
  ~StandInEngine();
  StandInEngine(const StandInEngine&) = delete;
  StandInEngine& operator=(const StandInEngine&) = delete;

  const std::vector<SeenRun>& runs() const { return this->seen; }
  std::uint64_t most_at_once() const { return this->most_running; }
  /// For how long without a break it had more runs than slots, at most.
  Duration longest_overfull() const { return this->longest_over; }
  void CutNext(std::uint64_t runs) { this->options.cut_next = runs; }
  /// Each report is answered so much later.
  void DelayReports(std::chrono::milliseconds delay) {
    this->report_delay = delay;
  }
  /// Its runs are lost and nothing is answered any more, but all connections
  /// stay open.
  void GoDark();
  /// Starts again under the same id at `started_ms`. What was asked before is
  /// never answered.
  void StartAgain(std::uint64_t started_ms);
  /// From now on each run of `path` ends this process soon after it began, with
  /// all that it runs; it starts again `down_for` later.
  void CrashOn(std::string path, std::chrono::milliseconds down_for);
  /// From now on each start has an id of its own, as on a platform where only
  /// the list tells it.
  void RenameAtStart() { this->renames = true; }
  const std::string& id() const { return this->options.id; }
  std::size_t crashes() const { return this->crash_count; }
  /// What the whole answer to `path` is, one line an event.
  static std::string TextOf(const std::string& path, std::uint64_t events);

 private:
  struct Run {
    std::size_t number = 0;
    std::string path;
    std::uint64_t next = 1;
    bool cut = false;
  };
  void Listen();
  void Crash();
  bool RunsCrasher() const;
  void OnRequest(http::ExchangeId exchange, const http::HttpRequest& request);
  void Report(http::ExchangeId exchange);
  void ReportLater(http::ExchangeId exchange);
  void Refuse(http::ExchangeId exchange, int status);
  void Step();
  void NoteOverfull();

  StandInEngineOptions options;
  std::unique_ptr<http::HttpServer> server;
  std::map<http::ExchangeId, Run> running;
  std::vector<SeenRun> seen;
  std::uint64_t most_running = 0;
  Time over_since{};  ///< Zero while it has no more runs than slots.
  Duration longest_over{0};
  bool dark = false;
  std::chrono::milliseconds report_delay{0};
  std::string crash_path;  ///< Empty: none.
  std::chrono::milliseconds down_time{0};
  std::size_t crash_count = 0;
  bool renames = false;
  asio::io_context& context;
  asio::steady_timer timer;
  asio::steady_timer restart;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// Answers the list of replicas, two on each page.
class StandInList {
 public:
  StandInList(asio::io_context& context, const Endpoint& listen,
              std::vector<coordination::EngineInstance> engines);
  StandInList(const StandInList&) = delete;
  StandInList& operator=(const StandInList&) = delete;

  /// Whoever reads the list from now on sees the engine draining.
  void Drain(const std::string& id);
  /// Whoever reads the list from now on sees this id at the address.
  void Rename(const std::string& address, const std::string& id);

 private:
  void OnRequest(http::ExchangeId exchange, const http::HttpRequest& request);

  std::vector<coordination::EngineInstance> engines;
  std::unique_ptr<http::HttpServer> server;
};

}  // namespace papayarack::standins

#endif  // PAPAYARACK_STANDINS_FLEET_STANDINENGINE_H_
