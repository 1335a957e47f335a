#ifndef PAPAYARACK_COORDINATION_CRASHREPORTS_H_
#define PAPAYARACK_COORDINATION_CRASHREPORTS_H_

#include <cstdint>
#include <deque>
#include <set>
#include <string>

#include "coordination/coordinationmessages.h"
#include "global/timepoint.h"
#include "quarantine/crashtracker.h"

namespace papayarack::coordination {

/// An entry's reports of crashed replicas to the leader, and the quarantined
/// requests that the leader returns. Each leader gets each report once, and the
/// requests that earlier leaders quarantined, so that a change of leader loses
/// nothing. Bounded in number and time. Does no I/O. Thread safety: none.
class CrashReports {
 public:
  static constexpr std::size_t kMaxReports = 256;

  void Crashed(const quarantine::Fingerprint& request, std::string replica,
               Time now);
  /// A replica completed the request.
  void Survived(const quarantine::Fingerprint& request, Time now);
  /// Adds what the leader of `request.term` has not been sent yet.
  void AddTo(WatchRequest& request, Time now);
  /// Handles the leader's reply to the last request passed to AddTo.
  void Answered(const WatchReply& reply);

  bool Quarantined(const quarantine::Fingerprint& request) const {
    return this->quarantined.count(request) > 0;
  }
  /// The requests that must not be run.
  const std::set<quarantine::Fingerprint>& all() const {
    return this->quarantined;
  }

 private:
  struct Report {
    quarantine::Fingerprint request;
    std::string replica;  ///< Empty: a replica completed the request.
    Time when{};
    std::uint64_t number = 0;
    std::uint64_t reported_term = 0;
  };
  void Add(Report report);

  std::deque<Report> reports;
  std::uint64_t last_number = 0;
  std::uint64_t requested_number = 0;  ///< Newest report in the last request.
  std::uint64_t requested_term = 0;
  std::set<quarantine::Fingerprint> quarantined;
  /// Term of the leader that knows `quarantined`.
  std::uint64_t list_term = 0;
  std::uint64_t list_revision = 0;
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_CRASHREPORTS_H_
