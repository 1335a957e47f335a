#ifndef PAPAYARACK_GATE_ADAPTIVELIMIT_H_
#define PAPAYARACK_GATE_ADAPTIVELIMIT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "global/timepoint.h"

namespace papayarack::gate {

/// Targets and bounds for one upstream.
struct LimitOptions {
  std::uint32_t max_concurrent = 64;
  Duration between_tokens{std::chrono::milliseconds(44)};
  /// Fraction by which batch may increase the time between tokens over the
  /// baseline.
  double max_slowdown = 0.03;
  Duration window{std::chrono::milliseconds(200)};
};

/// Adapts the concurrency limits of one upstream to the times between tokens:
/// `online` is the limit that meets the document's target; `shared` is the
/// limit for batch, at which tokens begin to slow down. Additive increase and
/// multiplicative decrease per window. Thread safety: none.
class AdaptiveLimit {
 public:
  AdaptiveLimit(const LimitOptions& options, Time now);

  /// A token arrived `gap` after the previous one of the same stream while
  /// `running` requests were at the upstream.
  void OnToken(Duration gap, std::size_t running, Time now);
  /// Ends the window if it is over; `running` is the current number of
  /// requests.
  void Tick(std::size_t running, Time now);
  /// Applies targets of a new document; keeps the limits that are within them.
  void SetOptions(const LimitOptions& options);

  std::size_t Online() const {
    return static_cast<std::size_t>(this->online_limit);
  }
  std::size_t Shared() const;
  Duration Baseline() const { return this->baseline; }

 private:
  void EndWindow(Time now);
  void UpdateShared(Duration median, double reached);

  LimitOptions options;
  double online_limit;
  double shared_limit;
  Duration baseline{
      0};  ///< Median time between tokens at low load; zero if unknown.
  std::vector<Duration> gaps;
  std::size_t peak_running = 0;
  Time window_end;
};

}  // namespace papayarack::gate

#endif  // PAPAYARACK_GATE_ADAPTIVELIMIT_H_
