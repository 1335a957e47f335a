#include "batches/leasedesk.h"

#include <algorithm>
#include <iterator>

namespace papayarack::batches {
namespace {

/// Weight of one run in the mean time from lease to result: about the last
/// twenty items, so that it follows a wave.
constexpr double kRunWeight = 0.05;

}  // namespace

void LeaseDesk::Reset(Time now) {
  this->line.clear();
  this->known.clear();
  this->held.clear();
  this->removed.clear();
  this->gates.clear();
  this->settled = now + kSettleTime;
}

void LeaseDesk::Add(const ItemRef& item, Time due) {
  const auto [entry, added] = this->known.try_emplace(item);
  if (added) {
    entry->second.due = due;
    entry->second.order = ++this->last_order;
    this->line.insert(PlaceOf(item, entry->second));
  }
}

void LeaseDesk::Remove(const ItemRef& item, Time now) {
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
  this->line.erase(PlaceOf(item, entry));
  this->removed.insert(item);
  this->known.erase(found);
}

void LeaseDesk::Lease(const ItemRef& item, const std::string& gate, Time now) {
  Known& entry = this->known.at(item);
  this->line.erase(PlaceOf(item, entry));
  entry.holder = gate;
  this->held[gate].insert(item);
  entry.leased = entry.leased == Time{} ? now : entry.leased;
}

void LeaseDesk::PutBack(const ItemRef& item) {
  Known& entry = this->known.at(item);
  this->EndHold(item, entry);
  this->line.insert(PlaceOf(item, entry));
}

void LeaseDesk::EndHold(const ItemRef& item, Known& entry) {
  const auto of_gate = this->held.find(entry.holder);
  of_gate->second.erase(item);
  if (of_gate->second.empty()) {
    this->held.erase(of_gate);
  }
  entry.holder.clear();
}

void LeaseDesk::PutBackAllOf(const std::string& gate,
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

void LeaseDesk::Renew(const std::string& gate, std::uint64_t incarnation,
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

void LeaseDesk::Return(const std::string& gate, const ReturnedItem& returned) {
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

void LeaseDesk::Expire(Time now) {
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

std::vector<ItemRef> LeaseDesk::ToStop(
    const std::vector<ItemRef>& holding) const {
  std::vector<ItemRef> stop;
  for (const ItemRef& item : holding) {
    if (this->known.count(item) == 0) {
      stop.push_back(item);
    }
  }
  return stop;
}

PartialText LeaseDesk::PartialOf(const ItemRef& item) const {
  const auto found = this->known.find(item);
  return found != this->known.end() ? found->second.partial : PartialText{};
}

}  // namespace papayarack::batches
