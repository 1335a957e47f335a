#ifndef PAPAYARACK_SLOTS_ENGINEPULSE_H_
#define PAPAYARACK_SLOTS_ENGINEPULSE_H_

#include <cstdint>
#include <optional>

#include "global/timepoint.h"

namespace papayarack::slots {

/// Whether the engine beside a gate answers, by the reports that the gate asks
/// it for ten times a second.
///
/// Load pattern: an engine crashes and stays on the platform's list for
/// seconds. Its gate went on giving slots, so callers were sent to a port that
/// refuses them, and went on taking batch items, which waited there for an
/// engine that was gone. A gate that knows turns callers to other engines and
/// gives its items back at once. Thread safety: none.
class EnginePulse {
 public:
  /// A report from the same VM comes within a few milliseconds, and within a
  /// tenth of a second from a VM that is slowed ten times. One that takes
  /// longer is given up with its connection. Symptom guarded against: an engine
  /// falls silent and starts again, and its gate waits forever for an answer of
  /// the former start.
  static constexpr std::chrono::milliseconds kSilence{400};
  /// One failure can be a connection that was reset; a crash fails the second
  /// one too, which is asked at once.
  static constexpr std::uint32_t kFailuresWhenDown = 2;

  /// A report is under way. Precondition: none was.
  void Asked(Time now) { this->asked = now; }
  /// The engine answered, whatever it said.
  void Answered() {
    this->asked.reset();
    this->failures = 0;
  }
  /// The connection was refused or broke.
  void Failed() {
    this->asked.reset();
    ++this->failures;
  }
  /// The report is overdue and was given up.
  void FellSilent() {
    this->asked.reset();
    this->failures = kFailuresWhenDown;
  }
  /// Whether to give the report under way up.
  bool Overdue(Time now) const {
    return this->asked.has_value() && now - *this->asked > kSilence;
  }
  /// Whether to ask again without waiting for the usual pace.
  bool InDoubt() const {
    return this->failures > 0 && this->failures < kFailuresWhenDown;
  }
  /// Whether the engine may be given work.
  bool Up() const { return this->failures < kFailuresWhenDown; }

 private:
  std::optional<Time> asked;   ///< The report under way.
  std::uint32_t failures = 0;  ///< In a row.
};

}  // namespace papayarack::slots

#endif  // PAPAYARACK_SLOTS_ENGINEPULSE_H_
