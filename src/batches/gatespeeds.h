#ifndef PAPAYARACK_BATCHES_GATESPEEDS_H_
#define PAPAYARACK_BATCHES_GATESPEEDS_H_

#include <map>
#include <string>
#include <vector>

#include "global/timepoint.h"

namespace papayarack::batches {

/// How long gates take for an item, as they state it with each pull.
///
/// Load pattern: replicas of one service differ in speed by a factor of two and
/// more, so an item that is in time at one gate is late at another. An estimate
/// for the whole fleet leases it to the gate that asks first. Does no I/O.
/// Thread safety: none.
class GateSpeeds {
 public:
  /// A gate counts as slow from this factor over the typical one on: beyond
  /// what the number of runs beside makes of equal replicas.
  static constexpr double kSlow = 1.4;
  /// A statement further away from the typical one counts as this factor, so
  /// that an absurd one neither claims nor keeps away all items.
  static constexpr double kMaxFactor = 8;

  void Clear();
  /// A gate states the time that a whole item takes there now; zero: unknown.
  void Report(const std::string& gate, Duration run_time);
  void Forget(const std::string& gate);
  /// The gate's time over that of the typical gate, at most kMaxFactor; 1 if
  /// either is not known, and below kSlow, as gates of equal speed differ by
  /// chance.
  double FactorOf(const std::string& gate) const;
  bool IsSlow(const std::string& gate) const {
    return this->FactorOf(gate) >= kSlow;
  }

 private:
  /// The lower quartile, so that a minority of fast gates is still preferred;
  /// zero if no gate has stated a time.
  Duration Typical() const;

  std::map<std::string, Duration> run_times;  ///< By gate.
  /// Recomputed after changes, as pulls are much more frequent than changes of
  /// speed.
  mutable Duration typical{};
  mutable std::size_t reports_until_update = 0;
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_GATESPEEDS_H_
