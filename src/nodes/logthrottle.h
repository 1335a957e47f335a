#ifndef PAPAYARACK_NODES_LOGTHROTTLE_H_
#define PAPAYARACK_NODES_LOGTHROTTLE_H_

#include <chrono>
#include <string>
#include <string_view>

#include "global/timepoint.h"

namespace papayarack::nodes {

/// Keeps a condition that is found again at every poll from writing a log line
/// each time. Thread safety: none.
class LogThrottle {
 public:
  /// Least time between two lines: of a list that is read twice a second and
  /// is wrong in another way each time, one line in sixty readings.
  static constexpr std::chrono::seconds kMinInterval{30};

  /// Whether to log that `text` holds now: it is not what was logged last, and
  /// that was not just now. An empty `text` says that all is well, after which
  /// the same text is worth a line again.
  bool Due(std::string_view text, Time now);

 private:
  std::string logged;
  Time logged_at{};
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_LOGTHROTTLE_H_
