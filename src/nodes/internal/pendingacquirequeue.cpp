#include "nodes/pendingacquirequeue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace papayarack::nodes {

bool PendingAcquireQueue::Offer(transport::StreamId stream,
                                const AcquireSlot& ask, Time now) {
  if (this->waiting.size() >= kMaxPending) {
    return false;
  }
  this->waiting.push_back({stream, ask, now});
  return true;
}

std::vector<PendingAcquire> PendingAcquireQueue::TakeAll() {
  return std::exchange(this->waiting, {});
}

std::vector<PendingAcquire> PendingAcquireQueue::TakeExpired(Time now) {
  const auto first_fresh =
      std::ranges::find_if(this->waiting, [now](const PendingAcquire& held) {
        return held.asked + kMaxWait > now;
      });
  std::vector<PendingAcquire> expired(
      std::make_move_iterator(this->waiting.begin()),
      std::make_move_iterator(first_fresh));
  this->waiting.erase(this->waiting.begin(), first_fresh);
  return expired;
}

bool PendingAcquireQueue::Remove(transport::StreamId stream) {
  return std::erase_if(this->waiting, [stream](const PendingAcquire& held) {
           return held.stream == stream;
         }) > 0;
}

}  // namespace papayarack::nodes
