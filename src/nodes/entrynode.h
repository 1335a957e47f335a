#ifndef PAPAYARACK_NODES_ENTRYNODE_H_
#define PAPAYARACK_NODES_ENTRYNODE_H_

#include <asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/coordinator.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "nodes/batchapi.h"
#include "nodes/callerquotas.h"
#include "nodes/enginehost.h"
#include "nodes/noderuntime.h"
#include "nodes/onlinerelay.h"
#include "nodes/operatorapi.h"
#include "nodes/quotaserver.h"
#include "nodes/startupqueue.h"
#include "organisations/authentication.h"

namespace papayarack::nodes {

/// The process behind the load balancer: serves callers, readiness checks and
/// operators; with a disk it is also a member of the coordination group. Thread
/// safety: none, the loop's thread.
class EntryNode {
 public:
  explicit EntryNode(NodeRuntime& runtime);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  /// Reports that it is not ready, but still serves requests that arrive, if
  /// they can end by `answer_by`.
  void BeginLeave(Time answer_by);
  /// Refuses new requests, so that callers retry elsewhere. Called once the
  /// balancer has had time to see that this process leaves: where few entries
  /// are left the balancer keeps sending requests here, and those accepted late
  /// are cut when the grace time ends.
  void RefuseNew();
  /// Answers the requests whose answer has not begun: the process must end.
  void AnswerOpen();
  /// True when no caller and no operator waits or may still be receiving a
  /// response, and no slot is in use or requested.
  bool Drained() const;

 private:
  using ExchangeId = http::ExchangeId;
  void ListenFront();
  void ListenReady();
  void StartCoordinator();
  bool Ready();
  void OnFleet(const coordination::FleetChange& change);
  /// Passes the current engines and their owners to the relay.
  void UpdateRelay();
  /// Whether a configuration and the platform's list are known.
  bool KnowsFleet() const;
  /// Whether callers can be told apart now, if the configuration asks for it.
  bool AcceptsKeys();
  void OnRequest(ExchangeId exchange, http::HttpRequest request);
  void ScheduleEarlyCheck();
  void Serve(ExchangeId exchange, http::HttpRequest request, Time arrived);
  /// Serves an online request once its organisation's limit allows it.
  void ServeOnline(ExchangeId exchange, http::HttpRequest request,
                   RoutedCall routed);
  void RefuseOverLimit(ExchangeId exchange, const RoutedCall& routed,
                       std::chrono::milliseconds retry_after);
  organisations::KeyTrust TrustInKeys();
  void ServeBatchCall(ExchangeId exchange, const http::HttpRequest& request,
                      const BatchCall& call, std::string_view key);
  /// Name of the organisation that holds `key`; empty if none does, or if keys
  /// are outdated.
  std::string HolderOf(std::string_view key);
  /// Identifies the caller; nullopt if the request was refused.
  std::optional<organisations::Authenticated> Authenticate(
      ExchangeId exchange, const http::HttpRequest& request,
      std::string_view key, bool allows_anonymous);
  void Refuse(ExchangeId exchange, const http::HttpRequest& request,
              const char* reason, const char* retry_after);
  void ReadListForLeader(
      std::function<
          void(std::optional<std::vector<coordination::EngineInstance>>)>
          done);
  void PollListWhenCutOff();
  void ReadListDirectly();
  ListLoad EstimateListLoad() const;

  NodeRuntime& runtime;
  http::HttpClient list_client;
  std::unique_ptr<coordination::Coordinator> coordinator;
  std::unique_ptr<http::HttpServer> owned_front;
  http::HttpServer* front = nullptr;
  std::unique_ptr<http::HttpServer> ready;
  std::unique_ptr<OperatorApi> operators;
  std::unique_ptr<BatchApi> batches;
  std::unique_ptr<OnlineRelay> relay;
  std::unique_ptr<CallerQuotas> quotas;
  std::unique_ptr<QuotaServer> quota_server;  ///< Null without coordinator.
  StartupQueue startup_queue;
  asio::steady_timer startup_timer;
  ListPollSchedule list_schedule;
  bool polling = false;
  Time leader_read{};  ///< End of the last list read for the leader.
  asio::steady_timer leader_timer;
  EngineHost host;
  bool host_list_valid = false;  ///< As last passed to the relay.
  bool leaving = false;
  bool refusing = false;
  bool had_configuration = false;
  organisations::KeyTrust key_trust = organisations::KeyTrust::kCurrent;
  asio::steady_timer timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_ENTRYNODE_H_
