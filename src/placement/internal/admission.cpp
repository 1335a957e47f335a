#include "placement/admission.h"

#include <algorithm>

namespace papayarack::placement {
namespace {

/// Fraction of the first-token target that may pass before the engine receives
/// the request; the rest is for its first event and the network.
constexpr double kMaxWaitFraction = 0.85;
constexpr std::chrono::milliseconds kMinRetryDelay{900};
constexpr std::chrono::milliseconds kMaxRetryDelay{1600};

std::chrono::milliseconds InMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

std::chrono::milliseconds WaitBudget(const RequestTiming& timing, Time now) {
  const auto part = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(timing.target_latency) * kMaxWaitFraction);
  const Duration in_time = timing.broken_at.has_value()
                               ? *timing.broken_at + kMaxContinuationWait - now
                               : timing.arrived + part - now;
  const Duration useful = timing.deadline - now - kMinRunTime;
  return std::max(std::chrono::milliseconds(0),
                  InMillis(std::min(in_time, useful)));
}

int SlotPriority(int organisation, int route, bool has_begun) {
  constexpr int kRoutePriorities = 1000;
  const int of_route = std::clamp(route, 0, kRoutePriorities - 1);
  const int of_organisation = std::clamp(organisation, 0, kRoutePriorities - 1);
  return of_organisation * kRoutePriorities + of_route - (has_begun ? 1 : 0);
}

std::chrono::milliseconds RetryAfter(
    std::optional<std::chrono::milliseconds> expected_wait, double draw) {
  const auto spread = std::chrono::duration<double, std::milli>(
      std::chrono::duration<double, std::milli>(kMaxRetryDelay -
                                                kMinRetryDelay) *
      draw);
  return expected_wait.value_or(std::chrono::milliseconds(0)) + kMinRetryDelay +
         std::chrono::duration_cast<std::chrono::milliseconds>(spread);
}

}  // namespace papayarack::placement
