#include "batches/leasescheduler.h"

#include <algorithm>
#include <iterator>

namespace papayarack::batches {
namespace {

/// Weight of one run in the mean time from lease to result: about the last
/// twenty items, so that it follows a wave.
constexpr double kRunWeight = 0.05;

}  // namespace

void LeaseScheduler::Reset(Time now) {
  this->queues.clear();
  this->queue_ids.clear();
  this->known.clear();
  this->held.clear();
  this->removed.clear();
  this->gates.clear();
  this->settled = now + kSettleTime;
}

bool LeaseScheduler::Queue::Serves(const std::string& service) const {
  return std::ranges::binary_search(this->services, service);
}

LeaseScheduler::QueueId LeaseScheduler::QueueFor(const Services& services) {
  const auto [entry, added] =
      this->queue_ids.try_emplace(services, this->queues.size());
  if (added) {
    this->queues.push_back({services, {}});
  }
  return entry->second;
}

void LeaseScheduler::MoveTo(QueueId queue, const ItemRef& item, Known& entry) {
  if (queue == entry.queue) {
    return;
  }
  const Place place = PlaceOf(item, entry);
  if (this->queues[entry.queue].waiting.erase(place) > 0) {
    this->queues[queue].waiting.insert(place);
  }
  entry.queue = queue;
}

void LeaseScheduler::Add(const ItemRef& item, Time due,
                         const Services& services) {
  const auto [entry, added] = this->known.try_emplace(item);
  if (added) {
    entry->second.queue = this->QueueFor(services);
    entry->second.due = due;
    entry->second.order = ++this->last_order;
    this->queues[entry->second.queue].waiting.insert(
        PlaceOf(item, entry->second));
  }
}

std::vector<ItemRef> LeaseScheduler::FirstOf(const std::string& service,
                                             std::size_t most, Time soonest,
                                             bool in_time) const {
  std::vector<Place> places;
  for (const Queue& queue : this->queues) {
    if (!queue.Serves(service)) {
      continue;
    }
    const auto split = queue.waiting.lower_bound({soonest, 0, {}});
    auto next = in_time ? split : queue.waiting.begin();
    const auto end = in_time ? queue.waiting.end() : split;
    for (std::size_t i = 0; i < most && next != end; ++i, ++next) {
      places.push_back(*next);
    }
  }
  std::ranges::sort(places);
  places.resize(std::min(places.size(), most));
  std::vector<ItemRef> first;
  first.reserve(places.size());
  for (Place& place : places) {
    first.push_back(std::move(std::get<ItemRef>(place)));
  }
  return first;
}

std::vector<ItemRef> LeaseScheduler::Take(const std::string& gate,
                                          const std::string& service,
                                          std::size_t room, Time now) {
  std::vector<ItemRef> taken;
  if (!this->Settled(now)) {
    return taken;
  }
  const Time soonest = now + this->run_estimate;
  taken = this->FirstOf(service, room, soonest, true);
  std::ranges::move(this->FirstOf(service, room - taken.size(), soonest, false),
                    std::back_inserter(taken));
  for (const ItemRef& item : taken) {
    this->Lease(item, gate, now);
  }
  return taken;
}

bool LeaseScheduler::WaitsFor(const std::string& service) const {
  return std::ranges::any_of(this->queues, [&service](const Queue& queue) {
    return !queue.waiting.empty() && queue.Serves(service);
  });
}

std::size_t LeaseScheduler::Waiting() const {
  std::size_t sum = 0;
  for (const Queue& queue : this->queues) {
    sum += queue.waiting.size();
  }
  return sum;
}

void LeaseScheduler::Remove(const ItemRef& item, Time now) {
  const auto found = this->known.find(item);
  if (found == this->known.end()) {
    return;
  }
  Known& entry = found->second;
  if (!entry.holder.empty()) {
    const double mean =
        static_cast<double>(this->run_estimate.count()) * (1 - kRunWeight) +
        static_cast<double>((now - entry.leased).count()) * kRunWeight;
    this->run_estimate = Duration(static_cast<std::int64_t>(mean));
    this->EndHold(item, entry);
  }
  this->queues[entry.queue].waiting.erase(PlaceOf(item, entry));
  this->removed.insert(item);
  this->known.erase(found);
}

void LeaseScheduler::Lease(const ItemRef& item, const std::string& gate,
                           Time now) {
  Known& entry = this->known.at(item);
  this->queues[entry.queue].waiting.erase(PlaceOf(item, entry));
  entry.holder = gate;
  this->held[gate].insert(item);
  entry.leased = entry.leased == Time{} ? now : entry.leased;
}

void LeaseScheduler::PutBack(const ItemRef& item) {
  Known& entry = this->known.at(item);
  this->EndHold(item, entry);
  this->queues[entry.queue].waiting.insert(PlaceOf(item, entry));
}

void LeaseScheduler::EndHold(const ItemRef& item, Known& entry) {
  const auto of_gate = this->held.find(entry.holder);
  of_gate->second.erase(item);
  if (of_gate->second.empty()) {
    this->held.erase(of_gate);
  }
  entry.holder.clear();
}

void LeaseScheduler::PutBackAllOf(const std::string& gate,
                                  const std::set<ItemRef>& still_held) {
  const auto of_gate = this->held.find(gate);
  if (of_gate == this->held.end()) {
    return;
  }
  std::vector<ItemRef> back;
  std::ranges::copy_if(of_gate->second, std::back_inserter(back),
                       [&still_held](const ItemRef& item) {
                         return still_held.count(item) == 0;
                       });
  for (const ItemRef& item : back) {
    this->PutBack(item);
  }
}

void LeaseScheduler::Renew(const std::string& gate, std::uint64_t incarnation,
                           const std::vector<ItemRef>& holding, Time now) {
  this->gates[gate] = {incarnation, now};
  this->PutBackAllOf(gate, {holding.begin(), holding.end()});
  for (const ItemRef& item : holding) {
    const auto found = this->known.find(item);
    if (found != this->known.end() && found->second.holder.empty()) {
      this->Lease(item, gate, now);
    }
  }
}

void LeaseScheduler::Return(const std::string& gate,
                            const ReturnedItem& returned) {
  const auto found = this->known.find(returned.item);
  if (found == this->known.end()) {
    return;
  }
  // The gate no longer names it, so it may already wait again.
  Known& entry = found->second;
  if (entry.holder.empty() || entry.holder == gate) {
    if (returned.partial.last_event > entry.partial.last_event) {
      entry.partial = returned.partial;
    }
    if (!entry.holder.empty()) {
      this->PutBack(returned.item);
    }
  }
}

void LeaseScheduler::Expire(Time now) {
  std::vector<std::string> silent;
  for (const auto& [name, gate] : this->gates) {
    if (now - gate.heard > kLeaseTime) {
      silent.push_back(name);
    }
  }
  for (const std::string& name : silent) {
    this->gates.erase(name);
    this->PutBackAllOf(name, {});
  }
}

std::vector<ItemRef> LeaseScheduler::ToStop(
    const std::vector<ItemRef>& holding) const {
  std::vector<ItemRef> stop;
  for (const ItemRef& item : holding) {
    if (this->known.count(item) == 0) {
      stop.push_back(item);
    }
  }
  return stop;
}

PartialText LeaseScheduler::PartialOf(const ItemRef& item) const {
  const auto found = this->known.find(item);
  return found != this->known.end() ? found->second.partial : PartialText{};
}

}  // namespace papayarack::batches
