#include "speeds/recentmean.h"

#include <algorithm>

namespace papayarack::speeds {

void RecentMean::Add(Duration sample, Time now) {
  if (sample <= Duration(0)) {
    return;
  }
  this->samples = std::min(this->samples + 1, this->memory);
  const double difference = static_cast<double>(sample.count()) - this->mean;
  this->mean += difference / this->samples;
  this->last = now;
}

void RecentMean::Reset() {
  this->samples = 0;
  this->mean = 0;
  this->last = {};
}

std::optional<Duration> RecentMean::Mean() const {
  if (this->samples < std::min(kMinSamples, this->memory)) {
    return std::nullopt;
  }
  return Duration(static_cast<std::int64_t>(this->mean));
}

Duration RecentMean::Age(Time now) const {
  return this->samples == 0 ? Duration(0)
                            : std::max(Duration(0), now - this->last);
}

}  // namespace papayarack::speeds
