#ifndef PAPAYARACK_ORIGINS_ORIGINLOOKUP_H_
#define PAPAYARACK_ORIGINS_ORIGINLOOKUP_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "global/timepoint.h"
#include "origins/originmessages.h"

namespace papayarack::origins {

/// One search for the origin of a stream at all homes at once. Ends with the
/// first home that has a record, or when no home is left that could. Does no
/// I/O. Thread safety: none.
class OriginLookup {
 public:
  /// Homes that have not answered by then are not waited for: 60 round trips
  /// within a region.
  static constexpr std::chrono::milliseconds kTimeout{120};

  OriginLookup(const std::vector<std::string>& homes, Time now)
      : waiting(homes.begin(), homes.end()), until(now + kTimeout) {}

  /// `home` answered.
  void Answered(const std::string& home, const FoundOrigin& reply);
  /// `home` cannot be reached.
  void Failed(const std::string& home);
  /// The origin by the answers so far; without a record if no home has one.
  /// Nothing while homes may still answer.
  std::optional<FoundOrigin> Result() const;
  /// The same, but does not wait for homes longer than kTimeout. Call it when
  /// the answers that have arrived are read: after a pause of this process they
  /// may be older than the timeout.
  std::optional<FoundOrigin> Result(Time now) const;
  /// Homes that have not answered.
  const std::set<std::string>& Waiting() const { return this->waiting; }
  /// Number of homes that answered that they have no record.
  std::size_t WithoutRecord() const { return this->without_record; }
  /// Number of homes that could not be reached.
  std::size_t Unreachable() const { return this->unreachable; }

 private:
  std::set<std::string> waiting;
  Time until{};
  FoundOrigin found;
  std::size_t without_record = 0;
  std::size_t unreachable = 0;
};

}  // namespace papayarack::origins

#endif  // PAPAYARACK_ORIGINS_ORIGINLOOKUP_H_
