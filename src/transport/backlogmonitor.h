#ifndef PAPAYARACK_TRANSPORT_BACKLOGMONITOR_H_
#define PAPAYARACK_TRANSPORT_BACKLOGMONITOR_H_

#include <cstdint>
#include <string>

#include "global/timepoint.h"
#include "transport/transporttotals.h"

namespace papayarack::transport {

/// Unsent bytes of a process above which it logs a warning: a sixteenth of the
/// 64 MB that control may use on a node (docs/DEVELOPERS.md), so that the
/// warning comes before memory runs short.
inline constexpr std::uint64_t kBacklogWarnBytes = std::uint64_t{4} << 20U;

/// Unsent data of a process.
struct Backlog {
  std::uint64_t unsent_bytes = 0;
  std::size_t connections = 0;
  std::string path;  ///< Has the most unsent bytes; empty if none.
  std::uint64_t path_unsent_bytes = 0;
};

/// Sums the backlog of a process's server and client. Thread safety: any
/// thread.
Backlog TotalBacklog(const TransportTotals& server,
                     const TransportTotals& client);

/// Logs when a backlog of unsent bytes begins and ends. Otherwise a process
/// whose peer reads slower than it sends would reach its memory limit with no
/// warning in the log. An update logs at most one line: one when more than
/// kBacklogWarnBytes are unsent, the next when less than half of that is.
/// Thread safety: none, one owner.
class BacklogMonitor {
 public:
  enum class Change { kNone, kBegan, kGone };

  /// Records the backlog at `now`; logs and returns a change.
  Change Update(const Backlog& backlog, Time now);

 private:
  bool high = false;
  Time began{};
  std::string path;  ///< Had the most unsent bytes when it began.
  std::uint64_t most_unsent_bytes = 0;
};

}  // namespace papayarack::transport

#endif  // PAPAYARACK_TRANSPORT_BACKLOGMONITOR_H_
