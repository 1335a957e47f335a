#ifndef PAPAYARACK_PLACEMENT_ZONEPOLICY_H_
#define PAPAYARACK_PLACEMENT_ZONEPOLICY_H_

#include <chrono>
#include <cstdint>

#include "global/timepoint.h"

namespace papayarack::placement {

/// What an operator states about traffic between zones.
struct ZoneSettings {
  /// Cost of a byte between zones over the worth of a request served in time.
  double byte_cost = 0;
  /// Largest share of requests sent to other zones.
  double max_share = 1;
};

/// Load of the replicas of one or several zones. Each counts by the weight of
/// its last report, which falls with the report's age.
struct ZoneLoad {
  double used = 0;           ///< Slots in use, weighted.
  double known = 0;          ///< Slots, weighted.
  double slots = 0;          ///< Slots.
  std::uint32_t usable = 0;  ///< Replicas that may take the request.
};

struct ZoneLoads {
  ZoneLoad own;
  ZoneLoad others;
};

/// Why a request may be sent to another zone, or not.
enum class ZoneReason : std::uint8_t {
  kLessBusy,     ///< Where a replica there is less busy by the penalty.
  kOwnZoneFull,  ///< Own zone nearly full, others not: with a lower penalty.
  kOwnZoneLost,  ///< No replica of the own zone is usable.
  kTooCostly,    ///< A stream's bytes cost more than it is worth: not at all.
  kShareUsed,    ///< The bound on the share is reached: not at all.
};

const char* NameOf(ZoneReason reason);

/// Decides when requests leave the entry's zone, and how readily.
///
/// Load pattern: zones have equal load most of the time, and a replica abroad
/// that has one slot more free brings a caller nothing; a zone with too few
/// replicas, however, fills at each peak while others have slots left. Full
/// zones gain nothing from sending requests to each other. Changes are ramped
/// and have hysteresis, so that the entries of a zone neither leave together
/// nor return together. Does no I/O. Thread safety: none.
class ZonePolicy {
 public:
  /// Penalty of another zone in slots. Above the noise of a choice, so that
  /// among equally busy replicas a local one is chosen, which saves traffic
  /// between zones. With a penalty of all slots of a replica, entries would ask
  /// all replicas of their zone first and be refused if the load of the zones
  /// differs.
  static constexpr double kBasePenalty = 1;
  /// The lowest penalty, while the own zone is full: below that, streams would
  /// cross between replicas that are equally busy.
  static constexpr double kReliefPenalty = 0.25;
  /// The own zone counts as full from this occupancy on: at seven of eight
  /// slots an ask finds no free slot at a good part of the replicas.
  static constexpr double kFull = 0.85;
  static constexpr double kNoLongerFull = 0.7;
  /// Other zones have room if they are less occupied than the own one by this
  /// much: a slot of eight, as sending there takes it from their callers.
  static constexpr double kRoom = 0.125;
  static constexpr double kNoMoreRoom = 0.05;
  /// Weight of the reports below which nothing is concluded from them: half of
  /// that at the age of a second, when each replica has been asked again.
  static constexpr double kMinKnown = 0.1;
  /// Time for the whole way between base and relief, ten round trips of asks
  /// between zones: replies of gates show what was sent before more follows.
  static constexpr std::chrono::milliseconds kRamp{300};
  /// Interval of updates; loads are summed only then.
  static constexpr std::chrono::milliseconds kInterval{50};
  /// Time constant of the share of requests sent to other zones.
  static constexpr std::chrono::milliseconds kShareWindow{5000};
  /// Requests above the bound on the share, so that it can be used at all at
  /// low load.
  static constexpr double kShareSlack = 1;

  explicit ZonePolicy(const ZoneSettings& settings = {}) : settings(settings) {}

  /// Whether Update is due.
  bool Due(Time now) const {
    return now - this->updated >= Duration(kInterval);
  }
  void Update(const ZoneLoads& loads, Time now);
  /// A request is sent.
  void Sent(bool other_zone, Time now);
  /// A stream that ended moved `bytes` between entry and replica.
  void Moved(std::uint64_t bytes);

  /// Penalty of a replica of another zone with `slots` slots, as a share of
  /// the replica. Precondition: `slots` is above zero.
  double Penalty(double slots) const {
    return this->penalty_slots / slots + this->price;
  }
  /// Whether a request may leave the zone at all.
  bool MayLeave() const;
  ZoneReason Reason() const;
  /// Share of requests sent to other zones lately.
  double Share() const;

 private:
  /// True if leaving is worth more than the base penalty says.
  bool Relieves(const ZoneLoads& loads) const;
  void DecayShare(Time now);
  bool ShareUsed() const;

  ZoneSettings settings;
  Time updated{};
  bool own_zone_lost = false;
  bool relief = false;
  double penalty_slots = kBasePenalty;
  /// Cost of a stream's bytes as a share of its worth, which counts as much as
  /// a replica that is full.
  double price = 0;
  double mean_bytes = 0;
  std::uint32_t streams = 0;  ///< In mean_bytes, up to its memory.
  double sent = 0;            ///< Decayed counts.
  double sent_away = 0;
  Time share_time{};
};

}  // namespace papayarack::placement

#endif  // PAPAYARACK_PLACEMENT_ZONEPOLICY_H_
