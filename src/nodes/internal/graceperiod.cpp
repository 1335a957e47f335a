#include "nodes/graceperiod.h"

#include <algorithm>
#include <utility>

namespace papayarack::nodes {

void RunDurations::Rotate(Time now) {
  if (now - this->current_since < kWindow) {
    return;
  }
  const bool all_old = now - this->current_since >= 2 * kWindow;
  this->previous = all_old ? ByRoute{} : std::move(this->current);
  this->current.clear();
  this->current_since = now;
}

void RunDurations::Add(const std::string& route, Duration run, Time now) {
  this->Rotate(now);
  Duration& longest = this->current[route];
  longest = std::max(longest, run);
}

std::optional<Duration> RunDurations::Longest(const std::string& route,
                                              Time now) {
  this->Rotate(now);
  std::optional<Duration> longest;
  for (const ByRoute* window : {&this->previous, &this->current}) {
    const auto found = window->find(route);
    if (found != window->end()) {
      longest = std::max(longest.value_or(Duration::zero()), found->second);
    }
  }
  return longest;
}

bool EndsBefore(Time end, const RunBound& request, Time now) {
  if (request.deadline <= end) {
    return true;
  }
  return request.may_repeat &&
         now + request.longest_run.value_or(Duration::zero()) <= end;
}

}  // namespace papayarack::nodes
