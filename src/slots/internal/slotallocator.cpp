#include "slots/slotallocator.h"

#include <algorithm>
#include <tuple>

namespace papayarack::slots {
namespace {

/// Weight of one sample in the moving average of the hold time, which covers
/// about the last 20 requests, or two waves at one engine.
constexpr double kHoldWeight = 0.05;
/// Requests that end sooner were cancelled or refused, so they are no sample of
/// the hold time.
constexpr std::chrono::milliseconds kShortestHold{100};

}  // namespace

Duration SlotAllocator::ExpectedWait() const {
  if (this->running.size() < this->Usable()) {
    return Duration(0);
  }
  const auto ahead = static_cast<std::int64_t>(this->queue.size()) + 1;
  return this->hold_estimate * ahead / std::max<std::int64_t>(1, this->slots);
}

SlotAnswer SlotAllocator::Acquire(const SlotRequest& request, Time now) {
  if (!this->open || this->slots == 0) {
    return SlotAnswer::kRefused;
  }
  if (this->running.size() < this->Usable() && this->queue.empty()) {
    this->running[request.ticket] = now;
    return SlotAnswer::kGranted;
  }
  if (now + this->ExpectedWait() > request.latest_start) {
    return SlotAnswer::kRefused;
  }
  this->queue[request.ticket] = {request, ++this->last_order};
  return SlotAnswer::kQueued;
}

void SlotAllocator::Release(TicketId ticket, Time now) {
  this->queue.erase(ticket);
  const auto found = this->running.find(ticket);
  if (found == this->running.end()) {
    return;
  }
  const Duration held = now - found->second;
  this->running.erase(found);
  if (held >= kShortestHold) {
    const double mean =
        static_cast<double>(this->hold_estimate.count()) * (1 - kHoldWeight) +
        static_cast<double>(held.count()) * kHoldWeight;
    this->hold_estimate = Duration(static_cast<std::int64_t>(mean));
  }
}

std::map<TicketId, SlotAllocator::Waiting>::iterator
SlotAllocator::MostUrgent() {
  return std::ranges::min_element(this->queue, {}, [](const auto& entry) {
    return std::tuple(entry.second.request.priority, entry.second.order);
  });
}

std::vector<TicketId> SlotAllocator::TakeGranted(Time now) {
  std::vector<TicketId> granted;
  while (!this->queue.empty() && this->running.size() < this->Usable()) {
    const auto next = this->MostUrgent();
    this->running[next->first] = now;
    granted.push_back(next->first);
    this->queue.erase(next);
  }
  return granted;
}

std::vector<TicketId> SlotAllocator::TakeExpired(Time now) {
  std::vector<TicketId> expired;
  for (const auto& [ticket, waiting] : this->queue) {
    if (now > waiting.request.latest_start || !this->open) {
      expired.push_back(ticket);
    }
  }
  for (const TicketId ticket : expired) {
    this->queue.erase(ticket);
  }
  return expired;
}

std::uint32_t SlotAllocator::FreeBatchSlots() const {
  const std::size_t used = this->running.size() + this->batch;
  if (!this->open || !this->queue.empty() || used >= this->Usable()) {
    return 0;
  }
  return static_cast<std::uint32_t>(this->Usable() - used);
}

std::uint32_t SlotAllocator::BatchToPreempt() const {
  const std::size_t used = this->running.size() + this->batch;
  if (used <= this->slots) {
    return 0;
  }
  return std::min(this->batch, static_cast<std::uint32_t>(used - this->slots));
}

SlotLoad SlotAllocator::Load() const {
  return {this->slots, static_cast<std::uint32_t>(this->running.size()),
          static_cast<std::uint32_t>(this->queue.size()), this->batch};
}

}  // namespace papayarack::slots
