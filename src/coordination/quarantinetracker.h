#ifndef PAPAYARACK_COORDINATION_QUARANTINEKEEPER_H_
#define PAPAYARACK_COORDINATION_QUARANTINEKEEPER_H_

#include <cstdint>

#include "coordination/coordinationmessages.h"
#include "global/timepoint.h"
#include "quarantine/crashledger.h"

namespace papayarack::coordination {

/// The leader's part in stopping requests that crash replicas: counts what all
/// entries report and tells them which requests are not to be run. Thread
/// safety: none.
class QuarantineKeeper {
 public:
  /// A new leader learns everything from the entries' reports.
  void BeginTerm();
  void Heard(const WatchRequest& request, Time now);
  /// Reaches verdicts that are due.
  void Judge(Time now);
  /// Whether an asker lacks the newest list. Entries only: others send nothing
  /// on a caller's behalf.
  bool IsNews(const WatchRequest& request) const;
  /// Adds the list where the asker, or the leader it knew before, lacks it.
  void AddTo(const WatchRequest& request, WatchReply& reply) const;

 private:
  quarantine::CrashLedger ledger;
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_QUARANTINEKEEPER_H_
