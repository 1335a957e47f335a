#include <algorithm>
#include <iterator>

#include "batches/leasescheduler.h"

/// Which waiting item a gate is leased next.
namespace papayarack::batches {

std::vector<ItemRef> LeaseScheduler::FirstWaiting(const std::string& service,
                                                  std::size_t max_count,
                                                  Time earliest,
                                                  Time latest) const {
  std::vector<QueueKey> keys;
  for (const auto& [id, queue] : this->queues) {
    if (!queue.Serves(service)) {
      continue;
    }
    auto next = queue.waiting.lower_bound({earliest, 0, {}});
    const auto end = queue.waiting.lower_bound({latest, 0, {}});
    for (std::size_t i = 0; i < max_count && next != end; ++i, ++next) {
      keys.push_back(*next);
    }
  }
  std::ranges::sort(keys);
  keys.resize(std::min(keys.size(), max_count));
  std::vector<ItemRef> first;
  first.reserve(keys.size());
  for (QueueKey& key : keys) {
    first.push_back(std::move(std::get<ItemRef>(key)));
  }
  return first;
}

void LeaseScheduler::SetRunTime(const std::string& gate,
                                const std::string& service,
                                std::chrono::milliseconds run_time,
                                std::size_t room, std::size_t held, Time now) {
  ServiceGates& known = this->gates_of[service];
  known.speeds.Report(gate, run_time, room > 0, now);
  known.supply.Report(gate, room + held, now);
}

double LeaseScheduler::FactorOf(const std::string& gate,
                                const std::string& service) const {
  const auto found = this->gates_of.find(service);
  return found != this->gates_of.end() ? found->second.speeds.FactorOf(gate)
                                       : 1;
}

LeaseScheduler::DueLimits LeaseScheduler::DueLimitsOf(
    const std::string& gate, const std::string& service, Time now) const {
  const double here = static_cast<double>(this->run_estimate.count()) *
                      this->FactorOf(gate, service);
  return {now + Duration(static_cast<std::int64_t>(here)),
          now + this->run_estimate};
}

std::optional<Time> LeaseScheduler::TurnsUntil(const std::string& service,
                                               Time now) const {
  std::vector<const Queue*> serving;
  std::size_t organisations = 0;
  for (const auto& [id, queue] : this->queues) {
    if (queue.Serves(service)) {
      serving.push_back(&queue);
      organisations = std::max(organisations, queue.turns.Waiting());
    }
  }
  const auto known = this->gates_of.find(service);
  if (organisations < 2 || known == this->gates_of.end()) {
    return std::nullopt;
  }
  const double slots = known->second.supply.Slots();
  if (serving.size() == 1) {
    return serving.front()->due_load.LateUntil(now, this->run_estimate, slots);
  }
  DueLoad load;
  for (const Queue* queue : serving) {
    load.Include(queue->due_load);
  }
  return load.LateUntil(now, this->run_estimate, slots);
}

std::vector<ItemRef> LeaseScheduler::TakeInTurn(const std::string& gate,
                                                const std::string& service,
                                                std::size_t room,
                                                const DueLimits& limits,
                                                Time until, Time now) {
  std::vector<ItemRef> taken;
  while (taken.size() < room) {
    std::optional<OrganisationTurns::Candidate> best;
    const Queue* best_queue = nullptr;
    for (auto& [id, queue] : this->queues) {
      const auto candidate = queue.Serves(service)
                                 ? queue.turns.Next(limits.in_time_here, until,
                                                    limits.late_everywhere)
                                 : std::nullopt;
      if (candidate.has_value() && (!best.has_value() || *candidate < *best)) {
        best = candidate;
        best_queue = &queue;
      }
    }
    if (!best.has_value()) {
      break;
    }
    const auto item = best_queue->waiting.lower_bound(
        {best->item.first, best->item.second, {}});
    taken.push_back(std::get<ItemRef>(*item));
    this->Lease(taken.back(), gate, now);
    ++this->counts.by_turn;
  }
  return taken;
}

std::vector<ItemRef> LeaseScheduler::Take(const std::string& gate,
                                          const std::string& service,
                                          std::size_t room, Time now) {
  std::vector<ItemRef> taken;
  if (!this->Settled(now)) {
    return taken;
  }
  const auto lease = [&](const std::vector<ItemRef>& items,
                         std::uint64_t& count) {
    count += items.size();
    for (const ItemRef& item : items) {
      this->Lease(item, gate, now);
      taken.push_back(item);
    }
  };
  const auto trial = room > 0 ? this->NextTrial(service, now) : std::nullopt;
  if (trial.has_value()) {
    lease({*trial}, this->counts.trials);
    this->MarkTrial(*trial, now);
  }
  const DueLimits limits = this->DueLimitsOf(gate, service, now);
  const std::optional<Time> until =
      taken.size() < room ? this->TurnsUntil(service, now) : std::nullopt;
  if (until.has_value()) {
    std::ranges::move(this->TakeInTurn(gate, service, room - taken.size(),
                                       limits, *until, now),
                      std::back_inserter(taken));
  }
  lease(this->FirstWaiting(service, room - taken.size(), limits.in_time_here,
                           Time::max()),
        this->counts.by_due_time);
  lease(this->FirstWaiting(service, room - taken.size(), Time::min(),
                           limits.late_everywhere),
        this->counts.late);
  return taken;
}

bool LeaseScheduler::HasWaitingFor(const std::string& service, Time now,
                                   const std::string& gate) const {
  const DueLimits limits = this->DueLimitsOf(gate, service, now);
  return std::ranges::any_of(this->queues, [&](const auto& entry) {
    const Queue& queue = entry.second;
    const auto due_of = [](const QueueKey& key) { return std::get<Time>(key); };
    return (!queue.waiting.empty() && queue.Serves(service) &&
            (due_of(*queue.waiting.begin()) < limits.late_everywhere ||
             due_of(*queue.waiting.rbegin()) >= limits.in_time_here)) ||
           this->MayTry(queue, service, now);
  });
}

}  // namespace papayarack::batches
