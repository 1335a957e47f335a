#ifndef PAPAYARACK_BATCHES_GATESPEEDS_H_
#define PAPAYARACK_BATCHES_GATESPEEDS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "global/timepoint.h"

namespace papayarack::batches {

/// How long gates take for an item, as they state it with each pull.
///
/// Load pattern: replicas of one service differ in speed by a factor of two and
/// more, so an item that is in time at one gate is late at another. An estimate
/// for the whole fleet leases it to the gate that asks first. Gates of
/// different services are not comparable: use one object for each service. Does
/// no I/O. Thread safety: none.
class GateSpeeds {
 public:
  /// A gate counts as slow from this factor over the typical one on. Equal
  /// replicas differ by less, through the number of their concurrent runs.
  static constexpr double kSlow = 1.4;
  /// A longer time counts as this factor over the typical one. A time that is
  /// shorter than the median by more than this factor is not believed:
  /// otherwise one absurd statement keeps items away from all other gates.
  static constexpr double kMaxFactor = 8;
  /// A gate that has had no room for this long is no alternative to a slow one,
  /// as items would wait for it in vain. Online peaks that take all slots last
  /// about three seconds.
  static constexpr std::chrono::milliseconds kRoomMemory{5000};

  void Clear();
  /// A gate states the time that a whole item takes there now (zero: unknown)
  /// and whether it has room for items.
  void Report(const std::string& gate, Duration run_time, bool has_room,
              Time now);
  void Forget(const std::string& gate);
  bool Empty() const { return this->gates.empty(); }
  /// The gate's time over that of the typical gate, at most kMaxFactor; 1 if
  /// either is not known, and below kSlow, as gates of equal speed differ by
  /// chance.
  double FactorOf(const std::string& gate) const;
  bool IsSlow(const std::string& gate) const {
    return this->FactorOf(gate) >= kSlow;
  }

 private:
  struct Gate {
    Duration run_time{};
    std::optional<Time> last_room;  ///< When it last had room.
  };

  /// The lower quartile of the gates with room, so that a minority of fast
  /// gates is still preferred; zero if there is none.
  Duration Typical(Time now) const;

  std::map<std::string, Gate> gates;
  /// Recomputed after a number of reports, as pulls are much more frequent than
  /// changes of speed.
  Duration typical{};
  std::size_t reports_until_update = 0;
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_GATESPEEDS_H_
