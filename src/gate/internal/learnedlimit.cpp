#include "gate/learnedlimit.h"

#include <algorithm>

namespace papayarack::gate {
namespace {

constexpr std::size_t kFewestSamples = 8;
constexpr double kStart = 4.0;
constexpr double kDecrease = 0.9;
constexpr double kBaselineDrift =
    0.002;  // Upwards, so that a slower upstream is learned anew.
constexpr std::size_t kTailPercent = 95;

Duration Percentile(std::vector<Duration>& values, std::size_t percent) {
  const std::size_t position = (values.size() - 1) * percent / 100;
  std::ranges::nth_element(
      values, values.begin() + static_cast<std::ptrdiff_t>(position));
  return values[position];
}

}  // namespace

LearnedLimit::LearnedLimit(const LimitOptions& options, Time now)
    : options(options),
      online_limit(std::min<double>(kStart * 2, options.max_concurrent)),
      shared_limit(std::min<double>(kStart, options.max_concurrent)),
      window_end(now + options.window) {}

std::size_t LearnedLimit::Shared() const {
  return static_cast<std::size_t>(
      std::min(this->shared_limit, this->online_limit));
}

void LearnedLimit::SetOptions(const LimitOptions& changed) {
  this->options = changed;
  this->online_limit =
      std::min<double>(this->online_limit, changed.max_concurrent);
  this->shared_limit =
      std::min<double>(this->shared_limit, changed.max_concurrent);
}

void LearnedLimit::OnToken(Duration gap, std::size_t running, Time now) {
  this->gaps.push_back(gap);
  this->Tick(running, now);
}

void LearnedLimit::Tick(std::size_t running, Time now) {
  this->peak_running = std::max(this->peak_running, running);
  if (now >= this->window_end) {
    this->EndWindow(now);
  }
}

void LearnedLimit::EndWindow(Time now) {
  this->window_end = now + this->options.window;
  const auto reached = static_cast<double>(this->peak_running);
  this->peak_running = 0;
  if (this->gaps.size() < kFewestSamples) {
    // An idle upstream teaches nothing; a nearly idle one must still be filled
    // step by step.
    return;
  }
  const Duration middle = Percentile(this->gaps, 50);
  const Duration tail = Percentile(this->gaps, kTailPercent);
  this->gaps.clear();
  this->LearnShared(middle, reached);
  if (tail > this->options.between_tokens) {
    this->online_limit =
        std::max(1.0, std::min(this->online_limit, reached) * kDecrease);
  } else if (reached + 1 >= this->online_limit) {
    this->online_limit =
        std::min<double>(this->online_limit + 1, this->options.max_concurrent);
  }
}

void LearnedLimit::LearnShared(Duration middle, double reached) {
  const auto base = static_cast<double>(this->baseline.count());
  const Duration drifted(
      static_cast<std::int64_t>(base * (1 + kBaselineDrift)));
  this->baseline =
      this->baseline.count() == 0 ? middle : std::min(drifted, middle);
  const double crowded =
      static_cast<double>(this->baseline.count()) * (1 + this->options.harm);
  if (static_cast<double>(middle.count()) > crowded) {
    this->shared_limit =
        std::max(1.0, std::min(this->shared_limit, reached) * kDecrease);
  } else if (reached + 1 >= this->shared_limit) {
    this->shared_limit =
        std::min<double>(this->shared_limit + 1, this->options.max_concurrent);
  }
}

}  // namespace papayarack::gate
