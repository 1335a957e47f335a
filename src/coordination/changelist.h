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

/// What became of a list since a revision.
template <typename Item>
struct ListChanges {
  /// `set` is the whole list: what is not in it is gone.
  bool whole = false;
  std::vector<Item> set;
  std::vector<std::string> removed;  ///< Keys.
};

/// A list whose readers learn what changed since the revision that they have.
/// Symptom guarded against: one replica that drains costs a copy of the list of
/// all replicas for every process, which grows with the product of both and
/// keeps the leader's link full while a rolling release makes two changes a
/// second. Thread safety: none.
///
/// `kAudience` is the member of Item that says which readers want it: no filter
/// (`wanted`) looks at another one, the key aside. Symptom guarded against: an
/// item that is replaced by one for other readers stays with those it was for,
/// as nothing that they want has changed.
template <typename Item, auto kAudience>
class ChangeList {
 public:
  /// Adds or replaces; true when that changed the list.
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
      this->Bury(key, std::move(entry.item));
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
    this->Bury(key, std::move(found->second.item));
    this->items.erase(found);
    return true;
  }

  /// Empties it; every reader needs the whole list from now on.
  void Clear() {
    this->items.clear();
    this->tombs.clear();
    this->MakeAllWhole();
  }

  /// Every reader needs the whole list from now on.
  void MakeAllWhole() { this->oldest = ++this->current; }

  std::uint64_t revision() const { return this->current; }

  /// Whether something that `wanted` (of Item) selects changed since then.
  template <typename Wanted>
  bool ChangedSince(std::uint64_t revision, const Wanted& wanted) const {
    if (revision == this->current) {
      return false;
    }
    if (this->NeedsWhole(revision)) {
      return true;
    }
    const auto changed = [&](const Entry& entry) {
      return entry.revision > revision && wanted(entry.item);
    };
    return std::ranges::any_of(
               this->items,
               [&](const auto& item) { return changed(item.second); }) ||
           std::ranges::any_of(this->tombs, [&](const Tomb& tomb) {
             return changed(tomb.entry);
           });
  }

  /// What changed of the items that `wanted` selects; the whole list where the
  /// revision is too old to say. What was removed and came back stands in both
  /// parts.
  template <typename Wanted>
  ListChanges<Item> Since(std::uint64_t revision, const Wanted& wanted) const {
    ListChanges<Item> changes;
    changes.whole = this->NeedsWhole(revision);
    for (const auto& [key, entry] : this->items) {
      const bool news = changes.whole || entry.revision > revision;
      if (news && wanted(entry.item)) {
        changes.set.push_back(entry.item);
      }
    }
    for (const Tomb& tomb : this->tombs) {
      if (!changes.whole && tomb.entry.revision > revision &&
          wanted(tomb.entry.item)) {
        changes.removed.push_back(tomb.key);
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
  /// What a key stood for until that revision.
  struct Tomb {
    std::string key;
    Entry entry;
  };
  /// Readers ask at least once a second; as many removals in that time would be
  /// a third of the largest fleet.
  static constexpr std::size_t kMostTombs = 1000;

  bool NeedsWhole(std::uint64_t revision) const {
    return revision < this->oldest || revision > this->current;
  }

  void Bury(const std::string& key, Item item) {
    this->tombs.push_back({key, {std::move(item), this->current}});
    if (this->tombs.size() > kMostTombs) {
      this->tombs.clear();
      this->oldest = this->current;
    }
  }

  std::map<std::string, Entry> items;
  std::vector<Tomb> tombs;  ///< Oldest first; a key may have several.
  std::uint64_t current = 1;
  std::uint64_t oldest = 1;  ///< First revision whose readers need no whole.
};

/// What a reader holds after `changes`: `held` are its items by `key_of`.
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
