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

/// What an entry tells the leader of crashed replicas, and the requests that
/// the leader names in return. Each leader is told once of each report that it
/// lacks, and of the requests that the one before had named, so that a change
/// of leader forgets nothing. Bounded in number and time. Does no I/O. Thread
/// safety: none.
class CrashReports {
 public:
  static constexpr std::size_t kMostReports = 256;

  void Crashed(const quarantine::Fingerprint& request, std::string replica,
               Time now);
  /// A replica ran it to the end.
  void Survived(const quarantine::Fingerprint& request, Time now);
  /// Adds what the leader of `request.term` lacks.
  void AddTo(WatchRequest& request, Time now);
  /// The leader answered the request filled last.
  void Answered(const WatchReply& reply);

  bool Quarantined(const quarantine::Fingerprint& request) const {
    return this->quarantined.count(request) > 0;
  }
  /// The requests that are not to be run.
  const std::set<quarantine::Fingerprint>& all() const {
    return this->quarantined;
  }

 private:
  struct Report {
    quarantine::Fingerprint request;
    std::string replica;  ///< Empty: some replica ran it to the end.
    Time when{};
    std::uint64_t number = 0;
    std::uint64_t told_term = 0;
  };
  void Add(Report report);

  std::deque<Report> reports;
  std::uint64_t last_number = 0;
  std::uint64_t asked_number = 0;  ///< The newest in the last request.
  std::uint64_t asked_term = 0;
  std::set<quarantine::Fingerprint> quarantined;
  std::uint64_t list_term = 0;  ///< Of the leader that knows `quarantined`.
  std::uint64_t list_revision = 0;
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_CRASHREPORTS_H_
