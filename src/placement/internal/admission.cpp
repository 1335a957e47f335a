#include "placement/admission.h"

#include <algorithm>

namespace papayarack::placement {
namespace {

/// Part of the first-token target that may pass before the engine has the
/// request; the rest is for its first event and the way back.
constexpr double kWaitPart = 0.85;
constexpr std::chrono::milliseconds kRetryFrom{900};
constexpr std::chrono::milliseconds kRetryTo{1600};

std::chrono::milliseconds InMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

std::chrono::milliseconds WaitBudget(const SlotWish& wish, Time now) {
  const auto part = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(wish.target_latency) * kWaitPart);
  const Duration in_time = wish.arrived + part - now;
  const Duration useful = wish.deadline - now - kLeastRun;
  return std::max(std::chrono::milliseconds(0),
                  InMillis(std::min(in_time, useful)));
}

std::chrono::milliseconds RetryAfter(
    std::optional<std::chrono::milliseconds> expected_wait, double draw) {
  const auto spread = std::chrono::duration<double, std::milli>(
      std::chrono::duration<double, std::milli>(kRetryTo - kRetryFrom) * draw);
  return expected_wait.value_or(std::chrono::milliseconds(0)) + kRetryFrom +
         std::chrono::duration_cast<std::chrono::milliseconds>(spread);
}

}  // namespace papayarack::placement
