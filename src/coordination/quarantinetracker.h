#ifndef PAPAYARACK_COORDINATION_QUARANTINETRACKER_H_
#define PAPAYARACK_COORDINATION_QUARANTINETRACKER_H_

#include <cstdint>
#include <string>

#include "coordination/coordinationmessages.h"
#include "global/timepoint.h"
#include "quarantine/crashtracker.h"

namespace papayarack::coordination {

/// The leader's part of quarantining what crashes replicas: counts the crashes
/// that all processes report and sends the quarantined traits to them. Thread
/// safety: none.
class QuarantineTracker {
 public:
  /// Resets the state for a new leader, which learns all from entries' reports.
  void BeginTerm();
  void OnReport(const WatchRequest& request, Time now);
  /// Quarantines the traits whose reported crashes now require it.
  void Evaluate(Time now);
  /// Whether the sender lacks the newest list.
  bool NeedsList(const WatchRequest& request) const;
  /// Adds the list's revision, and the list itself if the sender lacks it or
  /// its last reply is of another term.
  void AddTo(const WatchRequest& request, WatchReply& reply, Time now) const;

 private:
  void OnEarlierRelease(const WatchRequest& request, Time now);
  void OnSurvival(const quarantine::SurvivalReport& survival,
                  const std::string& process, Time now);

  quarantine::CrashTracker crash_tracker;
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_QUARANTINETRACKER_H_
