#ifndef PAPAYARACK_TRANSPORT_BACKLOGWATCH_H_
#define PAPAYARACK_TRANSPORT_BACKLOGWATCH_H_

#include <cstdint>
#include <string>

#include "global/timepoint.h"
#include "transport/transporttotals.h"

namespace papayarack::transport {

/// Unsent bytes of a process above which its log says so, in bytes: a sixteenth
/// of the 64 MB that control may take of a node (docs/DEVELOPERS.md), so that
/// the line stands before the memory is short.
inline constexpr std::uint64_t kBacklogBytes = std::uint64_t{4} << 20U;

/// What waits unsent in a process.
struct Backlog {
  std::uint64_t unsent_bytes = 0;
  std::size_t connections = 0;
  std::string path;  ///< With most unsent bytes; empty when none has any.
  std::uint64_t path_unsent_bytes = 0;
};

/// Both sides of a process together. Thread safety: any thread.
Backlog BacklogOf(const TransportTotals& server, const TransportTotals& client);

/// Logs that bytes pile up and that they are gone. Symptom guarded against: a
/// process runs into its memory limit and its log says nothing before; a link
/// took less than was sent to it. At most one line for each look: one when more
/// than kBacklogBytes wait, the next when less than half of it does. Thread
/// safety: none, one owner.
class BacklogWatch {
 public:
  enum class Change { kNone, kBegan, kGone };

  /// Takes what waits at `now`, logs a change and returns it.
  Change Look(const Backlog& backlog, Time now);

 private:
  bool high = false;
  Time began{};
  std::string path;  ///< With most bytes when it began.
  std::uint64_t most_unsent_bytes = 0;
};

}  // namespace papayarack::transport

#endif  // PAPAYARACK_TRANSPORT_BACKLOGWATCH_H_
