#ifndef PAPAYARACK_NODES_LOGTHROTTLE_H_
#define PAPAYARACK_NODES_LOGTHROTTLE_H_

#include <chrono>
#include <string>
#include <string_view>

#include "global/timepoint.h"

namespace papayarack::nodes {

/// Limits the log lines about a condition that is found again at every poll.
/// Thread safety: none.
class LogThrottle {
 public:
  /// Minimum time between two lines: for a list that is read twice a second
  /// with a different error each time, one line in sixty reads.
  static constexpr std::chrono::seconds kMinInterval{30};

  /// Whether to log that condition `text` holds now: it differs from the last
  /// one logged, and kMinInterval has passed. An empty `text` means no error;
  /// afterwards the same text is logged again.
  bool Due(std::string_view text, Time now);

 private:
  std::string logged;
  Time logged_at{};
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_LOGTHROTTLE_H_
