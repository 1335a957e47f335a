#ifndef PAPAYARACK_COORDINATION_ACKNOWLEDGEMENTHOLD_H_
#define PAPAYARACK_COORDINATION_ACKNOWLEDGEMENTHOLD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "global/timepoint.h"
#include "transport/peerserver.h"

namespace papayarack::coordination {

/// Decides when the leader acknowledges a configuration that the group has
/// confirmed: once all entries that it hears from obey it, or after a bound.
/// Load pattern: a large configuration, with another or a loss of power right
/// after its acknowledgement. Symptom guarded against: entries answer by an
/// older configuration seconds after a newer one was acknowledged, because a
/// quorum's logs say nothing of who obeys, and whatever slows the spread or
/// ends the leader comes after the acknowledgement. Does no I/O. Thread safety:
/// none.
class AcknowledgementHold {
 public:
  /// Most that an acknowledgement is held, and TransferTime of the text more.
  /// Operators move on after a second; an entry's attempt takes 450 ms, of
  /// which the log needs 30 to 100 ms. Six times what a small change takes to
  /// reach all entries (50 ms).
  static constexpr std::chrono::milliseconds kLongest{300};
  /// An entry that was silent for longer is not waited for: it reports at least
  /// once a second, and what is gone would hold up every acknowledgement.
  static constexpr std::chrono::milliseconds kInTouch{1300};

  /// A new leader, which knows of no entry until all have reported.
  void Clear(Time now);
  /// An entry reports which version it obeys.
  void Heard(const std::string& entry, std::uint64_t version, Time now);
  /// `stream` waits for the acknowledgement of `version`, whose text has so
  /// many bytes. The group has confirmed it. The bound counts from the first
  /// call for that version or a newer one: an operator that sends it again,
  /// elsewhere, does not wait anew.
  void Hold(transport::StreamId stream, std::uint64_t version,
            std::size_t bytes, Time now);

  /// An acknowledgement that is to leave now.
  struct Released {
    transport::StreamId stream = 0;
    std::uint64_t version = 0;
    Duration held_for{};
    /// Entries in touch that do not obey the version yet.
    std::size_t lagging = 0;
    std::string first_lagging;  ///< Name of one of them.
  };
  /// Those that are due; call it every 20 ms or so.
  std::vector<Released> Release(Time now);
  /// All: this member does not lead any more, and hears from nobody.
  std::vector<Released> ReleaseAll(Time now);

 private:
  struct Report {
    std::uint64_t version = 0;
    Time heard{};
  };
  struct Held {
    transport::StreamId stream;
    std::uint64_t version = 0;
    Time since{};
    Time until{};
  };
  Released MakeReleased(const Held& held, Time now) const;

  std::map<std::string, Report> entries;
  std::vector<Held> waiting;
  /// The newest version that was held in this term, and its bound.
  std::uint64_t newest = 0;
  Time newest_until{};
  Time leads_since{};
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_ACKNOWLEDGEMENTHOLD_H_
