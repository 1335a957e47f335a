#include "placement/zonepolicy.h"

#include <algorithm>
#include <cmath>

namespace papayarack::placement {
namespace {

/// Streams that the mean of their bytes covers.
constexpr std::uint32_t kBytesMemory = 64;
/// From this price on a stream costs what it is worth.
constexpr double kWorth = 1;

bool IsKnown(const ZoneLoad& load) {
  return load.slots > 0 && load.known >= ZonePolicy::kMinKnown * load.slots;
}

double Occupancy(const ZoneLoad& load) { return load.used / load.known; }

}  // namespace

const char* NameOf(ZoneReason reason) {
  switch (reason) {
    case ZoneReason::kLessBusy:
      return "less_busy";
    case ZoneReason::kOwnZoneFull:
      return "own_zone_full";
    case ZoneReason::kOwnZoneLost:
      return "own_zone_lost";
    case ZoneReason::kTooCostly:
      return "too_costly";
    case ZoneReason::kShareUsed:
      return "share_used";
  }
  return "unknown";
}

bool ZonePolicy::Relieves(const ZoneLoads& loads) const {
  if (!IsKnown(loads.own) || !IsKnown(loads.others)) {
    return false;
  }
  const double own = Occupancy(loads.own);
  const double room = own - Occupancy(loads.others);
  return this->relief ? own >= kNoLongerFull && room >= kNoMoreRoom
                      : own >= kFull && room >= kRoom;
}

void ZonePolicy::Update(const ZoneLoads& loads, Time now) {
  this->own_zone_lost = loads.own.usable == 0 && loads.others.usable > 0;
  this->relief = this->Relieves(loads);
  const Duration since = std::min<Duration>(now - this->updated, kInterval * 2);
  this->updated = now;
  this->DecayShare(now);
  const double step =
      (kBasePenalty - kReliefPenalty) * ToSeconds(since) / ToSeconds(kRamp);
  const double change = this->relief ? -step : step;
  this->penalty_slots =
      std::clamp(this->penalty_slots + change, kReliefPenalty, kBasePenalty);
}

void ZonePolicy::DecayShare(Time now) {
  const Duration since = std::max(Duration(0), now - this->share_time);
  const double kept = std::exp(-ToSeconds(since) / ToSeconds(kShareWindow));
  this->share_time = now;
  this->sent *= kept;
  this->sent_away *= kept;
}

void ZonePolicy::Sent(bool other_zone, Time now) {
  this->DecayShare(now);
  this->sent += 1;
  this->sent_away += other_zone ? 1 : 0;
}

void ZonePolicy::Moved(std::uint64_t bytes) {
  this->streams = std::min(this->streams + 1, kBytesMemory);
  this->mean_bytes +=
      (static_cast<double>(bytes) - this->mean_bytes) / this->streams;
  this->price = this->settings.byte_cost * this->mean_bytes;
}

/// A request more must keep within the bound.
bool ZonePolicy::ShareUsed() const {
  const double bound = this->settings.max_share;
  const double slack = bound > 0 ? kShareSlack : 0;
  return bound < 1 && this->sent_away + 1 > bound * (this->sent + 1) + slack;
}

ZoneReason ZonePolicy::Reason() const {
  if (this->own_zone_lost) {
    return ZoneReason::kOwnZoneLost;
  }
  if (this->price >= kWorth) {
    return ZoneReason::kTooCostly;
  }
  if (this->ShareUsed()) {
    return ZoneReason::kShareUsed;
  }
  return this->relief ? ZoneReason::kOwnZoneFull : ZoneReason::kLessBusy;
}

bool ZonePolicy::MayLeave() const {
  const ZoneReason reason = this->Reason();
  return reason != ZoneReason::kTooCostly && reason != ZoneReason::kShareUsed;
}

double ZonePolicy::Share() const {
  return this->sent > 0 ? this->sent_away / this->sent : 0;
}

}  // namespace papayarack::placement
