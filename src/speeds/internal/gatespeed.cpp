#include "speeds/gatespeed.h"

namespace papayarack::speeds {

void GateSpeed::Held(Duration held, Time now) {
  if (held >= kShortestHold) {
    this->hold.Add(held, now);
  }
}

void GateSpeed::Paced(std::uint32_t percent, Time now) {
  if (percent != 0) {
    this->pace = percent;
    this->pace_time = now;
  }
}

void GateSpeed::Reset() {
  this->hold.Reset();
  this->pace = 0;
}

SpeedStatement GateSpeed::Statement(Time now) const {
  SpeedStatement statement;
  statement.hold = this->hold.Mean().value_or(Duration(0));
  statement.hold_age = this->hold.Age(now);
  statement.pace = now - this->pace_time <= kPaceAge ? this->pace : 0;
  return statement;
}

}  // namespace papayarack::speeds
