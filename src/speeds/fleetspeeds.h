#ifndef PAPAYARACK_SPEEDS_FLEETSPEEDS_H_
#define PAPAYARACK_SPEEDS_FLEETSPEEDS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "global/timepoint.h"

namespace papayarack::speeds {

/// A measured time at the typical replica of a fleet: the lower quartile of the
/// last observations of all replicas, so that a majority of slow ones does not
/// hide that others are faster. Bounded, whatever the number of replicas.
/// Thread safety: none.
class TypicalTime {
 public:
  /// Fewer observations may all be of one replica.
  static constexpr std::size_t kMinObservations = 8;

  /// Observations that are not positive are ignored.
  void Add(Duration time);
  /// Microseconds; zero while it is not known.
  double Micros() const { return this->typical; }

 private:
  /// Covers some seconds of the replies that an entry gets.
  static constexpr std::size_t kKept = 128;
  /// Observations between two computations.
  static constexpr std::size_t kUpdateInterval = 8;
  void Update();

  std::array<std::uint32_t, kKept> observations{};  ///< Microseconds.
  std::size_t count = 0;                            ///< Ever added.
  double typical = 0;
};

/// The typical replica of one service.
struct FleetSpeeds {
  TypicalTime hold;         ///< How long a stream holds a slot.
  TypicalTime gap;          ///< Between two events of a stream.
  TypicalTime first_event;  ///< From sending a request.
};

}  // namespace papayarack::speeds

#endif  // PAPAYARACK_SPEEDS_FLEETSPEEDS_H_
