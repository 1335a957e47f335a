#ifndef PAPAYARACK_TRANSPORT_INTERNAL_TRANSPORTTALLY_H_
#define PAPAYARACK_TRANSPORT_INTERNAL_TRANSPORTTALLY_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "transport/transporttotals.h"

namespace papayarack::transport {

/// Written by the loop's thread, read by any.
using Figure = std::atomic<std::uint64_t>;

inline void Raise(Figure& figure, std::uint64_t amount = 1) {
  figure.fetch_add(amount, std::memory_order_relaxed);
}

inline void Lower(Figure& figure, std::uint64_t amount = 1) {
  figure.fetch_sub(amount, std::memory_order_relaxed);
}

/// The figures of one path.
struct PathTally {
  std::string path;
  Figure messages = 0;
  Figure bytes = 0;
  Figure unsent_bytes = 0;
  Figure cancelled = 0;
};

/// The paths seen, each at its place for good.
class PathTable {
 public:
  PathTable();
  PathTable(const PathTable&) = delete;
  PathTable& operator=(const PathTable&) = delete;

  /// Figures of the path, or of the others where the table is full or the path
  /// is no name to show. Allocates only when a path is new. Thread safety: the
  /// loop's thread.
  PathTally& Of(std::string_view path);
  /// Thread safety: any thread.
  std::vector<PathTotals> Totals() const;

 private:
  /// The first holds the others.
  std::array<PathTally, kMostPaths + 1> entries;
  /// Raised once a new entry's name stands, as other threads read it.
  std::atomic<std::size_t> used = 1;
};

/// The figures of one server or client. Its connections hold it too, as they
/// may end after their owner. Thread safety: written by the loop's thread;
/// Totals, any thread.
struct TransportTally {
  Figure sent_bytes = 0;
  Figure received_bytes = 0;
  Figure unsent_bytes = 0;
  Figure connections = 0;
  Figure cancelled = 0;
  PathTable paths;

  void CountCancelled(std::string_view path);
  TransportTotals Totals() const;
};

}  // namespace papayarack::transport

#endif  // PAPAYARACK_TRANSPORT_INTERNAL_TRANSPORTTALLY_H_
