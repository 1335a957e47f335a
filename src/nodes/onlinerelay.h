#ifndef PAPAYARACK_NODES_ONLINERELAY_H_
#define PAPAYARACK_NODES_ONLINERELAY_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
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
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "nodes/crashdetector.h"
#include "nodes/dialect.h"
#include "nodes/engineresponse.h"
#include "nodes/graceperiod.h"
#include "nodes/logthrottle.h"
#include "nodes/partialevents.h"
#include "nodes/rejections.h"
#include "nodes/slotfinder.h"
#include "nodes/speedlearner.h"
#include "nodes/streamorigins.h"
#include "placement/enginechooser.h"
#include "routes/routetable.h"
#include "transport/peerclient.h"

namespace papayarack::nodes {

/// The process that a relay belongs to, and its platform.
struct RelayOptions {
  std::string name;
  std::string zone;
  placement::ZoneSettings zones = {};  ///< Traffic to other zones.
  /// As in NodeOptions.
  std::chrono::milliseconds list_lag{1000};
};

/// An online request's route, its caller and when it arrived.
struct RoutedCall {
  routes::RouteTablePtr table;
  const routes::Route* route = nullptr;  ///< Of `table`; no batch route.
  /// Of `table`; null for an anonymous caller.
  const routes::Organisation* organisation = nullptr;
  Time arrived{};
};

/// Forwards online requests: acquires a slot from a gate, sends the request
/// directly to the engine, streams the answer back, and resumes at another
/// engine of the same software where the route allows it. Every request gets
/// exactly one answer: the engine's, a truthful refusal, or a broken connection
/// that does not look complete. Thread safety: none, the loop's thread.
class OnlineRelay {
 public:
  /// Precondition: all reference arguments outlive the relay.
  OnlineRelay(asio::io_context& context, http::HttpServer*& front,
              transport::PeerClient& peers, coordination::FleetWatch& watch,
              const Dialect& dialect, Metrics& metrics, RelayOptions options,
              std::uint64_t seed);
  ~OnlineRelay();
  OnlineRelay(const OnlineRelay&) = delete;
  OnlineRelay& operator=(const OnlineRelay&) = delete;

  /// Handles a request, which no longer holds the caller's key.
  void Take(http::ExchangeId exchange, http::HttpRequest request,
            RoutedCall routed);
  /// Called with the organisation and the arrival of a request that ended
  /// without being run.
  using NotRun =
      std::function<void(const std::string& organisation, Time arrived)>;
  void SetNotRun(NotRun report) { this->not_run = std::move(report); }
  /// From now on refuses the requests that have not run and would not end by
  /// `answer_by`, when this process must end.
  void BeginLeave(Time answer_by) { this->answer_by = answer_by; }
  /// Ends the requests whose answer has not begun, as the process must end.
  void AnswerOpen();
  /// The caller has disconnected. True when the exchange was this relay's.
  bool CallerGone(http::ExchangeId exchange);
  /// Sets the time at which the platform's list was read, changed or not, and a
  /// lower bound of that time. Call it after SetFleet.
  void SetListSeen(Time seen, Time read_after);
  void SetFleet(const coordination::FleetKnowledge& fleet,
                const routes::FleetConfiguration& configuration);
  std::size_t Open() const { return this->calls.size(); }

