#include "batches/dueload.h"

namespace papayarack::batches {

void DueLoad::Remove(Time due) {
  const auto step = this->waiting.find(StepOf(due));
  if (--step->second == 0) {
    this->waiting.erase(step);
  }
}

void DueLoad::Include(const DueLoad& other) {
  for (const auto& [step, items] : other.waiting) {
    this->waiting[step] += items;
  }
}

std::optional<Time> DueLoad::LateUntil(Time now, Duration run_time,
                                       double slots) const {
  const double items_per_us = slots / static_cast<double>(run_time.count());
  std::optional<Time> until;
  double started = 0;
  auto step = this->waiting.upper_bound(StepOf(now + run_time));
  for (; step != this->waiting.end(); ++step) {
    const Time due(step->first * Duration(kStep));
    // The items of this step must start before `due - run_time`.
    const double can_start =
        static_cast<double>((due - run_time - now).count()) * items_per_us +
        slots;
    started += static_cast<double>(step->second);
    if (started > can_start) {
      started = can_start;
      until = due + kStep;
    }
  }
  return until;
}

}  // namespace papayarack::batches
