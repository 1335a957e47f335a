#ifndef PAPAYARACK_NODES_ONLINERELAY_H_
#define PAPAYARACK_NODES_ONLINERELAY_H_

#include <asio.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/fleetwatch.h"
#include "global/metrics.h"
#include "http/eventsplitter.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "nodes/crashdetector.h"
#include "nodes/dialect.h"
#include "nodes/slotmessages.h"
#include "placement/enginechooser.h"
#include "placement/slotsearch.h"
#include "routes/routetable.h"
#include "transport/peerclient.h"

namespace papayarack::nodes {

/// The process that a relay belongs to.
struct RelayLocation {
  std::string name;
  std::string zone;
};

/// Forwards online requests: acquires a slot from a gate, sends the request
/// directly to the engine, streams the answer back, and resumes at another
/// engine where the route allows it. Every request gets exactly one answer: the
/// engine's, a truthful refusal, or a broken connection that does not look
/// complete. Thread safety: none, the loop's thread.
class OnlineRelay {
 public:
  /// Precondition: all reference arguments outlive the relay.
  OnlineRelay(asio::io_context& context, http::HttpServer*& front,
              transport::PeerClient& peers, coordination::FleetWatch& watch,
              const Dialect& dialect, Metrics& metrics, RelayLocation place,
              std::uint64_t seed);
  ~OnlineRelay();
  OnlineRelay(const OnlineRelay&) = delete;
  OnlineRelay& operator=(const OnlineRelay&) = delete;

  /// Handles a request that arrived at `arrived`. Precondition: `route` belongs
  /// to `table` and is not a batch route.
  void Take(http::ExchangeId exchange, http::HttpRequest request,
            routes::RouteTablePtr table, const routes::Route& route,
            Time arrived);
  /// The caller has disconnected. True when the exchange was this relay's.
  bool CallerGone(http::ExchangeId exchange);
  /// Sets the time at which the platform's list was read, for the log.
  void SetListSeen(Time seen) { this->engines_seen = seen; }
  void SetFleet(const coordination::FleetKnowledge& fleet,
                const routes::FleetConfiguration& configuration);
  std::size_t Open() const { return this->calls.size(); }

 private:
  enum class Phase { kAsking, kRunning };
  struct Call {
    http::ExchangeId exchange = 0;
    http::HttpRequest request;
    CallFields fields;
    quarantine::Fingerprint fingerprint;
    routes::RouteTablePtr table;
    const routes::Route* route = nullptr;
    Time arrived{};
    Time deadline{};
    Phase phase = Phase::kAsking;
    placement::EngineOption engine;
    std::optional<placement::SlotSearch> search;  ///< Set by Take.
    std::set<std::string> ran_at;  ///< Addresses where it may have run.
    transport::CallId slot = 0;
    http::HttpCallId engine_call = 0;
    std::uint64_t attempt = 0;  ///< Identifies late callbacks.
    Time sent{};
    Time last_heard{};
    bool head_sent = false;
    bool is_events = false;
    bool accepted = false;  ///< Not refused by the engine of this attempt.
    bool failed_status = false;
    int status = 0;
    std::uint64_t last_event = 0;
    bool any_event = false;
    Time first_event{};
    http::EventSplitter splitter;
    std::size_t sends = 0;
  };
  using CallId = std::uint64_t;

  void FindSlot(CallId id);
  void Perform(CallId id, const placement::AskGate& step);
  void Perform(CallId id, const placement::SendUngated& step);
  void Perform(CallId id, const placement::NoSlot& step);
  void Ask(CallId id, std::uint32_t wait_ms);
  void OnSlotReply(CallId id, std::uint64_t attempt, const std::string& bytes);
  void OnAskFailed(CallId id, std::uint64_t attempt);
  void Send(CallId id);
  void OnHead(CallId id, std::uint64_t attempt, const http::HttpHead& head);
  void ForwardHead(Call& call, const http::HttpHead& head);
  void OnBody(CallId id, std::uint64_t attempt, std::string_view bytes);
  bool ForwardEvents(Call& call, std::string_view bytes);
  void OnEnd(CallId id, std::uint64_t attempt, http::HttpEnd end);
  /// Handles a run that ended without a complete answer; the request may have
  /// run.
  void OnBroken(CallId id, const char* reason);
  void Retry(CallId id);
  void ReleaseEngine(Call& call);
  void OnRestart(const placement::EngineRestart& restart);
  void Refuse(CallId id, const char* reason);
  void RefuseQuarantined(CallId id);
  void Fail(CallId id, int status, const char* reason);
  void Finish(CallId id, const char* outcome, int status);
  void Sweep();
  void Check(CallId id, Time now);
  std::chrono::milliseconds WaitBudget(const Call& call) const;
  double RetryAfterSeconds(const Call& call);

  http::HttpServer*& front;
  transport::PeerClient& peers;
  const Dialect& dialect;
  Metrics& metrics;
  std::string own_name;
  std::string own_zone;
  http::HttpClient engines;
  CrashDetector crash_detector;
  placement::EngineChooser chooser;
  std::mt19937_64 random;
  std::unordered_map<CallId, Call> calls;
  std::unordered_map<http::ExchangeId, CallId> by_exchange;
  CallId last_call = 0;
  Time engines_seen{};
  asio::steady_timer sweep;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_ONLINERELAY_H_