 private:
  enum class Phase { kFindingOrigin, kAsking, kRunning };
  /// What belongs to a silent run while its request is sent to another replica.
  struct KeptRun {
    http::HttpCallId engine_call = 0;
    EngineResponse response;
    std::optional<http::HttpHead> held_head;
    bool run_survived = false;
  };
  /// A run that fell silent and goes on while its request looks for a slot
  /// elsewhere, and then until another replica has begun to answer.
  struct SilentRun {
    placement::EngineOption engine;
    Time sent{};
    std::uint64_t attempt = 0;
    std::optional<KeptRun> kept;  ///< Set once another replica is asked.
  };
  struct Call {
    http::ExchangeId exchange = 0;
    http::HttpRequest request;
    CallFields fields;
    std::vector<quarantine::Trait> traits;
    routes::RouteTablePtr table;
    const routes::Route* route = nullptr;
    const routes::Organisation* organisation = nullptr;
    Time arrived{};
    Time deadline{};
    Phase phase = Phase::kAsking;
    placement::EngineOption engine;
    std::string service;
    std::set<std::string> ran_at;  ///< Addresses where it may have run.
    http::HttpCallId engine_call = 0;
    std::uint64_t attempt = 0;  ///< Identifies late callbacks.
    std::uint64_t last_attempt = 0;
    Time sent{};
    EngineResponse response;
    bool head_sent = false;
    /// As in FoundSlot.
    Time service_holds_until{};
    /// Id of the replica that refused this attempt as not meant for it.
    std::string other_replica;
    bool run_survived = false;  ///< Noted for this attempt.
    bool failed_status = false;
    /// Of the first event that the caller got, in this or an earlier attempt.
    std::optional<ReplicaSoftware> began;
    std::optional<Time> broken_at;  ///< When a stream that had begun broke.
    StreamOrigins::LookupId origin_lookup = 0;
    /// Head of an event stream that has not delivered an event: until then
    /// another software may begin it. Or of a failure that is not complete.
    std::optional<http::HttpHead> held_head;
    std::size_t sends = 0;
    std::optional<SilentRun> silent_run;
    /// No slot is looked for beside a silent run before; Time{} until its
    /// replica falls silent.
    Time next_search{};
  };
  using CallId = std::uint64_t;
  /// Maximum number of engines that may answer "did not run" before the caller
  /// is told so.
  static constexpr std::size_t kMaxSends = 6;

