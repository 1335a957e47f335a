#include "gate/adaptivelimit.h"

#include <algorithm>

namespace papayarack::gate {
namespace {

constexpr std::size_t kMinSamples = 8;
constexpr double kInitialLimit = 4.0;
constexpr double kDecrease = 0.9;
constexpr double kBaselineDrift =
    0.002;  // Upwards, to adapt when the upstream becomes slower.
constexpr std::size_t kTailPercent = 95;

Duration Percentile(std::vector<Duration>& values, std::size_t percent) {
  const std::size_t position = (values.size() - 1) * percent / 100;
  std::ranges::nth_element(
      values, values.begin() + static_cast<std::ptrdiff_t>(position));
  return values[position];
}

}  // namespace

AdaptiveLimit::AdaptiveLimit(const LimitOptions& options, Time now)
    : options(options),
      online_limit(std::min<double>(kInitialLimit * 2, options.max_concurrent)),
      shared_limit(std::min<double>(kInitialLimit, options.max_concurrent)),
      window_end(now + options.window) {}

std::size_t AdaptiveLimit::Shared() const {
  return static_cast<std::size_t>(
      std::min(this->shared_limit, this->online_limit));
}

void AdaptiveLimit::SetOptions(const LimitOptions& changed) {
  this->options = changed;
  this->online_limit =
      std::min<double>(this->online_limit, changed.max_concurrent);
  this->shared_limit =
      std::min<double>(this->shared_limit, changed.max_concurrent);
}

void AdaptiveLimit::OnToken(Duration gap, std::size_t running, Time now) {
  this->gaps.push_back(gap);
  this->Tick(running, now);
}

void AdaptiveLimit::Tick(std::size_t running, Time now) {
  this->peak_running = std::max(this->peak_running, running);
  if (now >= this->window_end) {
    this->EndWindow(now);
  }
}

void AdaptiveLimit::EndWindow(Time now) {
  this->window_end = now + this->options.window;
  const auto peak = static_cast<double>(this->peak_running);
  this->peak_running = 0;
  if (this->gaps.size() < kMinSamples) {
    // Too few samples to adapt. They are kept for the next window, so that the
    // limits of a nearly idle upstream can still grow.
    return;
  }
  const Duration median = Percentile(this->gaps, 50);
  const Duration tail = Percentile(this->gaps, kTailPercent);
  this->gaps.clear();
  this->UpdateShared(median, peak);
  if (tail > this->options.between_tokens) {
    this->online_limit =
        std::max(1.0, std::min(this->online_limit, peak) * kDecrease);
  } else if (peak + 1 >= this->online_limit) {
    this->online_limit =
        std::min<double>(this->online_limit + 1, this->options.max_concurrent);
  }
}

void AdaptiveLimit::UpdateShared(Duration median, double peak) {
  const auto base = static_cast<double>(this->baseline.count());
  const Duration drifted_baseline(
      static_cast<std::int64_t>(base * (1 + kBaselineDrift)));
  this->baseline =
      this->baseline.count() == 0 ? median : std::min(drifted_baseline, median);
  const double slowdown_threshold =
      static_cast<double>(this->baseline.count()) *
      (1 + this->options.max_slowdown);
  if (static_cast<double>(median.count()) > slowdown_threshold) {
    this->shared_limit =
        std::max(1.0, std::min(this->shared_limit, peak) * kDecrease);
  } else if (peak + 1 >= this->shared_limit) {
    this->shared_limit =
        std::min<double>(this->shared_limit + 1, this->options.max_concurrent);
  }
}

}  // namespace papayarack::gate
