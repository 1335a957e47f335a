#include "speeds/fleetspeeds.h"

#include <algorithm>
#include <limits>

namespace papayarack::speeds {

void TypicalTime::Add(Duration time) {
  if (time <= Duration(0)) {
    return;
  }
  const std::int64_t limit = std::numeric_limits<std::uint32_t>::max();
  this->observations[this->count % kKept] =
      static_cast<std::uint32_t>(std::min(time.count(), limit));
  ++this->count;
  if (this->count % kUpdateInterval == 0) {
    this->Update();
  }
}

void TypicalTime::Update() {
  const std::size_t kept = std::min(this->count, kKept);
  if (kept < kMinObservations) {
    return;
  }
  auto sorted = this->observations;
  const auto quartile = sorted.begin() + static_cast<std::ptrdiff_t>(kept / 4);
  std::nth_element(sorted.begin(), quartile,
                   sorted.begin() + static_cast<std::ptrdiff_t>(kept));
  this->typical = *quartile;
}

}  // namespace papayarack::speeds
