#ifndef PAPAYARACK_ORIGINS_ORIGINSTORE_H_
#define PAPAYARACK_ORIGINS_ORIGINSTORE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "global/timepoint.h"
#include "origins/originmessages.h"

namespace papayarack::origins {

/// The origins that one process keeps, in memory only. The first record of a
/// stream is final: its entry records only once an event is about to reach the
/// caller, so repeated and late records say the same. Thread safety: none.
class OriginStore {
 public:
  /// With ids and versions of usual length, 8 MB.
  static constexpr std::size_t kMaxRecords = 1U << 15U;
  /// Longer ids and versions are not recorded.
  static constexpr std::size_t kMaxNameBytes = 256;
  static constexpr std::chrono::minutes kMaxKeep{10};

  /// Stores a record. If the store is full, drops the record that would expire
  /// first. Returns false if nothing was stored, or something was dropped.
  bool Record(const RecordOrigin& record, Time now);
  /// The software is unknown if records contradict each other, as after two
  /// requests with the same id.
  FoundOrigin Find(std::string_view request, Time now) const;
  /// Removes expired records.
  void Expire(Time now);
  std::size_t size() const { return this->records.size(); }

 private:
  struct Entry {
    ReplicaSoftware software;
    Time expires{};
  };
  using Records = std::map<std::string, Entry, std::less<>>;
  void SetExpiry(Records::value_type& record, Time expires);
  void DropFirst();

  Records records;
  std::set<std::pair<Time, std::string>> by_expiry;
};

}  // namespace papayarack::origins

#endif  // PAPAYARACK_ORIGINS_ORIGINSTORE_H_
