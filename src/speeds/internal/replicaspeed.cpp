#include "speeds/replicaspeed.h"

#include <algorithm>

namespace papayarack::speeds {
namespace {

constexpr double kPercent = 100;

double Micros(Duration time) { return static_cast<double>(time.count()); }

/// Weight of a figure of this age.
double WeightOf(Duration age, Duration half_life) {
  const double ratio = Micros(std::max(Duration(0), age)) / Micros(half_life);
  return 1 / (1 + ratio);
}

/// The factor as it counts: 1 up to kEven, itself from kFull on.
double Significant(double factor) {
  if (factor <= ReplicaSpeed::kEven) {
    return 1;
  }
  const double position = (factor - ReplicaSpeed::kEven) /
                          (ReplicaSpeed::kFull - ReplicaSpeed::kEven);
  return position >= 1 ? factor : 1 + position * (ReplicaSpeed::kFull - 1);
}

double LastingFactor(double micros, const TypicalTime& typical, Duration age) {
  if (micros == 0 || typical.Micros() == 0) {
    return 1;
  }
  const double factor = std::min(Significant(micros / typical.Micros()),
                                 ReplicaSpeed::kMaxSlowness);
  return 1 + (factor - 1) * WeightOf(age, ReplicaSpeed::kLastingHalfLife);
}

/// Whether the figure at the replica misses an objective that the typical one
/// meets. A figure that is old or not known counts as the typical one.
bool Misses(Duration objective, double micros, const TypicalTime& typical,
            Duration age, double momentary) {
  if (objective == Duration(0) || typical.Micros() == 0) {
    return false;
  }
  const double difference = micros == 0 ? 0 : micros - typical.Micros();
  const double weight = WeightOf(age, ReplicaSpeed::kLastingHalfLife);
  const double expected = (typical.Micros() + difference * weight) * momentary;
  return expected > Micros(objective) && typical.Micros() <= Micros(objective);
}

}  // namespace

const char* NameOf(SpeedSource source) {
  switch (source) {
    case SpeedSource::kNone:
      return "none";
    case SpeedSource::kGate:
      return "gate";
    case SpeedSource::kOwnStreams:
      return "own_streams";
  }
  return "unknown";
}

void ReplicaSpeed::Stated(const SpeedStatement& statement, FleetSpeeds& fleet,
                          Time now) {
  this->Paced(statement.pace, now);
  if (statement.hold <= Duration(0)) {
    return;
  }
  fleet.hold.Add(statement.hold);
  this->hold_us = Micros(statement.hold);
  this->hold_time = now - std::max(Duration(0), statement.hold_age);
}

void ReplicaSpeed::Streamed(const StreamTimes& times, FleetSpeeds& fleet,
                            Time now) {
  fleet.gap.Add(times.gap);
  fleet.first_event.Add(times.first_event);
  this->own_gap.Add(times.gap, now);
  this->own_first_event.Add(times.first_event, now);
  this->own_time = now;
  this->gap_us = Micros(this->own_gap.Mean().value_or(Duration(0)));
  this->first_event_us =
      Micros(this->own_first_event.Mean().value_or(Duration(0)));
}

void ReplicaSpeed::Paced(std::uint32_t percent, Time now) {
  if (percent == 0) {
    return;
  }
  this->pace = std::min(percent / kPercent, kMaxSlowness);
  this->pace_time = now;
}

double ReplicaSpeed::MomentaryFactor(Time now) const {
  const double weight = WeightOf(now - this->pace_time, kPaceHalfLife);
  return 1 + (Significant(this->pace) - 1) * weight;
}

LastingSlowness ReplicaSpeed::Lasting(const FleetSpeeds& fleet,
                                      Time now) const {
  const Duration gate_age = now - this->hold_time;
  const Duration own_age = now - this->own_time;
  const double gate = LastingFactor(this->hold_us, fleet.hold, gate_age);
  const double own = LastingFactor(this->gap_us, fleet.gap, own_age);
  if (std::max(gate, own) <= 1) {
    return {};
  }
  return own > gate ? LastingSlowness{own, SpeedSource::kOwnStreams, own_age}
                    : LastingSlowness{gate, SpeedSource::kGate, gate_age};
}

double ReplicaSpeed::Slowness(const FleetSpeeds& fleet, Time now) const {
  return std::min(this->Lasting(fleet, now).factor * this->MomentaryFactor(now),
                  kMaxSlowness);
}

bool ReplicaSpeed::MissesObjectives(const SpeedObjectives& objectives,
                                    const FleetSpeeds& fleet, Time now) const {
  const double momentary = this->MomentaryFactor(now);
  const Duration own_age = now - this->own_time;
  return Misses(objectives.first_event, this->first_event_us, fleet.first_event,
                own_age, momentary) ||
         Misses(objectives.gap, this->gap_us, fleet.gap, own_age, momentary) ||
         Misses(objectives.completion, this->hold_us, fleet.hold,
                now - this->hold_time, momentary);
}

}  // namespace papayarack::speeds
