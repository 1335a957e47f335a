#include "batches/gatespeeds.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace papayarack::batches {

void GateSpeeds::Clear() {
  this->gates.clear();
  this->typical = {};
  this->reports_until_update = 0;
}

void GateSpeeds::Report(const std::string& gate, Duration run_time,
                        bool has_room, Time now) {
  if (run_time <= Duration(0)) {
    this->Forget(gate);
    return;
  }
  Gate& entry = this->gates[gate];
  const bool gets_room = has_room && (!entry.last_room.has_value() ||
                                      now - *entry.last_room > kRoomMemory);
  entry.run_time = run_time;
  entry.last_room = has_room ? now : entry.last_room;
  if (gets_room || this->reports_until_update == 0) {
    this->typical = this->Typical(now);
    this->reports_until_update = this->gates.size();
  }
  --this->reports_until_update;
}

void GateSpeeds::Forget(const std::string& gate) {
  if (this->gates.erase(gate) > 0) {
    this->reports_until_update = 0;
  }
}

Duration GateSpeeds::Typical(Time now) const {
  constexpr std::ptrdiff_t kQuartile = 4;
  std::vector<Duration> times;
  times.reserve(this->gates.size());
  for (const auto& [name, gate] : this->gates) {
    if (gate.last_room.has_value() && now - *gate.last_room <= kRoomMemory) {
      times.push_back(gate.run_time);
    }
  }
  if (times.empty()) {
    return Duration(0);
  }
  std::ranges::sort(times);
  const Duration median = times[times.size() / 2];
  const auto believed = std::ranges::lower_bound(
      times, Duration(static_cast<std::int64_t>(
                 static_cast<double>(median.count()) / kMaxFactor)));
  return *(believed + (times.end() - believed) / kQuartile);
}

double GateSpeeds::FactorOf(const std::string& gate) const {
  const auto found = this->gates.find(gate);
  if (found == this->gates.end() || this->typical <= Duration(0)) {
    return 1;
  }
  const double factor = static_cast<double>(found->second.run_time.count()) /
                        static_cast<double>(this->typical.count());
  return factor < kSlow ? 1 : std::min(factor, kMaxFactor);
}

}  // namespace papayarack::batches
