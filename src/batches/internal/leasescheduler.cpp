#include "batches/leasescheduler.h"

#include <algorithm>
#include <iterator>

namespace papayarack::batches {
namespace {

/// Weight of one run in the moving average of the time from lease to result. It
/// averages over about twenty items, so that it follows load changes.
constexpr double kRunWeight = 0.05;

}  // namespace

void LeaseScheduler::Reset(Time now) {
  this->queues.clear();
  this->queue_ids.clear();
  this->running_trials.clear();
  this->trial_holds.clear();
  this->items.clear();
  this->held_by_gate.clear();
  this->removed.clear();
  this->gates.clear();
  this->counts = {};
  this->gates_of.clear();
  this->settled = now + kSettleTime;
}

bool LeaseScheduler::Queue::Serves(const std::string& service) const {
  return std::ranges::binary_search(this->eligibility.services, service);
}

bool LeaseScheduler::Queue::Tries(const std::string& service) const {
  return this->eligibility.NeedsTrial() &&
         std::ranges::binary_search(this->eligibility.trial_services, service);
}

LeaseScheduler::QueueId LeaseScheduler::QueueFor(
    const Eligibility& eligibility) {
  const auto [entry, added] =
      this->queue_ids.try_emplace(eligibility, this->last_queue + 1);
  if (added) {
    this->queues[++this->last_queue].eligibility = eligibility;
  }
  return entry->second;
}

void LeaseScheduler::DropIfUnused(QueueId queue) {
  const auto found = this->queues.find(queue);
  if (found->second.items == 0) {
    this->queue_ids.erase(found->second.eligibility);
    this->queues.erase(found);
  }
}

void LeaseScheduler::CountTrial(QueueId queue, bool runs) {
  for (const auto& trait : this->queues.at(queue).eligibility.quarantined) {
    if (runs) {
      ++this->running_trials[trait];
    } else if (--this->running_trials.at(trait) == 0) {
      this->running_trials.erase(trait);
    }
  }
}

void LeaseScheduler::MoveTo(QueueId queue, const ItemRef& item, Entry& entry) {
  if (queue == entry.queue) {
    return;
  }
  const bool waits = this->StopWaiting(item, entry);
  const QueueId former = std::exchange(entry.queue, queue);
  if (waits) {
    this->StartWaiting(item, entry);
  } else if (entry.is_trial) {
    this->CountTrial(former, false);
    this->CountTrial(queue, true);
  }
  --this->queues.at(former).items;
  ++this->queues.at(queue).items;
  this->DropIfUnused(former);
}

void LeaseScheduler::StartWaiting(const ItemRef& item, const Entry& entry) {
  Queue& queue = this->queues.at(entry.queue);
  queue.waiting.insert(QueueKeyOf(item, entry));
  queue.due_load.Add(entry.due);
  queue.turns.Add(entry.owner.organisation, entry.owner.priority,
                  {entry.due, entry.arrival});
}

bool LeaseScheduler::StopWaiting(const ItemRef& item, const Entry& entry) {
  Queue& queue = this->queues.at(entry.queue);
  if (queue.waiting.erase(QueueKeyOf(item, entry)) == 0) {
    return false;
  }
  queue.due_load.Remove(entry.due);
  queue.turns.Remove(entry.owner.organisation, {entry.due, entry.arrival});
  return true;
}

void LeaseScheduler::Add(const ItemRef& item, Time due,
                         const Eligibility& eligibility,
                         const ItemOwner& owner) {
  const auto [added, is_new] = this->items.try_emplace(item);
  if (!is_new) {
    return;
  }
  Entry& entry = added->second;
  entry.queue = this->QueueFor(eligibility);
  entry.due = due;
  entry.arrival = ++this->last_arrival;
  entry.owner = owner;
  this->StartWaiting(item, entry);
  ++this->queues.at(entry.queue).items;
}

std::optional<Time> LeaseScheduler::TrialTime(const Queue& queue) const {
  Time time{};
  for (const auto& trait : queue.eligibility.quarantined) {
    if (this->running_trials.contains(trait)) {
      return std::nullopt;
    }
    const auto known = this->trial_times.find(trait);
    time =
        known != this->trial_times.end() ? std::max(time, known->second) : time;
    const auto hold = this->trial_holds.find(trait);
    time =
        hold != this->trial_holds.end() ? std::max(time, hold->second) : time;
  }
  return time;
}

bool LeaseScheduler::MayTry(const Queue& queue, const std::string& service,
                            Time now) const {
  if (queue.waiting.empty() || !queue.Tries(service)) {
    return false;
  }
  const std::optional<Time> time = this->TrialTime(queue);
  return time.has_value() && *time <= now;
}

std::optional<ItemRef> LeaseScheduler::NextTrial(const std::string& service,
                                                 Time now) const {
  const Queue* best = nullptr;
  for (const auto& [id, queue] : this->queues) {
    const bool fewer =
        best == nullptr || queue.eligibility.quarantined.size() <
                               best->eligibility.quarantined.size();
    if (fewer && this->MayTry(queue, service, now)) {
      best = &queue;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return std::get<ItemRef>(*best->waiting.begin());
}

bool LeaseScheduler::NeedsTrial(const ItemRef& item) const {
  const QueueId queue = this->items.at(item).queue;
  return this->queues.at(queue).eligibility.NeedsTrial();
}

std::optional<Time> LeaseScheduler::NextLease(
    const ItemRef& item, const std::string& service) const {
  const Entry& entry = this->items.at(item);
  const Queue& queue = this->queues.at(entry.queue);
  if (!entry.holder.empty()) {
    return std::nullopt;
  }
  if (queue.Serves(service)) {
    return this->settled;
  }
  return queue.Tries(service) ? this->TrialTime(queue) : std::nullopt;
}

std::size_t LeaseScheduler::Waiting() const {
  std::size_t sum = 0;
  for (const auto& [id, queue] : this->queues) {
    sum += queue.waiting.size();
  }
  return sum;
}

void LeaseScheduler::Remove(const ItemRef& item, Time now) {
  const auto found = this->items.find(item);
  if (found == this->items.end()) {
    return;
  }
  Entry& entry = found->second;
  if (!entry.holder.empty()) {
    ++this->counts.results;
    this->counts.runs += entry.runs;
    const double mean =
        static_cast<double>(this->run_estimate.count()) * (1 - kRunWeight) +
        static_cast<double>((now - entry.first_leased).count()) * kRunWeight;
    this->run_estimate = Duration(static_cast<std::int64_t>(mean));
    this->ReleaseLease(item, entry);
  }
  this->StopWaiting(item, entry);
  --this->queues.at(entry.queue).items;
  this->DropIfUnused(entry.queue);
  this->removed.insert(item);
  this->items.erase(found);
}

void LeaseScheduler::Lease(const ItemRef& item, const std::string& gate,
                           Time now) {
  Entry& entry = this->items.at(item);
  ++entry.runs;
  if (this->StopWaiting(item, entry)) {
    this->queues.at(entry.queue)
        .turns.Served(entry.owner.organisation, ++this->last_turn);
  }
  entry.holder = gate;
  this->held_by_gate[gate].insert(item);
  this->gates.try_emplace(gate, Gate{0, now});
  entry.first_leased = entry.first_leased == Time{} ? now : entry.first_leased;
}

void LeaseScheduler::Requeue(const ItemRef& item) {
  Entry& entry = this->items.at(item);
  this->ReleaseLease(item, entry);
  this->StartWaiting(item, entry);
}

void LeaseScheduler::ReleaseLease(const ItemRef& item, Entry& entry) {
  const auto of_gate = this->held_by_gate.find(entry.holder);
  of_gate->second.erase(item);
  if (of_gate->second.empty()) {
    this->held_by_gate.erase(of_gate);
  }
  entry.holder.clear();
  if (std::exchange(entry.is_trial, false)) {
    this->CountTrial(entry.queue, false);
  }
}

void LeaseScheduler::MarkTrial(const ItemRef& item, Time now) {
  Entry& entry = this->items.at(item);
  entry.is_trial = true;
  this->CountTrial(entry.queue, true);
  for (const auto& trait :
       this->queues.at(entry.queue).eligibility.quarantined) {
    this->trial_holds[trait] = now + kMinTrialInterval;
  }
}

void LeaseScheduler::SetTrialTimes(
    std::map<quarantine::Fingerprint, Time> times) {
  this->trial_times = std::move(times);
  std::erase_if(this->trial_holds, [this](const auto& hold) {
    return !this->trial_times.contains(hold.first);
  });
}

void LeaseScheduler::RequeueAllOf(const std::string& gate,
                                  const std::set<ItemRef>& still_held) {
  const auto of_gate = this->held_by_gate.find(gate);
  if (of_gate == this->held_by_gate.end()) {
    return;
  }
  std::vector<ItemRef> back;
  std::ranges::copy_if(of_gate->second, std::back_inserter(back),
                       [&still_held](const ItemRef& item) {
                         return still_held.count(item) == 0;
                       });
  for (const ItemRef& item : back) {
    this->Requeue(item);
  }
}

void LeaseScheduler::Renew(const std::string& gate, std::uint64_t incarnation,
                           const std::vector<ItemRef>& holding, Time now) {
  this->gates[gate] = {incarnation, now};
  this->RequeueAllOf(gate, {holding.begin(), holding.end()});
  for (const ItemRef& item : holding) {
    const auto found = this->items.find(item);
    if (found != this->items.end() && found->second.holder.empty()) {
      this->Lease(item, gate, now);
    }
  }
}

void LeaseScheduler::Return(const std::string& gate,
                            const ReturnedItem& returned) {
  const auto found = this->items.find(returned.item);
  if (found == this->items.end()) {
    return;
  }
  // The gate no longer reports the item as held, so it may already be queued
  // again.
  Entry& entry = found->second;
  if (entry.holder.empty() || entry.holder == gate) {
    if (returned.partial.last_event > entry.partial.last_event) {
      entry.partial = returned.partial;
    }
    if (!entry.holder.empty()) {
      this->Requeue(returned.item);
    }
  }
}

void LeaseScheduler::Expire(Time now) {
  std::vector<std::string> silent;
  for (const auto& [name, gate] : this->gates) {
    if (now - gate.last_heard > kLeaseTime) {
      silent.push_back(name);
    }
  }
  for (const std::string& name : silent) {
    this->gates.erase(name);
    for (auto& [service, known] : this->gates_of) {
      known.speeds.Forget(name);
      known.supply.Forget(name);
    }
    this->RequeueAllOf(name, {});
  }
  std::erase_if(this->gates_of, [](const auto& entry) {
    return entry.second.speeds.Empty() && entry.second.supply.Empty();
  });
}

std::vector<ItemRef> LeaseScheduler::ToStop(
    const std::vector<ItemRef>& holding) const {
  std::vector<ItemRef> stop;
  for (const ItemRef& item : holding) {
    if (this->items.count(item) == 0) {
      stop.push_back(item);
    }
  }
  return stop;
}

PartialText LeaseScheduler::PartialOf(const ItemRef& item) const {
  const auto found = this->items.find(item);
  return found != this->items.end() ? found->second.partial : PartialText{};
}

}  // namespace papayarack::batches
