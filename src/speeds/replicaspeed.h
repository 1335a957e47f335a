#ifndef PAPAYARACK_SPEEDS_REPLICASPEED_H_
#define PAPAYARACK_SPEEDS_REPLICASPEED_H_

#include <chrono>
#include <cstdint>

#include "global/timepoint.h"
#include "speeds/fleetspeeds.h"
#include "speeds/recentmean.h"

namespace papayarack::speeds {

/// What a gate states about its replica.
struct SpeedStatement {
  Duration hold{};         ///< Mean time that a stream holds a slot; zero:
                           ///< not known.
  Duration hold_age{};     ///< Since the last stream that the mean covers.
  std::uint32_t pace = 0;  ///< As in ReplicaSpeed::Paced; zero: not known.
};

/// What a stream of this process took at a replica.
struct StreamTimes {
  Duration first_event{};  ///< From sending; zero: not measured.
  Duration gap{};          ///< Mean time between events; zero: not measured.
};

/// Where a figure comes from.
enum class SpeedSource : std::uint8_t { kNone, kGate, kOwnStreams };

const char* NameOf(SpeedSource source);

/// A lasting factor, which leaves the pace out.
struct LastingSlowness {
  double factor = 1;
  SpeedSource source = SpeedSource::kNone;  ///< kNone: `factor` is 1.
  Duration age{};                           ///< Of the figure.
};

/// What the callers of a route need. Zero: no objective.
struct SpeedObjectives {
  Duration first_event{};
  Duration gap{};
  Duration completion{};
};

/// How slow one replica is compared with the typical one of its service.
///
/// Load pattern: replicas of one service differ in speed by more than two for
/// their whole life, and a noisy neighbour slows any of them down for some
/// tenths of a second. Statements of gates and own streams give a lasting
/// factor; the pace that a replica reports gives a momentary one. Each counts
/// less as it ages, and the slower of two sources counts, so that a misleading
/// figure of one source does not hide what the other shows. Sends nothing and
/// does no I/O. Thread safety: none.
class ReplicaSpeed {
 public:
  /// Replicas within this factor of the typical one count as typical: the
  /// number of concurrent runs alone makes this difference between equal ones.
  static constexpr double kEven = 1.4;
  /// From this factor on the measured one counts in full; in between it grows
  /// linearly, so that a replica near kEven does not switch to and fro.
  static constexpr double kFull = 1.8;
  /// A figure further away counts as this factor.
  static constexpr double kMaxSlowness = 8;
  /// The excess of a lasting factor halves after this time without evidence, so
  /// that a replica that has recovered is tried again.
  static constexpr std::chrono::seconds kLastingHalfLife{10};
  /// The same for the pace, which changes many times a second.
  static constexpr std::chrono::milliseconds kPaceHalfLife{250};

  /// A statement of the replica's gate. Adds it to `fleet` too.
  void Stated(const SpeedStatement& statement, FleetSpeeds& fleet, Time now);
  /// A stream of this process ended completely. Adds it to `fleet` too.
  void Streamed(const StreamTimes& times, FleetSpeeds& fleet, Time now);
  /// The replica reports how long work takes on its machine at the moment, in
  /// percent of the usual time; zero: it does not say.
  void Paced(std::uint32_t percent, Time now);

  /// Whether Slowness is 1 and MissesObjectives is false, without looking at
  /// ages: the common case, which a choice among thousands can afford.
  bool IsOrdinary(const FleetSpeeds& fleet) const {
    return this->pace <= kEven && IsWithin(kEven, this->hold_us, fleet.hold) &&
           IsWithin(kEven, this->gap_us, fleet.gap) &&
           IsWithin(kFull, this->first_event_us, fleet.first_event);
  }
  /// The time that work takes here over that at the typical replica; at least
  /// 1, at most kMaxSlowness, and 1 where either is not known.
  double Slowness(const FleetSpeeds& fleet, Time now) const;
  LastingSlowness Lasting(const FleetSpeeds& fleet, Time now) const;
  /// Whether a stream sent there now is expected to miss an objective that the
  /// typical replica meets.
  bool MissesObjectives(const SpeedObjectives& objectives,
                        const FleetSpeeds& fleet, Time now) const;

 private:
  /// Covers few streams, as an entry has few at each of many replicas.
  static constexpr std::uint32_t kOwnMemory = 4;
  static bool IsWithin(double factor, double micros,
                       const TypicalTime& typical) {
    return typical.Micros() == 0 || micros <= factor * typical.Micros();
  }
  double MomentaryFactor(Time now) const;

  double hold_us = 0;         ///< As stated; zero: not known.
  double gap_us = 0;          ///< Of own streams; zero: not known.
  double first_event_us = 0;  ///< Of own streams; zero: not known.
  double pace = 0;            ///< As a factor; zero: not known.
  Time hold_time{};           ///< Of the last stream that hold_us covers.
  Time pace_time{};
  Time own_time{};
  RecentMean own_gap{kOwnMemory};
  RecentMean own_first_event{kOwnMemory};
};

}  // namespace papayarack::speeds

#endif  // PAPAYARACK_SPEEDS_REPLICASPEED_H_
