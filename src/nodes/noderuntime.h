#ifndef PAPAYARACK_NODES_NODERUNTIME_H_
#define PAPAYARACK_NODES_NODERUNTIME_H_

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/fleetwatch.h"
#include "coordination/groupclient.h"
#include "global/metrics.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "nodes/dialect.h"
#include "nodes/logthrottle.h"
#include "nodes/nodeoptions.h"
#include "routes/routetable.h"
#include "storage/filesystem.h"
#include "transport/backlogwatch.h"
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
  std::unique_ptr<coordination::GroupClient> coordination;
  std::unique_ptr<coordination::GroupClient> jobs;
  LogThrottle skipped_entries;  ///< Of the platform's list, for its reader.

 private:
  void OpenFiles();
  bool IsSeed() const;
  void TakeRoutes();
  void SearchInList();
  void WatchBacklog();
  std::vector<std::string> StoreAddresses() const;

  std::unique_ptr<transport::PeerServer> owned_server;
  std::unique_ptr<http::HttpServer> metrics_server;
  std::unique_ptr<http::HttpClient> list_client;
  std::unique_ptr<asio::steady_timer> search_timer;
  std::unique_ptr<asio::steady_timer> backlog_timer;
  transport::BacklogWatch backlog;
};

/// Reads the platform's whole list of replicas, page by page; `done` gets
/// nothing when a page could not be read. Entries that name no replica to use
/// are left out and logged as `skipped` allows. Precondition: `client`,
/// `dialect` and `skipped` outlive the reading. Thread safety: none, the loop's
/// thread.
void ReadEngineList(
    http::HttpClient& client, const Dialect& dialect, const Endpoint& list,
    LogThrottle& skipped,
    std::function<
        void(std::optional<std::vector<coordination::EngineInstance>>)>
        done);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_NODERUNTIME_H_
