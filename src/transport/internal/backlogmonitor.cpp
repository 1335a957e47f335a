#include "transport/backlogmonitor.h"

#include <algorithm>
#include <map>

#include "global/logging.h"

namespace papayarack::transport {

Backlog TotalBacklog(const TransportTotals& server,
                     const TransportTotals& client) {
  Backlog backlog;
  std::map<std::string, std::uint64_t> by_path;
  for (const TransportTotals* side : {&server, &client}) {
    backlog.unsent_bytes += side->unsent_bytes;
    backlog.connections += side->connections;
    for (const PathTotals& path : side->paths) {
      by_path[path.path] += path.unsent_bytes;
    }
  }
  for (const auto& [path, bytes] : by_path) {
    if (bytes > backlog.path_unsent_bytes) {
      backlog.path = path;
      backlog.path_unsent_bytes = bytes;
    }
  }
  return backlog;
}

BacklogMonitor::Change BacklogMonitor::Update(const Backlog& backlog,
                                              Time now) {
  if (!this->high && backlog.unsent_bytes > kBacklogWarnBytes) {
    this->high = true;
    this->began = now;
    this->path = backlog.path;
    this->most_unsent_bytes = backlog.unsent_bytes;
    Log(LogLevel::kWarn, "peer_backlog",
        {{"unsent_bytes", backlog.unsent_bytes},
         {"connections", backlog.connections},
         {"path", backlog.path},
         {"path_unsent_bytes", backlog.path_unsent_bytes}});
    return Change::kBegan;
  }
  this->most_unsent_bytes =
      std::max(this->most_unsent_bytes, backlog.unsent_bytes);
  if (this->high && backlog.unsent_bytes < kBacklogWarnBytes / 2) {
    this->high = false;
    Log(LogLevel::kInfo, "peer_backlog_gone",
        {{"unsent_bytes", backlog.unsent_bytes},
         {"connections", backlog.connections},
         {"path", this->path},
         {"most_unsent_bytes", this->most_unsent_bytes},
         {"lasted_ms", (now - this->began).count() / 1000}});
    return Change::kGone;
  }
  return Change::kNone;
}

}  // namespace papayarack::transport
