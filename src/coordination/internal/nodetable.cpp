#include "coordination/nodetable.h"

#include <algorithm>

#include "global/logging.h"

namespace papayarack::coordination {

namespace {

/// Selects the reports that a process of `asker`'s role needs: all need stores;
/// those that use or may own engines need gates.
auto WantedBy(NodeRole asker, bool entries_host) {
  return [asker, entries_host](const NodeReport& report) {
    switch (report.Role()) {
      case NodeRole::kStore:
        return true;
      case NodeRole::kGate:
        return asker != NodeRole::kGate;
      case NodeRole::kEntry:
        return entries_host && asker == NodeRole::kEntry;
    }
    return false;
  };
}

}  // namespace

void NodeTable::Clear(Time now) {
  this->nodes.Clear();
  this->heard.clear();
  this->since = now;
  this->settled_announced = false;
}

bool NodeTable::Take(const NodeReport& report, Time now) {
  this->heard[report.name] = now;
  const bool changed = this->nodes.Set(report.name, report);
  this->UpdateEntriesHost();
  return changed;
}

void NodeTable::UpdateEntriesHost() {
  const bool stores = this->Count(NodeRole::kStore) > 0;
  if (stores == this->entries_host) {
    this->entries_host = !stores;
    this->nodes.RequireFullList();
  }
}

/// Lets other processes take over engines before the owner is dropped.
/// Otherwise, for seconds after the owner of its slots is lost, an engine is
/// idle or gets requests regardless of its free slots.
void NodeTable::MarkAway(Time now) {
  std::vector<NodeReport> silent;
  this->nodes.ForEach([&](const std::string& name, const NodeReport& report) {
    if (!report.away && now - this->heard.at(name) > kAwayAfter) {
      silent.push_back(report);
    }
  });
  for (NodeReport& report : silent) {
    report.away = true;
    Log(LogLevel::kInfo, "process_silent",
        {{"process", report.name},
         {"silent_ms", (now - this->heard.at(report.name)).count() / 1000}});
    this->nodes.Set(report.name, report);
  }
}

bool NodeTable::DropSilent(Time now) {
  this->MarkAway(now);
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
  this->UpdateEntriesHost();
  if (!this->settled_announced && this->Settled(now)) {
    this->settled_announced = true;
    this->nodes.RequireFullList();
  }
  return !this->last_dropped.empty();
}

bool NodeTable::ChangedFor(NodeRole asker, std::uint64_t revision) const {
  return this->nodes.ChangedSince(revision,
                                  WantedBy(asker, this->entries_host));
}

ListChanges<NodeReport> NodeTable::ChangesFor(NodeRole asker,
                                              std::uint64_t revision) const {
  return this->nodes.Since(revision, WantedBy(asker, this->entries_host));
}

std::vector<NodeReport> NodeTable::WithRole(NodeRole role) const {
  return this->nodes
      .Since(0,
             [role](const NodeReport& report) { return report.Role() == role; })
      .set;
}

/// Called for each reply to a watch, so it makes no copies.
std::size_t NodeTable::Count(NodeRole role) const {
  std::size_t count = 0;
  this->nodes.ForEach([&](const std::string&, const NodeReport& report) {
    count += report.Role() == role ? 1 : 0;
  });
  return count;
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