  /// Looks for a slot elsewhere, unless it was looked for a moment ago or the
  /// request may not be sent again. The silent run goes on meanwhile, and as
  /// long as no slot is found: its replica may work again in a moment.
  void OnSilent(CallId id);
  /// Whether a request whose run may yet end can be sent to one more replica.
  bool MaySendAgain(const Call& call, Time now) const;
  /// Ends the search for another slot, or the attempt at another replica, if
  /// there is a silent run: that is the request's run again.
  void ReturnToSilentRun(CallId id);
  /// Keeps the silent run, if there is one, while the request is sent to the
  /// replica with the slot that was found; ends it if the caller has nothing of
  /// its response yet.
  void KeepSilentRun(CallId id);
  /// Ends the attempt at another replica, which failed or refused it. It
  /// counts as an attempt if it may have run.
  void EndAttemptBesideSilentRun(CallId id, bool may_have_run);
  /// Ends the silent run that is kept, as its request goes on elsewhere.
  void EndSilentRun(CallId id);
  /// Ends a silent run that is kept for as long as two replicas may work on
  /// one request.
  void CheckKeptRun(CallId id, Time now);
  /// The connection of the silent run ended; true if the request goes on at
  /// the replica that was asked after it.
  bool LoseKeptRun(CallId id, std::uint64_t attempt, http::HttpEnd end);
  /// Whether a silent run is kept beside the current attempt.
  static bool KeepsSilentRun(const Call& call);
  /// Whether a callback of `attempt` still counts. One of a silent run makes it
  /// the request's run again.
  bool Concerns(CallId id, std::uint64_t attempt);
  /// Whether the caller takes up a stream that an earlier attempt began.
  static bool IsTakeUp(const CallFields& fields);
  void FindOrigin(CallId id);
  void OnOrigin(CallId id, const origins::Continuation& decision);
  void Perform(CallId id, const origins::ContinueWith& decision);
  void Perform(CallId id, const origins::OriginUnknown& decision);
  void Perform(CallId id, const origins::OriginNotOnRoute& decision);
  void FindSlot(CallId id);
  SlotFinder::Handlers SlotHandlers();
  void OnSlotFound(CallId id, const FoundSlot& found);
  void OnNoSlot(CallId id, const placement::NoSlot& result);
  void Send(CallId id);
  /// Sends again, with the same slot, to the replica that runs at the address
  /// now. False if it may not be sent there.
  bool SendToOtherReplica(CallId id);
  void OnHead(CallId id, std::uint64_t attempt, const http::HttpHead& head);
  void ForwardHead(Call& call, const http::HttpHead& head);
  /// Called as the first event of an attempt is about to be forwarded: fixes
  /// the software of the stream, and forwards the head.
  void BeginEvents(CallId id);
  void OnBody(CallId id, std::uint64_t attempt, std::string_view bytes);
  /// Passes on bytes of a response.
  void ForwardBody(CallId id, std::string_view bytes);
  /// Ends the responses that hold most of an incomplete event or failure while
  /// all hold too much. The call may have ended afterwards.
  void BoundPartialEvents(CallId id);
  /// Ends a response that is not to go on: bytes that form no event, or a
  /// failure without end.
  void OnUnusable(CallId id, const char* reason);
  /// Handles bytes of a refusal or failure that is not passed on.
  void IgnoreBody(CallId id, std::size_t bytes);
  /// Stops reading from the replica while its caller reads too slowly.
  void PauseIfSlow(Call& call);
  /// Continues reading where the caller caught up, and drops a caller that does
  /// not read. False when the call has ended.
  bool CheckCaller(CallId id);
  /// Counts and logs a response that exceeds the limits, and ends its call.
  void CutResponse(Call& call, const char* reason);
  /// The replica refused the request or failed it, and the body no longer
  /// matters.
  void EndFailed(CallId id);
  void OnEnd(CallId id, std::uint64_t attempt, http::HttpEnd end);
  /// Handles a run that ended without a complete answer; the request may have
  /// run.
  void OnBroken(CallId id, const char* reason);
  void Retry(CallId id);
  void ReleaseEngine(CallId id);
  /// Counts a request that is sent, and logs why requests leave the zone.
  void CountZone(const Call& call);
  void OnRestart(const placement::EngineRestart& restart);
  void Refuse(CallId id, const char* reason);
  /// Refuses a request that did not run, for another process to take.
  void RefuseElsewhere(CallId id, const char* reason);
  /// Whether this process lives long enough for the request, sent `now`.
  bool EndsInTime(const Call& call, Time now);
  /// Refuses a stream that cannot go on anywhere, so its caller has to begin
  /// anew and need not wait for that.
  void RefuseContinuation(CallId id, const char* reason, const char* metric);
  /// Describes a request for the answer that it did not run. Precondition: it
  /// did not.
  RejectedRequest RejectedOf(CallId id, const char* reason) const;
  void RefuseQuarantined(CallId id, const quarantine::Trait& culprit);
  void SetService(CallId id, Call& call, const std::string& service);
  void NoteSurvival(Call& call);
  void Fail(CallId id, int status, const char* reason);
  void Finish(CallId id, const char* outcome, int status);
  void Sweep();
  void ExcuseSilence(Duration time, Time now);
  std::vector<CallId> AllIds() const;
  void CheckAll(Time now);
  void Check(CallId id, Time now);
  static placement::RequestTiming TimingOf(const Call& call);

  http::HttpServer*& front;
  const Dialect& dialect;
  Metrics& metrics;
  std::string own_name;
  std::string own_zone;
  http::HttpClient engines;
  CrashDetector crash_detector;
  placement::EngineChooser chooser;
  SpeedLearner speed_learner;
  SlotFinder slots;
  Rejections rejections;
  StreamOrigins stream_origins;
  std::mt19937_64 random;
  std::unordered_map<CallId, Call> calls;
  std::unordered_map<http::ExchangeId, CallId> by_exchange;
  CallId last_call = 0;
  PartialEvents partial_events;
  Time engines_seen{};
  NotRun not_run;
  LogThrottle zone_changes;
  RunDurations run_durations;
  std::optional<Time> answer_by;  ///< Set once the process leaves.
  asio::steady_timer sweep;
  bool check_left_out = false;  ///< The last one, as the loop stood still.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_ONLINERELAY_H_
