#ifndef PAPAYARACK_SLOTS_ENGINEHEALTH_H_
#define PAPAYARACK_SLOTS_ENGINEHEALTH_H_

#include <cstdint>
#include <optional>

#include "global/timepoint.h"

namespace papayarack::slots {

/// Detects whether the engine of a gate is up, by the load reports that the
/// gate requests from it ten times a second.
///
/// Load pattern: an engine crashes and stays on the platform's list for
/// seconds. A gate that continues to grant slots sends callers to a port that
/// refuses them, and its batch items wait for a dead engine. A gate that
/// detects the crash sends callers to other engines and returns its items at
/// once. Thread safety: none.
class EngineHealth {
 public:
  /// Timeout of a report, after which its connection is closed as well. A
  /// report from the same VM takes a few milliseconds, or a tenth of a second
  /// if the VM is slowed ten times. Without the timeout a gate whose engine
  /// hangs and restarts waits forever for a response from before the restart.
  static constexpr std::chrono::milliseconds kReportTimeout{400};
  /// A single failure may be a connection reset; after a crash the second
  /// report, which is requested at once, fails too.
  static constexpr std::uint32_t kDownAfterFailures = 2;

  /// A report was requested. Precondition: none was pending.
  void Asked(Time now) { this->asked = now; }
  /// The engine responded, with any status.
  void Answered() {
    this->asked.reset();
    this->failures = 0;
  }
  /// The connection was refused or lost.
  void Failed() {
    this->asked.reset();
    ++this->failures;
  }
  /// The pending report timed out and was cancelled.
  void TimedOut() {
    this->asked.reset();
    this->failures = kDownAfterFailures;
  }
  /// Whether the pending report should be cancelled.
  bool Overdue(Time now) const {
    return this->asked.has_value() && now - *this->asked > kReportTimeout;
  }
  /// Whether to request the next report at once instead of at the usual
  /// interval.
  bool Suspected() const {
    return this->failures > 0 && this->failures < kDownAfterFailures;
  }
  /// Whether work may be sent to the engine.
  bool Up() const { return this->failures < kDownAfterFailures; }

 private:
  std::optional<Time> asked;   ///< Request time of the pending report.
  std::uint32_t failures = 0;  ///< Consecutive.
};

}  // namespace papayarack::slots

#endif  // PAPAYARACK_SLOTS_ENGINEHEALTH_H_
