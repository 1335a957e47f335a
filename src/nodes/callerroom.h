#ifndef PAPAYARACK_NODES_CALLERROOM_H_
#define PAPAYARACK_NODES_CALLERROOM_H_

#include <cstddef>

#include "http/httpserver.h"

namespace papayarack::nodes {

/// What the VM of a process has; zero where it is not known.
struct VmLimits {
  std::size_t memory_bytes = 0;
  std::size_t descriptors = 0;  ///< For sockets and data files.
};

/// What callers may take of a process, at all its addresses together. The rest
/// is for the process's own connections, files and state.
struct CallerRoom {
  std::size_t front_connections = 0;
  /// At each of the other addresses: readiness, operators, metrics. Apart from
  /// the others', so that neither takes the room of another.
  std::size_t other_connections = 0;
  std::size_t request_bytes = 0;
};

/// Divides what is there. Thread safety: any thread.
CallerRoom RoomFor(const VmLimits& limits);

/// The smaller number of descriptors: the VM's or the one that the system
/// allows this process (RLIMIT_NOFILE). Thread safety: any thread.
VmLimits WithProcessLimits(VmLimits limits);

/// Limits of a server that is not the front. Thread safety: any thread.
http::HttpServerLimits LimitsForOthers(const CallerRoom& room);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_CALLERROOM_H_
