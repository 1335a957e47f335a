#ifndef PAPAYARACK_ORIGINS_SOFTWAREHISTORY_H_
#define PAPAYARACK_ORIGINS_SOFTWAREHISTORY_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "global/replicasoftware.h"
#include "global/timepoint.h"

namespace papayarack::origins {

/// Which software the replicas of each service have run lately, by the
/// platform's list. Tells the origin of a stream without a record where only
/// one software can have begun it. Thread safety: none.
class SoftwareHistory {
 public:
  /// A longer time without a reading of the list may hide a version.
  static constexpr std::chrono::milliseconds kMaxListGap{3000};

  /// At `now` it is known that the list was read at `read_after` or later, with
  /// or without changes. Precondition: neither decreases.
  void ListRead(Time read_after, Time now);
  /// The list now holds replicas of `listed`, draining ones included.
  void SetListed(const std::set<ReplicaSoftware>& listed, Time now);
  /// The only software of `service` throughout the last `window`; unknown
  /// software if there were several or an unknown one, or if the list was not
  /// watched for that long.
  ReplicaSoftware SoleSince(const std::string& service, Duration window,
                            Time now) const;

 private:
  struct Version {
    std::optional<Time> delisted;  ///< Nothing while it is listed.
  };
  Time watched_since{};
  Time last_read{};
  std::map<ReplicaSoftware, Version> known;
};

}  // namespace papayarack::origins

#endif  // PAPAYARACK_ORIGINS_SOFTWAREHISTORY_H_
