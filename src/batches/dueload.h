#ifndef PAPAYARACK_BATCHES_DUELOAD_H_
#define PAPAYARACK_BATCHES_DUELOAD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "global/timepoint.h"

namespace papayarack::batches {

/// Tells which waiting items cannot all be in time if they are taken by due
/// time.
///
/// Load pattern: one organisation submits more than the slots can run for as
/// long as its results are awaited. By due time, the items that others submit
/// meanwhile are late in the same proportion as its own. Where its items are
/// late in one burst, those due later are not affected. Counts items by due
/// time in steps, so the cost does not depend on their number. Does no I/O.
/// Thread safety: none.
class DueLoad {
 public:
  /// Width of a step: small beside the time allowed for a result (18 s).
  static constexpr std::chrono::milliseconds kStep{200};

  void Add(Time due) { ++this->waiting[StepOf(due)]; }
  /// Precondition: an item with this due time was added and not removed.
  void Remove(Time due);
  /// Includes the items of another object.
  void Include(const DueLoad& other);
  /// The end of the last step of due times whose items cannot all be in time,
  /// if `slots` slots, each busy for `run_time` with an item, take items by due
  /// time and leave out those that are late; nullopt if all can be in time.
  /// Items due before `now + run_time` are late already and are not counted.
  std::optional<Time> LateUntil(Time now, Duration run_time,
                                double slots) const;

 private:
  static std::int64_t StepOf(Time due) {
    return due.time_since_epoch() / Duration(kStep);
  }

  std::map<std::int64_t, std::size_t> waiting;  ///< By step of the due time.
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_DUELOAD_H_
