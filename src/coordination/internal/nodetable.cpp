#include "coordination/nodetable.h"

#include <algorithm>

namespace papayarack::coordination {
namespace {

/// Which reports a process of `asker`'s role works with: stores are for all,
/// gates for entries.
auto WantedBy(NodeRole asker) {
  return [asker](const NodeReport& report) {
    const bool store = report.Role() == NodeRole::kStore;
    const bool gate = report.Role() == NodeRole::kGate;
    return store || (gate && asker == NodeRole::kEntry);
  };
}

}  // namespace

void NodeTable::Clear(Time now) {
  this->nodes.Clear();
  this->heard.clear();
  this->since = now;
  this->settled_told = false;
}

bool NodeTable::Take(const NodeReport& report, Time now) {
  this->heard[report.name] = now;
  return this->nodes.Set(report.name, report);
}

bool NodeTable::DropSilent(Time now) {
  this->last_dropped.clear();
  for (const auto& [name, last] : this->heard) {
    if (now - last > kForgetAfter) {
      this->last_dropped.push_back(name);
    }
  }
  for (const std::string& name : this->last_dropped) {
    this->heard.erase(name);
    this->nodes.Remove(name);
  }
  if (!this->settled_told && this->Settled(now)) {
    this->settled_told = true;
    this->nodes.MakeAllWhole();
  }
  return !this->last_dropped.empty();
}

bool NodeTable::ChangedFor(NodeRole asker, std::uint64_t revision) const {
  return this->nodes.ChangedSince(revision, WantedBy(asker));
}

ListChanges<NodeReport> NodeTable::ChangesFor(NodeRole asker,
                                              std::uint64_t revision) const {
  return this->nodes.Since(revision, WantedBy(asker));
}

std::vector<NodeReport> NodeTable::WithRole(NodeRole role) const {
  return this->nodes
      .Since(0,
             [role](const NodeReport& report) { return report.Role() == role; })
      .set;
}

const NodeReport* NodeTable::Find(const std::string& name) const {
  return this->nodes.Find(name);
}

std::optional<Time> NodeTable::LastHeard(const std::string& name) const {
  const auto found = this->heard.find(name);
  if (found == this->heard.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace papayarack::coordination
