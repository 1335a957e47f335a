#include "batches/gatespeeds.h"

#include <algorithm>

namespace papayarack::batches {

void GateSpeeds::Clear() {
  this->run_times.clear();
  this->typical = {};
  this->reports_until_update = 0;
}

void GateSpeeds::Report(const std::string& gate, Duration run_time) {
  if (run_time <= Duration(0)) {
    this->Forget(gate);
    return;
  }
  const auto [entry, added] = this->run_times.insert_or_assign(gate, run_time);
  if (added || this->reports_until_update == 0) {
    this->typical = this->Typical();
    this->reports_until_update = this->run_times.size();
  }
  --this->reports_until_update;
}

void GateSpeeds::Forget(const std::string& gate) {
  this->run_times.erase(gate);
}

Duration GateSpeeds::Typical() const {
  constexpr std::size_t kQuartile = 4;
  std::vector<Duration> times;
  times.reserve(this->run_times.size());
  for (const auto& [gate, time] : this->run_times) {
    times.push_back(time);
  }
  if (times.empty()) {
    return Duration(0);
  }
  const auto quartile =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / kQuartile);
  std::ranges::nth_element(times, quartile);
  return *quartile;
}

double GateSpeeds::FactorOf(const std::string& gate) const {
  const auto found = this->run_times.find(gate);
  if (found == this->run_times.end() || this->typical <= Duration(0)) {
    return 1;
  }
  const double factor = static_cast<double>(found->second.count()) /
                        static_cast<double>(this->typical.count());
  return factor < kSlow ? 1 : std::min(factor, kMaxFactor);
}

}  // namespace papayarack::batches
