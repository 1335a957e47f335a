#ifndef PAPAYARACK_NODES_NODERUNTIME_H_
#define PAPAYARACK_NODES_NODERUNTIME_H_

#include <asio.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "coordination/fleetwatch.h"
#include "coordination/groupclient.h"
#include "global/metrics.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "nodes/callerroom.h"
#include "nodes/dialect.h"
#include "nodes/listpolling.h"
#include "nodes/listreading.h"
#include "nodes/logthrottle.h"
#include "nodes/loopdelaymonitor.h"
#include "nodes/nodeoptions.h"
#include "nodes/originserver.h"
#include "nodes/ownedengine.h"
#include "nodes/requestcounts.h"
#include "routes/routetable.h"
#include "storage/filesystem.h"
#include "transport/backlogmonitor.h"
#include "transport/peerclient.h"
#include "transport/peerdispatch.h"
#include "transport/peerserver.h"

namespace papayarack::nodes {

/// Parts common to all nodes: event loop, connections to other processes,
/// knowledge of the fleet, routes in force and metrics. Thread safety: none,
/// the loop's thread.
class NodeRuntime {
 public:
  /// Opens the data folder, if any, and listens for other processes. Throws
  /// ResultError.
  NodeRuntime(NodeOptions options, const Dialect& dialect);
  NodeRuntime(const NodeRuntime&) = delete;
  NodeRuntime& operator=(const NodeRuntime&) = delete;

  /// Starts reporting to the coordination group. `changed` is called after
  /// changed routes were loaded. `has_member`: this process has a member of
  /// that group.
  void Watch(std::function<void(const coordination::FleetChange&)> changed,
             bool has_member = false);
  /// Exits the process because durable state can no longer be written; the
  /// platform restarts it.
  void StorageFailed(const std::string& reason);
  /// The metrics in text form, with the current state of the fleet knowledge
  /// and of the connections.
  std::string Exposition();

  NodeOptions options;
  const Dialect& dialect;
  asio::io_context context{1};
  Metrics metrics;
  RequestCounts request_counts;
  CallerRoom caller_room;
  http::RequestMemory request_memory;  ///< Of all HTTP servers.
  /// Null when this process cannot be a member of a group.
  std::unique_ptr<storage::FileSystem> files;
  std::uint64_t member = 0;  ///< Identity of `files`; zero without them.
  std::uint64_t incarnation = 0;
  transport::PeerDispatch dispatch;
  transport::PeerServer* server = nullptr;
  std::unique_ptr<transport::PeerClient> peers;
  std::unique_ptr<coordination::FleetWatch> watch;
  routes::RouteTablePtr table;  ///< Null until a configuration is known.
  /// Client of the coordination group's leader; null before Watch().
  std::unique_ptr<coordination::GroupClient> coordination;
  /// Returns the engines that this process owns, for operators; empty when it
  /// owns none.
  std::function<std::vector<OwnedEngineState>()> owned_engines;
  coordination::LeaderSearch job_search;  ///< For the job group.
  std::unique_ptr<coordination::GroupClient> jobs;
  ListReaderState list_reader;

 private:
  void OpenFiles();
  bool IsSeed() const;
  void LoadRoutes();
  void ScheduleLeaderSearch();
  void SearchLeader();
  void CheckBacklog();
  void LogRefusalsForMemory();
  void ServeMetrics();
  http::HttpResponse HandleMetricsRequest(std::string_view path);
  /// The known quarantined fingerprints as a JSON list.
  std::string QuarantineList() const;

  std::unique_ptr<transport::PeerServer> owned_server;
  std::unique_ptr<http::HttpServer> metrics_server;
  std::unique_ptr<http::HttpClient> list_client;
  std::unique_ptr<asio::steady_timer> search_timer;
  SearchBackoff search_backoff;
  /// For searches, which read fewer pages than other reads.
  ListReaderState search_reader;
  std::unique_ptr<asio::steady_timer> backlog_timer;
  transport::BacklogMonitor backlog;
  std::uint64_t refusals_logged = 0;  ///< Of `request_memory`.
  OriginServer origin_server{this->server, this->dispatch, this->metrics};
  LoopDelayMonitor loop_delay_monitor{this->context, this->metrics};
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_NODERUNTIME_H_
