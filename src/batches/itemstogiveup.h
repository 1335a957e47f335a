#ifndef PAPAYARACK_BATCHES_ITEMSTOGIVEUP_H_
#define PAPAYARACK_BATCHES_ITEMSTOGIVEUP_H_

#include <cstddef>
#include <map>
#include <string>

#include "batches/batchmessages.h"
#include "batches/batchstate.h"
#include "batches/leasescheduler.h"
#include "global/timepoint.h"
#include "routes/routetable.h"

namespace papayarack::batches {

/// Decides which items the leader of the job group gives up, so that the wait
/// of their callers ends. Does no I/O. Thread safety: none.
class ItemsToGiveUp {
 public:
  /// Bounds the log entry that gives waiting items up; the rest follow later.
  static constexpr std::size_t kMaxAtOnce = 1000;

  /// This member becomes leader.
  void Reset() { this->known_since.clear(); }
  /// Items whose route was removed, or takes no batches now: they can never
  /// run. Where `table` is older than the routes that allowed a batch, its
  /// route may be one that this member does not know yet.
  static ReportOutcomes OfRemovedRoutes(const BatchState& state,
                                        const routes::RouteTable& table);
  /// Items that no gate holds and whose route's longest wait is over, such as
  /// those of a service without a replica. The wait counts from when this
  /// leader learned of the batch: clocks of VMs differ, and an item must not be
  /// given up too soon. Call it every few seconds.
  ReportOutcomes ThatWaitTooLong(const BatchState& state,
                                 const routes::RouteTable& table,
                                 const LeaseScheduler& leases, Time now);

 private:
  /// Since when this leader has known each open batch, by id.
  std::map<std::string, Time> known_since;
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_ITEMSTOGIVEUP_H_
