#include "slots/slotallocator.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace papayarack::slots {
namespace {

/// Weight of one sample in the moving average of the hold time, which covers
/// about the last 20 requests, or two waves at one engine.
constexpr double kHoldWeight = 0.05;
/// Requests that end sooner were cancelled or refused, so they are no sample of
/// the hold time.
constexpr std::chrono::milliseconds kShortestHold{100};

}  // namespace

Duration SlotAllocator::WaitBehind(std::size_t ahead) const {
  const auto place = static_cast<std::int64_t>(ahead) + 1;
  return this->hold_estimate * place / std::max<std::int64_t>(1, this->slots);
}

/// Each slot granted to an organisation raises its use by one, so its n-th
/// queued request is served when the use of the others has reached its own plus
/// n. Requests of the same organisation, and those of other priorities, count
/// as ahead whatever their order: without organisations the bound of the queue
/// is its length.
std::size_t SlotAllocator::Ahead(std::string_view organisation, int priority,
                                 Time now) const {
  std::size_t ahead = 0;
  std::map<std::string_view, std::size_t> others;
  for (const auto& [ticket, waiting] : this->queue) {
    const SlotRequest& request = waiting.request;
    if (request.organisation == organisation || request.priority != priority) {
      ++ahead;
    } else {
      ++others[request.organisation];
    }
  }
  const double own_turn = this->TurnOfNew(organisation, priority, now);
  for (const auto& [other, count] : others) {
    const double turns = std::floor(own_turn - this->usage.Of(other, now)) + 1;
    ahead += std::min(count, static_cast<std::size_t>(std::max(0.0, turns)));
  }
  return ahead;
}

double SlotAllocator::TurnOfNew(std::string_view organisation, int priority,
                                Time now) const {
  const auto own = std::ranges::count_if(this->queue, [&](const auto& entry) {
    const SlotRequest& request = entry.second.request;
    return request.organisation == organisation && request.priority == priority;
  });
  return this->usage.Of(organisation, now) + static_cast<double>(own);
}

Duration SlotAllocator::ExpectedWait(std::string_view organisation,
                                     int priority, Time now) const {
  if (this->running.size() < this->Usable()) {
    return Duration(0);
  }
  return this->WaitBehind(this->Ahead(organisation, priority, now));
}

void SlotAllocator::Grant(const SlotRequest& request, Time now) {
  this->running[request.ticket] = {now, request.organisation};
  this->usage.Granted(request.organisation, now);
}

SlotAnswer SlotAllocator::Acquire(const SlotRequest& request, Time now) {
  if (!this->open || this->slots == 0) {
    return SlotAnswer::kRefused;
  }
  if (this->running.size() < this->Usable() && this->queue.empty()) {
    this->Grant(request, now);
    return SlotAnswer::kGranted;
  }
  const Duration wait =
      this->ExpectedWait(request.organisation, request.priority, now);
  if (now + wait > request.latest_start) {
    return SlotAnswer::kRefused;
  }
  this->Displace(request, now);
  this->queue[request.ticket] = {request, ++this->last_order};
  return SlotAnswer::kQueued;
}

void SlotAllocator::Displace(const SlotRequest& by, Time now) {
  const Time last_start = now + this->WaitBehind(this->queue.size());
  const bool full =
      this->running.size() >= this->Usable() && last_start > by.latest_start;
  if (!full) {
    return;
  }
  const auto last = this->ServedLast(by, now);
  if (last != this->queue.end() &&
      last_start > last->second.request.latest_start) {
    this->displaced.push_back(last->first);
    this->queue.erase(last);
  }
}

/// Precondition for a result: its turn is later than the one of `by`.
SlotAllocator::Queue::iterator SlotAllocator::ServedLast(const SlotRequest& by,
                                                         Time now) {
  const double turn_of_new = this->TurnOfNew(by.organisation, by.priority, now);
  auto last = this->queue.end();
  std::pair<double, std::uint64_t> last_turn{turn_of_new, this->last_order};
  for (auto queued = this->queue.begin(); queued != this->queue.end();
       ++queued) {
    const SlotRequest& request = queued->second.request;
    if (request.priority != by.priority) {
      continue;
    }
    const double turn =
        this->TurnOfNew(request.organisation, request.priority, now) - 1;
    const std::pair<double, std::uint64_t> candidate{turn,
                                                     queued->second.order};
    if (candidate > last_turn) {
      last = queued;
      last_turn = candidate;
    }
  }
  return last;
}

std::vector<TicketId> SlotAllocator::TakeDisplaced() {
  return std::exchange(this->displaced, {});
}

void SlotAllocator::Release(TicketId ticket, Time now) {
  this->queue.erase(ticket);
  const auto found = this->running.find(ticket);
  if (found == this->running.end()) {
    return;
  }
  const Duration held = now - found->second.started;
  this->usage.Released(found->second.organisation, now);
  this->running.erase(found);
  if (held >= kShortestHold) {
    const double mean =
        static_cast<double>(this->hold_estimate.count()) * (1 - kHoldWeight) +
        static_cast<double>(held.count()) * kHoldWeight;
    this->hold_estimate = Duration(static_cast<std::int64_t>(mean));
  }
}

SlotAllocator::Queue::iterator SlotAllocator::MostUrgent(Time now) {
  return std::ranges::min_element(this->queue, {}, [&](const auto& entry) {
    const Waiting& waiting = entry.second;
    return std::tuple(waiting.request.priority,
                      this->usage.Of(waiting.request.organisation, now),
                      waiting.order);
  });
}

std::vector<TicketId> SlotAllocator::TakeGranted(Time now) {
  std::vector<TicketId> granted;
  while (!this->queue.empty() && this->running.size() < this->Usable()) {
    const auto next = this->MostUrgent(now);
    this->Grant(next->second.request, now);
    granted.push_back(next->first);
    this->queue.erase(next);
  }
  return granted;
}

std::vector<TicketId> SlotAllocator::TakeExpired(Time now) {
  this->usage.DropIdle(now);
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

bool SlotAllocator::WouldPreempt() const {
  const std::size_t running = this->running.size();
  return this->open && this->queue.empty() && running < this->Usable() &&
         running + this->batch >= this->slots;
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
