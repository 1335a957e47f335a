#ifndef PAPAYARACK_SLOTS_FOREIGNRUNS_H_
#define PAPAYARACK_SLOTS_FOREIGNRUNS_H_

#include <algorithm>
#include <cstdint>

namespace papayarack::slots {

/// How an engine's reports reach the owner of its slots.
enum class ReportAge {
  kFresh,  ///< From the own VM: what runs at this moment.
  kLate,   ///< From another VM: what ran some hundred milliseconds ago.
};

/// Counts the runs at an engine that its owner did not admit: those of the
/// owner before it, or of processes that know no owner. Symptom guarded
/// against: an engine whose owner changes is filled twice, and what both sent
/// waits inside it. Thread safety: none.
class ForeignRuns {
 public:
  explicit ForeignRuns(ReportAge age) : age(age) {}

  /// The owner holds this many slots now. A report that comes late may still
  /// count runs of a moment at which more were held.
  void Held(std::uint32_t own) {
    this->most_held = std::max(this->most_held, own);
  }

  /// The engine says how many it runs or keeps waiting; returns how many of
  /// them are others'. Counts only what two reports in a row show: a run that
  /// was just cancelled, or whose caller has not yet said that it ended, is
  /// gone by the second. The first report counts in full, as nothing of the
  /// owner's own can be in it.
  std::uint32_t Reported(std::uint32_t there, std::uint32_t own) {
    this->Held(own);
    const std::uint32_t here =
        this->age == ReportAge::kFresh
            ? own
            : std::max(this->most_held, this->most_held_before);
    this->most_held_before = this->most_held;
    this->most_held = own;
    const std::uint32_t foreign = there > here ? there - here : 0;
    const bool first = !this->reported && this->age == ReportAge::kLate;
    this->reported = true;
    this->counted = first ? foreign : std::min(foreign, this->last);
    this->last = foreign;
    return this->counted;
  }

  /// The engine is another start of it: whatever ran there is gone.
  void Forget() { this->last = this->counted = 0; }

  /// Whether a report has been counted.
  bool Known() const { return this->reported; }
  std::uint32_t Counted() const { return this->counted; }

 private:
  ReportAge age;
  bool reported = false;
  std::uint32_t last = 0;  ///< Foreign runs in the last report.
  std::uint32_t counted = 0;
  std::uint32_t most_held = 0;         ///< Since the last report.
  std::uint32_t most_held_before = 0;  ///< Between the two before.
};

}  // namespace papayarack::slots

#endif  // PAPAYARACK_SLOTS_FOREIGNRUNS_H_
