#ifndef PAPAYARACK_COORDINATION_CRASHREPORTS_H_
#define PAPAYARACK_COORDINATION_CRASHREPORTS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "coordination/coordinationmessages.h"
#include "global/timepoint.h"
#include "quarantine/crashtracker.h"

namespace papayarack::coordination {

/// A quarantined trait, as the leader returned it.
struct QuarantinedTrait {
  Time since{};
  Time trial_due{};  ///< When it may next be tried by one run.
};

/// A process's reports of crashed replicas to the leader, and the quarantined
/// traits that the leader returns. Each leader gets each report once, and the
/// traits that earlier leaders quarantined, so that a change of leader loses
/// nothing. Bounded in number and time. Does no I/O. Thread safety: none.
class CrashReports {
 public:
  static constexpr std::size_t kMaxReports = 256;

  /// `replica` crashed as it began to answer a request with these traits.
  void Crashed(std::string replica,
               std::vector<quarantine::SuspectTrait> traits, Time now);
  /// A replica ran a request with the trait without a crash.
  void Survived(const quarantine::Fingerprint& trait, Time now);
  /// Adds what the leader of `request.term` has not been sent yet.
  void AddTo(WatchRequest& request, Time now);
  /// Handles the leader's reply to the last request passed to AddTo.
  void Answered(const WatchReply& reply, Time now);

  bool Quarantined(const quarantine::Fingerprint& trait) const {
    return this->quarantined.count(trait) > 0;
  }
  /// The traits of requests that must not be run, but for trials.
  const std::map<quarantine::Fingerprint, QuarantinedTrait>& all() const {
    return this->quarantined;
  }

 private:
  struct Crash {
    std::string replica;
    std::vector<quarantine::SuspectTrait> traits;
  };
  struct Survival {
    quarantine::Fingerprint trait;
  };
  struct Report {
    std::variant<Crash, Survival> what;
    Time when{};
    std::uint64_t number = 0;
    std::uint64_t reported_term = 0;
  };
  void Add(Report report);
  static void Write(const Crash& crash, std::uint32_t age_ms,
                    WatchRequest& request);
  static void Write(const Survival& survival, std::uint32_t age_ms,
                    WatchRequest& request);

  std::deque<Report> reports;
  std::uint64_t last_number = 0;
  std::uint64_t requested_number = 0;  ///< Newest report in the last request.
  std::uint64_t requested_term = 0;
  std::map<quarantine::Fingerprint, QuarantinedTrait> quarantined;
  /// Term of the leader that knows `quarantined`.
  std::uint64_t list_term = 0;
  std::uint64_t list_revision = 0;
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_CRASHREPORTS_H_
