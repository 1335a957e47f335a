#ifndef PAPAYARACK_TRANSPORT_TRANSPORTTOTALS_H_
#define PAPAYARACK_TRANSPORT_TRANSPORTTOTALS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "global/metrics.h"

namespace papayarack::transport {

/// Maximum number of paths counted under their own name. The programs have
/// about twenty; the limit keeps a peer that requests other paths from growing
/// the table.
inline constexpr std::size_t kMaxPaths = 32;
/// Name under which all other paths are counted together.
inline constexpr const char* kOtherPaths = "other";

/// Messages sent on one path since the start: a server's responses or a
/// client's requests.
struct PathTotals {
  std::string path;
  std::uint64_t messages = 0;
  /// Bytes of these messages, including those not sent yet.
  std::uint64_t bytes = 0;
  std::uint64_t unsent_bytes = 0;  ///< Currently unsent.
  std::uint64_t cancelled = 0;     ///< See TransportTotals::cancelled.
};

/// Traffic of one PeerServer or PeerClient since its start, over all of its
/// connections.
struct TransportTotals {
  std::uint64_t sent_bytes = 0;  ///< Passed to the kernel.
  std::uint64_t received_bytes = 0;
  /// Currently unsent in this process: queued message bytes and the write in
  /// progress. Bytes in kernel buffers are not included.
  std::uint64_t unsent_bytes = 0;
  std::size_t connections = 0;  ///< Currently open.
  /// Server: requests that the client reset, or whose connection closed, before
  /// the whole response was passed to a write. Client: calls ended by Cancel.
  std::uint64_t cancelled = 0;
  /// At most kMaxPaths entries and kOtherPaths, in no particular order.
  std::vector<PathTotals> paths;
};

/// Updates the counters and gauges `peer_...` of `metrics` from the totals;
/// call it before each exposition. Thread safety: any thread.
void ExportTransportMetrics(const TransportTotals& server,
                            const TransportTotals& client, Metrics& metrics);

}  // namespace papayarack::transport

#endif  // PAPAYARACK_TRANSPORT_TRANSPORTTOTALS_H_
