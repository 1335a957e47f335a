#ifndef PAPAYARACK_GATE_LEARNEDLIMIT_H_
#define PAPAYARACK_GATE_LEARNEDLIMIT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "global/timepoint.h"

namespace papayarack::gate {

/// Targets and bounds for one upstream.
struct LimitOptions {
  std::uint32_t max_concurrent = 64;
  Duration between_tokens{std::chrono::milliseconds(44)};
  /// Batch may lengthen the time between tokens by this part of what it is
  /// without crowding.
  double harm = 0.03;
  Duration window{std::chrono::milliseconds(200)};
};

/// Learns from the times between tokens how many requests one upstream bears:
/// `online` keeps the document's target; `shared` is where crowding begins to
/// show, up to which batch may fill. Additive increase, multiplicative
/// decrease, window by window. Thread safety: none.
class LearnedLimit {
 public:
  LearnedLimit(const LimitOptions& options, Time now);

  /// A token came `gap` after the one before on the same stream, `running`
  /// requests being at the upstream.
  void OnToken(Duration gap, std::size_t running, Time now);
  /// Ends windows that are over; `running` is the present number of requests.
  void Tick(std::size_t running, Time now);
  /// New targets from a new document; what was learned stays where it fits.
  void SetOptions(const LimitOptions& options);

  std::size_t Online() const {
    return static_cast<std::size_t>(this->online_limit);
  }
  std::size_t Shared() const;
  Duration Baseline() const { return this->baseline; }

 private:
  void EndWindow(Time now);
  void LearnShared(Duration middle, double reached);

  LimitOptions options;
  double online_limit;
  double shared_limit;
  Duration baseline{
      0};  ///< Median time between tokens without crowding; 0: unknown.
  std::vector<Duration> gaps;
  std::size_t peak_running = 0;
  Time window_end;
};

}  // namespace papayarack::gate

#endif  // PAPAYARACK_GATE_LEARNEDLIMIT_H_
