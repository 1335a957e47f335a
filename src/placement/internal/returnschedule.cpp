#include "placement/returnschedule.h"

#include <algorithm>

namespace papayarack::placement {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{100};
/// Retry-After is sent with two decimals, which must not round it up.
constexpr milliseconds kResolution{10};
/// Part of their remaining time that callers wait before they retry.
constexpr int kHonouredPart = 3;
/// A peak is over when nobody was rejected for this long: shorter than a
/// trough, longer than the gaps between rejections at one entry.
constexpr milliseconds kQuiet{700};
/// Rejections over a shorter time are chance, no peak.
constexpr milliseconds kShortestPeak{300};
/// Rates are used once learned from as many tenths of a second at a peak.
constexpr std::size_t kMinFullSteps = 5;
/// Weight of a tenth of a second in a rate: the last seconds count.
constexpr double kStepWeight = 0.05;
/// Weight of a peak in the length of peaks.
constexpr double kPeakWeight = 0.3;

std::int64_t StepOf(Time time) {
  return time.time_since_epoch() / std::chrono::duration_cast<Duration>(kStep);
}

void Average(double& mean, double sample, double weight) {
  mean += (sample - mean) * weight;
}

}  // namespace

ReturnSchedule::Counts& ReturnSchedule::At(Step step) {
  Counts& counts = this->counts.at(static_cast<std::size_t>(step) % kSteps);
  if (counts.step != step) {
    counts = {};
    counts.step = step;
  }
  return counts;
}

std::uint32_t ReturnSchedule::ReturningAt(Step step) const {
  const Counts& counts =
      this->counts.at(static_cast<std::size_t>(step) % kSteps);
  return counts.step == step ? counts.returning : 0;
}

/// Learns from the steps of which is known whether they belong to a peak; after
/// a long pause only from those that are still kept.
void ReturnSchedule::LearnUntil(Step now) {
  constexpr Step kLearnable = static_cast<Step>(kSteps) / 2;
  const Step end = now - kQuiet / kStep;
  const Step first = std::max(this->learned_until, now - kLearnable);
  for (Step step = first; step < end; ++step) {
    this->LearnFrom(this->At(step));
  }
  this->learned_until = std::max(this->learned_until, end);
}

void ReturnSchedule::LearnFrom(const Counts& counts) {
  const bool in_peak = counts.step >= StepOf(this->peak_began) &&
                       counts.step <= StepOf(this->last_rejected);
  if (!in_peak) {
    Average(this->calm_per_step, counts.served, kStepWeight);
    return;
  }
  ++this->full_steps;
  const double weight =
      std::max(kStepWeight, 1.0 / static_cast<double>(this->full_steps));
  Average(this->served_per_step, counts.served, weight);
}

void ReturnSchedule::Served(Time now) {
  this->LearnUntil(StepOf(now));
  ++this->At(StepOf(now)).served;
}

void ReturnSchedule::NotePeak(Time now) {
  if (now - this->last_rejected > kQuiet) {
    const Duration length = this->last_rejected - this->peak_began;
    if (length >= kShortestPeak) {
      const Duration before = this->peak_length.value_or(length);
      this->peak_length = before + std::chrono::duration_cast<Duration>(
                                       (length - before) * kPeakWeight);
    }
    this->peak_began = now;
  }
  this->last_rejected = now;
}

std::optional<double> ReturnSchedule::ServedPerSecond() const {
  if (this->full_steps < kMinFullSteps) {
    return std::nullopt;
  }
  return this->served_per_step * (std::chrono::seconds(1) / kStep);
}

std::optional<ReturnSchedule::Step> ReturnSchedule::StepAfterPeak(
    Step now, Step last) const {
  const Step end = StepOf(this->peak_began + *this->peak_length) + 1;
  if (end <= now) {
    return std::nullopt;  // This peak lasts longer than others: end unknown.
  }
  const double room = this->served_per_step - this->calm_per_step;
  // At a small entry a slot comes free less often than once a step.
  const double most = std::max(1.0, room);
  double available = 0;
  for (Step step = end; step <= last; ++step) {
    available = std::min(available + room, most) - this->ReturningAt(step);
    if (available >= 1) {
      return step;
    }
  }
  return std::nullopt;
}

ReturnSchedule::Step ReturnSchedule::LeastUsed(Step now, Step last) const {
  Step least = last;
  for (Step step = last; step > now + (last - now) / 2; --step) {
    if (this->ReturningAt(step) < this->ReturningAt(least)) {
      least = step;
    }
  }
  return least;
}

ReturnTime ReturnSchedule::Rejected(milliseconds usual, milliseconds remaining,
                                    Time now) {
  const Step step = StepOf(now);
  this->LearnUntil(step);
  this->NotePeak(now);
  ++this->At(step).rejected;
  const milliseconds honoured =
      std::max(milliseconds(0), remaining / kHonouredPart);
  const milliseconds longest = honoured - honoured % kResolution;
  ReturnTime result{std::min(usual, longest)};
  const Step last = std::min(StepOf(now + longest) - 1,
                             step + static_cast<Step>(kSteps) / 2 - 1);
  result.learned = this->peak_length.has_value() &&
                   this->full_steps >= kMinFullSteps && last > step;
  if (result.learned) {
    const Step at =
        this->StepAfterPeak(step, last).value_or(this->LeastUsed(step, last));
    // Whole steps keep the distances between callers within one.
    result.delay = kStep * (at - step);
  }
  result.at_once = ++this->At(StepOf(now + result.delay)).returning;
  return result;
}

}  // namespace papayarack::placement
