#ifndef PAPAYARACK_COORDINATION_QUARANTINETRACKER_H_
#define PAPAYARACK_COORDINATION_QUARANTINETRACKER_H_

#include <cstdint>

#include "coordination/coordinationmessages.h"
#include "global/timepoint.h"
#include "quarantine/crashtracker.h"

namespace papayarack::coordination {

/// The leader's part of quarantining requests that crash replicas: counts the
/// crashes that all entries report and sends the quarantined requests to
/// entries. Thread safety: none.
class QuarantineTracker {
 public:
  /// Resets the state for a new leader, which learns all from entries' reports.
  void BeginTerm();
  void OnReport(const WatchRequest& request, Time now);
  /// Quarantines the requests whose reported crashes now require it.
  void Evaluate(Time now);
  /// Whether the sender lacks the newest list. True for entries only, as other
  /// processes send no callers' requests.
  bool NeedsList(const WatchRequest& request) const;
  /// Adds the list's revision, and for entries the list itself if the sender
  /// lacks it or its last reply is of another term.
  void AddTo(const WatchRequest& request, WatchReply& reply) const;

 private:
  quarantine::CrashTracker crash_tracker;
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_QUARANTINETRACKER_H_
