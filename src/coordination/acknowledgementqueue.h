#ifndef PAPAYARACK_COORDINATION_ACKNOWLEDGEMENTQUEUE_H_
#define PAPAYARACK_COORDINATION_ACKNOWLEDGEMENTQUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "global/timepoint.h"
#include "transport/peerserver.h"

namespace papayarack::coordination {

/// Decides when the leader acknowledges a configuration that the group has
/// committed: once every entry that reports to it has applied the
/// configuration, or after a bound. Without the wait, entries serve by an older
/// configuration seconds after a newer one was acknowledged: a commit only
/// means that a quorum's logs hold it, and a slow distribution of a large
/// configuration, the next one, or the loss of the leader comes after that.
/// Does no I/O. Thread safety: none.
class AcknowledgementQueue {
 public:
  /// Longest delay of an acknowledgement; TransferTime of the text is added.
  /// Six times what a small change takes to reach all entries (50 ms).
  /// Operators try another process after 1 s; an entry's attempt takes 450 ms,
  /// of which the log needs 30 to 100 ms.
  static constexpr std::chrono::milliseconds kMaxDelay{300};
  /// Entries silent for longer than this are not waited for. Entries report at
  /// least once a second; one that is gone would delay every acknowledgement.
  static constexpr std::chrono::milliseconds kReportTimeout{1300};

  /// Resets the state for a new leader, which knows no entry until all have
  /// reported.
  void Clear(Time now);
  /// Records which version an entry has applied.
  void OnReport(const std::string& entry, std::uint64_t version, Time now);
  /// Queues the acknowledgement of the committed `version`, whose text has
  /// `bytes` bytes, for `stream`. The bound counts from the first call for that
  /// version or a newer one, so that it does not start again if an operator
  /// submits the version again elsewhere.
  void Add(transport::StreamId stream, std::uint64_t version, std::size_t bytes,
           Time now);

  /// An acknowledgement to send now.
  struct Acknowledgement {
    transport::StreamId stream = 0;
    std::uint64_t version = 0;
    Duration delay{};
    /// Reporting entries that have not applied the version yet.
    std::size_t lagging = 0;
    std::string first_lagging;  ///< Name of one of them.
  };
  /// Removes and returns those that are due. Call it about every 20 ms.
  std::vector<Acknowledgement> TakeDue(Time now);
  /// Removes and returns all, when this member no longer leads and so receives
  /// no more reports.
  std::vector<Acknowledgement> TakeAll(Time now);

 private:
  struct Report {
    std::uint64_t version = 0;
    Time heard{};
  };
  struct Pending {
    transport::StreamId stream;
    std::uint64_t version = 0;
    Time since{};
    Time until{};
  };
  Acknowledgement MakeAcknowledgement(const Pending& pending, Time now) const;

  std::map<std::string, Report> entries;
  std::vector<Pending> waiting;
  /// The newest version queued in this term, and its bound.
  std::uint64_t newest = 0;
  Time newest_until{};
  Time leads_since{};
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_ACKNOWLEDGEMENTQUEUE_H_
