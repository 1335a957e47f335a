#ifndef PAPAYARACK_SPEEDS_GATESPEED_H_
#define PAPAYARACK_SPEEDS_GATESPEED_H_

#include <chrono>
#include <cstdint>

#include "global/timepoint.h"
#include "speeds/recentmean.h"
#include "speeds/replicaspeed.h"

namespace papayarack::speeds {

/// What a gate knows of its replica's speed. Thread safety: none.
class GateSpeed {
 public:
  /// Streams that end sooner were cancelled or rejected and tell nothing of the
  /// replica's speed.
  static constexpr std::chrono::milliseconds kShortestHold{100};
  /// A pace is not stated once it is this old: a few reports of a replica on
  /// the same VM.
  static constexpr std::chrono::milliseconds kPaceAge{300};

  /// A stream released its slot after `held`.
  void Held(Duration held, Time now);
  /// As ReplicaSpeed::Paced.
  void Paced(std::uint32_t percent, Time now);
  /// The replica has started anew.
  void Reset();
  SpeedStatement Statement(Time now) const;

 private:
  /// Two waves at one replica.
  static constexpr std::uint32_t kMemory = 20;

  RecentMean hold{kMemory};
  std::uint32_t pace = 0;
  Time pace_time{};
};

}  // namespace papayarack::speeds

#endif  // PAPAYARACK_SPEEDS_GATESPEED_H_
