#ifndef PAPAYARACK_TRANSPORT_TRANSPORTTOTALS_H_
#define PAPAYARACK_TRANSPORT_TRANSPORTTOTALS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "global/metrics.h"

namespace papayarack::transport {

/// Most paths that are counted under their own name. The programs have about
/// twenty; the bound keeps a peer that asks for others from growing the table.
inline constexpr std::size_t kMostPaths = 32;
/// Name of all other paths together.
inline constexpr const char* kOtherPaths = "other";

/// What was sent on one path since the start: a server's answers or a client's
/// requests.
struct PathTotals {
  std::string path;
  std::uint64_t messages = 0;
  /// Bytes of these messages, also of those that wait unsent.
  std::uint64_t bytes = 0;
  std::uint64_t unsent_bytes = 0;  ///< Wait now.
  std::uint64_t cancelled = 0;     ///< As TransportTotals::cancelled.
};

/// What one PeerServer or PeerClient moved since its start, over all of its
/// connections.
struct TransportTotals {
  std::uint64_t sent_bytes = 0;  ///< Taken by the kernel.
  std::uint64_t received_bytes = 0;
  /// Wait now in this process: message bytes not given to a connection's write,
  /// and the write under way. What the kernel holds is not seen.
  std::uint64_t unsent_bytes = 0;
  std::size_t connections = 0;  ///< Open now.
  /// Server: requests whose requester reset them, or whose connection ended,
  /// before the whole answer was in a connection's write. Client: calls given
  /// up with Cancel.
  std::uint64_t cancelled = 0;
  /// At most kMostPaths and kOtherPaths, in no order.
  std::vector<PathTotals> paths;
};

/// Puts the totals of a process into its counters and gauges `peer_...`; call
/// it when the figures are asked for. Thread safety: any thread.
void ShowTransport(const TransportTotals& server, const TransportTotals& client,
                   Metrics& metrics);

}  // namespace papayarack::transport

#endif  // PAPAYARACK_TRANSPORT_TRANSPORTTOTALS_H_
