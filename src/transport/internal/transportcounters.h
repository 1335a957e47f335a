#ifndef PAPAYARACK_TRANSPORT_INTERNAL_TRANSPORTCOUNTERS_H_
#define PAPAYARACK_TRANSPORT_INTERNAL_TRANSPORTCOUNTERS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "transport/transporttotals.h"

namespace papayarack::transport {

/// Written by the loop's thread, read by any thread.
using Count = std::atomic<std::uint64_t>;

inline void Increase(Count& count, std::uint64_t amount = 1) {
  count.fetch_add(amount, std::memory_order_relaxed);
}

inline void Decrease(Count& count, std::uint64_t amount = 1) {
  count.fetch_sub(amount, std::memory_order_relaxed);
}

/// The counts of one path.
struct PathCounters {
  std::string path;
  Count messages = 0;
  Count bytes = 0;
  Count unsent_bytes = 0;
  Count cancelled = 0;
};

/// The counts of each path; entries are never moved or removed.
class PathTable {
 public:
  PathTable();
  PathTable(const PathTable&) = delete;
  PathTable& operator=(const PathTable&) = delete;

  /// Returns the counts of the path, or those of kOtherPaths if the table is
  /// full or the path cannot be a label value. Allocates only for a new path.
  /// Thread safety: the loop's thread.
  PathCounters& Of(std::string_view path);
  /// Thread safety of both: any thread.
  std::vector<PathTotals> Totals() const;
  /// Zero for a path without messages.
  std::uint64_t UnsentBytes(std::string_view path) const;

 private:
  /// The first entry counts kOtherPaths.
  std::array<PathCounters, kMaxPaths + 1> entries;
  /// Increased after a new entry's name is written, as other threads read it.
  std::atomic<std::size_t> used = 1;
};

/// The counts of one server or client. Shared with its connections, which may
/// outlive it. Thread safety: written by the loop's thread; Totals, any thread.
struct TransportCounters {
  Count sent_bytes = 0;
  Count received_bytes = 0;
  Count unsent_bytes = 0;
  Count connections = 0;
  Count cancelled = 0;
  PathTable paths;

  void CountCancelled(std::string_view path);
  TransportTotals Totals() const;
};

}  // namespace papayarack::transport

#endif  // PAPAYARACK_TRANSPORT_INTERNAL_TRANSPORTCOUNTERS_H_
