#include "batches/listedbodies.h"

#include <utility>

namespace papayarack::batches {
namespace {

std::size_t CostOf(const ListedBodies::Kept& kept) {
  return kept.body.size() + ListedBodies::kEntryBytes;
}

}  // namespace

void ListedBodies::Add(const ItemRef& item, std::string body) {
  const auto added = this->by_position.emplace(++this->last_position,
                                               Kept{item, std::move(body)});
  this->positions[item] = this->last_position;
  this->bytes += CostOf(added.first->second);
  while (this->bytes > kMaxBytes) {
    this->Drop(this->by_position.begin());
  }
}

const std::string* ListedBodies::Find(const ItemRef& item) const {
  const auto found = this->positions.find(item);
  return found != this->positions.end()
             ? &this->by_position.at(found->second).body
             : nullptr;
}

void ListedBodies::DropBatch(const std::string& batch) {
  auto first = this->positions.lower_bound({batch, {}});
  while (first != this->positions.end() && first->first.batch == batch) {
    const Position position = first->second;
    ++first;
    this->Drop(this->by_position.find(position));
  }
}

void ListedBodies::DropUpTo(const ItemRef& last) {
  const auto found = this->positions.find(last);
  if (found == this->positions.end()) {
    return;
  }
  const Position position = found->second;
  while (!this->by_position.empty() &&
         this->by_position.begin()->first <= position) {
    this->Drop(this->by_position.begin());
  }
}

void ListedBodies::Drop(ByPosition::iterator kept) {
  this->bytes -= CostOf(kept->second);
  const auto position = this->positions.find(kept->second.item);
  if (position != this->positions.end() && position->second == kept->first) {
    this->positions.erase(position);
  }
  this->by_position.erase(kept);
}

void ListedBodies::RestoreIndex() {
  this->positions.clear();
  this->bytes = 0;
  for (const auto& [position, kept] : this->by_position) {
    this->positions[kept.item] = position;
    this->bytes += CostOf(kept);
  }
}

}  // namespace papayarack::batches
