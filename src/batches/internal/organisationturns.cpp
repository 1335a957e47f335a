#include "batches/organisationturns.h"

namespace papayarack::batches {

void OrganisationTurns::Add(const std::string& organisation, int priority,
                            const Key& item) {
  const auto entry = this->organisations.try_emplace(organisation).first;
  this->turns.erase(TurnOf(*entry));
  this->idle.erase({entry->second.last_turn, organisation});
  entry->second.priority = priority;
  entry->second.waiting.insert(item);
  this->turns.insert(TurnOf(*entry));
}

void OrganisationTurns::Remove(const std::string& organisation,
                               const Key& item) {
  const auto entry = this->organisations.find(organisation);
  if (entry == this->organisations.end() ||
      entry->second.waiting.erase(item) == 0 ||
      !entry->second.waiting.empty()) {
    return;
  }
  this->turns.erase(TurnOf(*entry));
  this->idle.insert({entry->second.last_turn, organisation});
  this->ForgetIdle();
}

void OrganisationTurns::Served(const std::string& organisation,
                               std::uint64_t turn) {
  const auto entry = this->organisations.find(organisation);
  if (entry == this->organisations.end()) {
    return;
  }
  const bool had_turn = this->turns.erase(TurnOf(*entry)) > 0;
  const bool was_idle =
      this->idle.erase({entry->second.last_turn, organisation}) > 0;
  entry->second.last_turn = turn;
  if (had_turn) {
    this->turns.insert(TurnOf(*entry));
  }
  if (was_idle) {
    this->idle.insert({turn, organisation});
  }
}

void OrganisationTurns::ForgetIdle() {
  while (this->idle.size() > kMaxIdle) {
    this->organisations.erase(this->idle.begin()->second);
    this->idle.erase(this->idle.begin());
  }
}

std::optional<OrganisationTurns::Candidate> OrganisationTurns::Next(
    Time in_time_here, Time until, Time late_everywhere) {
  std::size_t looks = 0;
  auto turn = this->turns.begin();
  while (turn != this->turns.end() && looks < kMaxLooks) {
    const Organisation& organisation =
        this->organisations.at(std::get<std::string>(*turn));
    const auto item = organisation.waiting.lower_bound({in_time_here, 0});
    if (item != organisation.waiting.end() && item->first < until) {
      return Candidate{organisation.priority, organisation.last_turn, *item};
    }
    if (organisation.waiting.rbegin()->first < late_everywhere) {
      turn = this->turns.erase(turn);
    } else {
      ++turn;
      ++looks;
    }
  }
  return std::nullopt;
}

}  // namespace papayarack::batches
