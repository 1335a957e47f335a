#ifndef PAPAYARACK_BATCHES_LISTEDBODIES_H_
#define PAPAYARACK_BATCHES_LISTEDBODIES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "batches/batchmessages.h"

namespace papayarack::batches {

/// Bodies of items whose results were recorded lately. A caller that has read
/// the list of results just before an item is recorded, and asks for the item's
/// body just after, finds the item in neither if its body is dropped at once.
/// Part of the replicated state: what is kept depends on the commands of the
/// log only. Thread safety: none.
class ListedBodies {
 public:
  /// Beyond this the oldest are dropped.
  static constexpr std::size_t kMaxBytes = std::size_t{4} << 20U;
  /// Counted for each body besides its bytes.
  static constexpr std::size_t kEntryBytes = 256;

  void Add(const ItemRef& item, std::string body);
  /// The item's body; null if it is not kept. Valid until the next change.
  const std::string* Find(const ItemRef& item) const;
  /// Drops the bodies of a batch.
  void DropBatch(const std::string& batch);
  /// Drops all bodies up to and including that of `last`; none if that is not
  /// kept. Named by its item, as members that started from snapshots of an
  /// earlier release, which have no bodies, count positions from another start.
  void DropUpTo(const ItemRef& last);
  /// The item whose body was added last; empty ids if none is kept.
  ItemRef last() const {
    return this->by_position.empty() ? ItemRef{}
                                     : this->by_position.rbegin()->second.item;
  }
  std::size_t Bytes() const { return this->bytes; }
  /// Restores what MSGPACK_DEFINE does not hold. Call after decoding.
  void RestoreIndex();

  struct Kept {
    ItemRef item;
    std::string body;
    MSGPACK_DEFINE(item, body)
  };

 private:
  /// Order in which bodies were added, on this member.
  using Position = std::uint64_t;
  using ByPosition = std::map<Position, Kept>;

  void Drop(ByPosition::iterator kept);

  ByPosition by_position;
  Position last_position = 0;
  std::map<ItemRef, Position> positions;  ///< Not saved.
  std::size_t bytes = 0;                  ///< Not saved.

 public:
  MSGPACK_DEFINE(by_position, last_position)
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_LISTEDBODIES_H_
