#ifndef PAPAYARACK_COORDINATION_CHANGELIST_H_
#define PAPAYARACK_COORDINATION_CHANGELIST_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace papayarack::coordination {

/// The changes of a list since a revision.
template <typename Item>
struct ListChanges {
  /// `set` is the complete list; items not in it are gone.
  bool whole = false;
  std::vector<Item> set;
  std::vector<std::string> removed;  ///< Keys.
};

/// A list that gives readers the changes since the revision they have. Sending
/// complete lists instead costs one copy of all replicas for every process
/// whenever one replica drains. That cost grows with replicas times processes
/// and keeps the leader's link full during a rolling release with two changes a
/// second. Thread safety: none.
///
/// `kAudience` is the member of Item that decides which readers want it: a
/// filter (`wanted`) reads only this member and the key. When it changes, a
/// tombstone removes the item from its former readers, which would otherwise
/// keep it because nothing that they want has changed.
template <typename Item, auto kAudience>
class ChangeList {
 public:
  /// Adds or replaces an item. Returns true if the list changed.
  bool Set(const std::string& key, const Item& item) {
    const auto found = this->items.find(key);
    if (found == this->items.end()) {
      this->items.emplace(key, Entry{item, ++this->current});
      return true;
    }
    Entry& entry = found->second;
    if (entry.item == item) {
      return false;
    }
    ++this->current;
    if (std::invoke(kAudience, entry.item) != std::invoke(kAudience, item)) {
      this->AddTombstone(key, std::move(entry.item));
    }
    entry = {item, this->current};
    return true;
  }

  bool Remove(const std::string& key) {
    const auto found = this->items.find(key);
    if (found == this->items.end()) {
      return false;
    }
    ++this->current;
    this->AddTombstone(key, std::move(found->second.item));
    this->items.erase(found);
    return true;
  }

  /// Empties the list. Every reader then needs the complete list.
  void Clear() {
    this->items.clear();
    this->tombstones.clear();
    this->RequireFullList();
  }

  /// Makes every reader fetch the complete list next.
  void RequireFullList() { this->oldest = ++this->current; }

  std::uint64_t revision() const { return this->current; }

  /// Whether an item that `wanted` (a predicate on Item) selects has changed
  /// since `revision`.
  template <typename Wanted>
  bool ChangedSince(std::uint64_t revision, const Wanted& wanted) const {
    if (revision == this->current) {
      return false;
    }
    if (this->NeedsFullList(revision)) {
      return true;
    }
    const auto changed = [&](const Entry& entry) {
      return entry.revision > revision && wanted(entry.item);
    };
    return std::ranges::any_of(
               this->items,
               [&](const auto& item) { return changed(item.second); }) ||
           std::ranges::any_of(this->tombstones,
                               [&](const Tombstone& tombstone) {
                                 return changed(tombstone.entry);
                               });
  }

  /// The changes of the items that `wanted` selects, or the complete list if
  /// `revision` is too old. An item that was removed and added again is in both
  /// parts.
  template <typename Wanted>
  ListChanges<Item> Since(std::uint64_t revision, const Wanted& wanted) const {
    ListChanges<Item> changes;
    changes.whole = this->NeedsFullList(revision);
    for (const auto& [key, entry] : this->items) {
      const bool news = changes.whole || entry.revision > revision;
      if (news && wanted(entry.item)) {
        changes.set.push_back(entry.item);
      }
    }
    for (const Tombstone& tombstone : this->tombstones) {
      if (!changes.whole && tombstone.entry.revision > revision &&
          wanted(tombstone.entry.item)) {
        changes.removed.push_back(tombstone.key);
      }
    }
    return changes;
  }

  template <typename Visit>
  void ForEach(const Visit& visit) const {
    for (const auto& [key, entry] : this->items) {
      visit(key, entry.item);
    }
  }
  const Item* Find(const std::string& key) const {
    const auto found = this->items.find(key);
    return found != this->items.end() ? &found->second.item : nullptr;
  }

 private:
  struct Entry {
    Item item;
    std::uint64_t revision = 0;
  };
  /// The item that a key had before it was removed, or moved to other readers,
  /// at `entry.revision`.
  struct Tombstone {
    std::string key;
    Entry entry;
  };
  /// Readers ask at least once a second; this many removals within that time
  /// would be a third of the largest fleet.
  static constexpr std::size_t kMaxTombstones = 1000;

  bool NeedsFullList(std::uint64_t revision) const {
    return revision < this->oldest || revision > this->current;
  }

  void AddTombstone(const std::string& key, Item item) {
    this->tombstones.push_back({key, {std::move(item), this->current}});
    if (this->tombstones.size() > kMaxTombstones) {
      this->tombstones.clear();
      this->oldest = this->current;
    }
  }

  std::map<std::string, Entry> items;
  std::vector<Tombstone> tombstones;  ///< Oldest first; a key may have several.
  std::uint64_t current = 1;
  std::uint64_t oldest = 1;  ///< Earlier revisions need the full list.
};

/// Applies `changes` to the reader's items `held`, whose keys `key_of` returns.
template <typename Item, typename KeyOf>
void ApplyChanges(std::vector<Item>& held, const ListChanges<Item>& changes,
                  const KeyOf& key_of) {
  if (changes.whole) {
    held = changes.set;
    return;
  }
  std::map<std::string, Item> by_key;
  for (Item& item : held) {
    by_key.emplace(key_of(item), std::move(item));
  }
  for (const std::string& key : changes.removed) {
    by_key.erase(key);
  }
  for (const Item& item : changes.set) {
    by_key.insert_or_assign(key_of(item), item);
  }
  held.clear();
  for (auto& [key, item] : by_key) {
    held.push_back(std::move(item));
  }
}

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_CHANGELIST_H_
