#ifndef PAPAYARACK_NODES_GRACEPERIOD_H_
#define PAPAYARACK_NODES_GRACEPERIOD_H_

#include <optional>
#include <string>
#include <unordered_map>

#include "global/timepoint.h"

namespace papayarack::nodes {

/// The longest complete run of each route, of the last kWindow to 2 kWindow.
/// Thread safety: none.
class RunDurations {
 public:
  static constexpr std::chrono::seconds kWindow{30};

  void Add(const std::string& route, Duration run, Time now);
  /// Nothing if no run of the route was seen.
  std::optional<Duration> Longest(const std::string& route, Time now);

 private:
  using ByRoute = std::unordered_map<std::string, Duration>;

  void Rotate(Time now);

  ByRoute current;
  ByRoute previous;
  Time current_since{};
};

/// What is known of a request before it is sent.
struct RunBound {
  Time deadline{};  ///< When it is given up.
  bool may_repeat = false;
  /// Of runs of its route; nothing if none was seen.
  std::optional<Duration> longest_run;
};

/// Whether a request that is sent `now` ends before its process does, so that
/// its answer isn't cut. One that may not be repeated has to end by its
/// deadline: its caller could not send it again. Another one is expected to
/// take no longer than the longest run of its route. Thread safety: any thread.
bool EndsBefore(Time end, const RunBound& request, Time now);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_GRACEPERIOD_H_
