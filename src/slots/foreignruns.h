#ifndef PAPAYARACK_SLOTS_FOREIGNRUNS_H_
#define PAPAYARACK_SLOTS_FOREIGNRUNS_H_

#include <algorithm>
#include <cstdint>

namespace papayarack::slots {

/// Delay of an engine's reports at the owner of its slots.
enum class ReportAge {
  kFresh,  ///< From the same VM: the current runs.
  kLate,   ///< From another VM: the runs of some hundred milliseconds ago.
};

/// Counts the runs at an engine that its owner did not admit: those of the
/// previous owner, or of processes that know no owner. Otherwise both owners
/// fill the engine after a change of owner, and requests queue inside it.
/// Thread safety: none.
class ForeignRuns {
 public:
  explicit ForeignRuns(ReportAge age) : age(age) {}

  /// Records the number of slots in use by the owner's runs. A late report may
  /// still count runs from a time when it was higher.
  void RecordHeld(std::uint32_t own) {
    this->max_held = std::max(this->max_held, own);
  }

  /// The engine reports `reported_runs` running or queued requests; returns how
  /// many of them are foreign. Counts only what two consecutive reports show: a
  /// run that was just cancelled, or whose end is not yet known to the owner,
  /// is gone by the second. The first late report counts in full, as it cannot
  /// contain runs of this owner.
  std::uint32_t Reported(std::uint32_t reported_runs, std::uint32_t own) {
    this->RecordHeld(own);
    const std::uint32_t own_runs =
        this->age == ReportAge::kFresh
            ? own
            : std::max(this->max_held, this->previous_max_held);
    this->previous_max_held = this->max_held;
    this->max_held = own;
    const std::uint32_t foreign =
        reported_runs > own_runs ? reported_runs - own_runs : 0;
    const bool first = !this->has_report && this->age == ReportAge::kLate;
    this->has_report = true;
    this->counted = first ? foreign : std::min(foreign, this->last);
    this->last = foreign;
    return this->counted;
  }

  /// The engine restarted, so its former runs are gone.
  void Forget() { this->last = this->counted = 0; }

  /// Whether a report was received.
  bool Known() const { return this->has_report; }
  std::uint32_t Counted() const { return this->counted; }

 private:
  ReportAge age;
  bool has_report = false;
  std::uint32_t last = 0;  ///< Foreign runs in the last report.
  std::uint32_t counted = 0;
  std::uint32_t max_held = 0;           ///< Since the last report.
  std::uint32_t previous_max_held = 0;  ///< Between the two reports before.
};

}  // namespace papayarack::slots

#endif  // PAPAYARACK_SLOTS_FOREIGNRUNS_H_
