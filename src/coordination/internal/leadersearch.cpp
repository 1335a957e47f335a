#include "coordination/leadersearch.h"

#include <algorithm>
#include <utility>

namespace papayarack::coordination {

void LeaderSearch::SetMembers(std::vector<std::string> addresses) {
  this->known_members = std::move(addresses);
}

void LeaderSearch::SetSeeds(std::vector<std::string> addresses) {
  this->seeds = std::move(addresses);
}

void LeaderSearch::SetOthers(std::vector<std::string> addresses) {
  this->others = std::move(addresses);
}

void LeaderSearch::Found(std::string address) {
  this->known_leader = std::move(address);
}

void LeaderSearch::Lost(std::string_view address) {
  if (this->known_leader == address) {
    this->known_leader.clear();
  }
}

void LeaderSearch::Refused(std::string_view address, std::string hint) {
  this->Lost(address);
  if (this->known_leader.empty() && hint != address) {
    this->known_leader = std::move(hint);
  }
}

std::vector<std::string> LeaderSearch::MembersAndSeeds() const {
  std::vector<std::string> targets = this->known_members;
  for (const std::string& address : this->seeds) {
    if (std::ranges::find(targets, address) == targets.end()) {
      targets.push_back(address);
    }
  }
  return targets;
}

std::string LeaderSearch::Next() {
  if (!this->known_leader.empty()) {
    return this->known_leader;
  }
  const std::vector<std::string> first = this->MembersAndSeeds();
  const std::size_t turn = this->rotation++;
  const bool others_turn = turn % 2 == 1 || first.empty();
  if (!this->others.empty() && others_turn) {
    return this->others[this->others_rotation++ % this->others.size()];
  }
  if (first.empty()) {
    return {};
  }
  return first[(this->others.empty() ? turn : turn / 2) % first.size()];
}

std::string LeaderSearch::NextForCall(std::string_view avoided) {
  if (!this->known_leader.empty() && this->known_leader != avoided) {
    return this->known_leader;
  }
  const std::vector<std::string>& targets =
      this->known_members.empty() ? this->seeds : this->known_members;
  if (targets.empty()) {
    return {};
  }
  std::string next = targets[this->call_rotation++ % targets.size()];
  if (next == avoided) {
    next = targets[this->call_rotation++ % targets.size()];
  }
  return next;
}

}  // namespace papayarack::coordination
