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
#include "nodes/dialect.h"
#include "nodes/listpace.h"
#include "nodes/listreading.h"
#include "nodes/logthrottle.h"
#include "nodes/loopwatch.h"
#include "nodes/nodeoptions.h"
#include "nodes/ownedengine.h"
#include "routes/routetable.h"
#include "storage/filesystem.h"
#include "transport/backlogmonitor.h"
#include "transport/peerclient.h"
#include "transport/peerdispatch.h"
#include "transport/peerserver.h"

namespace papayarack::nodes {

/// What every node has: the loop, the connections to other processes, what it
/// knows of the fleet, the routes in force, its counters. Thread safety: none,
/// the loop's thread.
class NodeRuntime {
 public:
  /// Opens the data folder where there is one and listens for other processes.
  /// Throws ResultError.
  NodeRuntime(NodeOptions options, const Dialect& dialect);
  NodeRuntime(const NodeRuntime&) = delete;
  NodeRuntime& operator=(const NodeRuntime&) = delete;

  /// Begins to report to the coordination group. `changed` is called after
  /// routes were taken over. `has_member`: this process has a member of that
  /// group.
  void Watch(std::function<void(const coordination::FleetChange&)> changed,
             bool has_member = false);
  /// Ends the process: durable state can no longer be written. The platform
  /// starts it again.
  void StorageFailed(const std::string& reason);
  /// The counters in text form, with what this process knows and what its
  /// connections moved as of now.
  std::string Exposition();

  NodeOptions options;
  const Dialect& dialect;
  asio::io_context context{1};
  Metrics metrics;
  /// Null where this process can be no member of a group.
  std::unique_ptr<storage::FileSystem> files;
  std::uint64_t member = 0;  ///< Identity of `files`; zero without them.
  std::uint64_t incarnation = 0;
  transport::PeerDispatch dispatch;
  transport::PeerServer* server = nullptr;
  std::unique_ptr<transport::PeerClient> peers;
  std::unique_ptr<coordination::FleetWatch> watch;
  routes::RouteTablePtr table;  ///< Null until a configuration was learned.
  /// Calls to the coordination group's leader; from Watch() on.
  std::unique_ptr<coordination::GroupClient> coordination;
  /// The engines that this process owns, for operators; none while empty.
  std::function<std::vector<OwnedEngineState>()> owned_engines;
  coordination::LeaderSearch job_search;  ///< Of the job group.
  std::unique_ptr<coordination::GroupClient> jobs;
  ListReader list_reader;

 private:
  void OpenFiles();
  bool IsSeed() const;
  void TakeRoutes();
  void SearchInList();
  void Search();
  void WatchBacklog();
  void ServeMetrics();
  http::HttpResponse Show(std::string_view path);
  /// Fingerprints that this process knows of, as a JSON list.
  std::string QuarantineList() const;

  std::unique_ptr<transport::PeerServer> owned_server;
  std::unique_ptr<http::HttpServer> metrics_server;
  std::unique_ptr<http::HttpClient> list_client;
  std::unique_ptr<asio::steady_timer> search_timer;
  SearchPace search_pace;
  /// Of this process's searches, whose readings are shorter than others.
  ListReader search_reader;
  std::unique_ptr<asio::steady_timer> backlog_timer;
  transport::BacklogMonitor backlog;
  LoopWatch loop_watch{this->context, this->metrics};
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_NODERUNTIME_H_
