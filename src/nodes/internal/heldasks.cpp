#include "nodes/heldasks.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace papayarack::nodes {

bool HeldAsks::Hold(transport::StreamId stream, const AskSlot& ask, Time now) {
  if (this->waiting.size() >= kMostHeld) {
    return false;
  }
  this->waiting.push_back({stream, ask, now});
  return true;
}

std::vector<HeldAsk> HeldAsks::TakeAll() {
  return std::exchange(this->waiting, {});
}

std::vector<HeldAsk> HeldAsks::TakeExpired(Time now) {
  const auto first_fresh = std::ranges::find_if(
      this->waiting,
      [now](const HeldAsk& held) { return held.asked + kLongestHold > now; });
  std::vector<HeldAsk> expired(std::make_move_iterator(this->waiting.begin()),
                               std::make_move_iterator(first_fresh));
  this->waiting.erase(this->waiting.begin(), first_fresh);
  return expired;
}

bool HeldAsks::Remove(transport::StreamId stream) {
  return std::erase_if(this->waiting, [stream](const HeldAsk& held) {
           return held.stream == stream;
         }) > 0;
}

}  // namespace papayarack::nodes
