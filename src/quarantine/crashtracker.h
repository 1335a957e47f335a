#ifndef PAPAYARACK_QUARANTINE_CRASHTRACKER_H_
#define PAPAYARACK_QUARANTINE_CRASHTRACKER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "global/timepoint.h"
#include "quarantine/fingerprint.h"

namespace papayarack::quarantine {

/// Reports that a replica crashed while it ran `request`.
struct CrashReport {
  Fingerprint request;
  std::string replica;       ///< Identifies one start of a replica.
  std::uint32_t age_ms = 0;  ///< Time from the crash to the report.
  MSGPACK_DEFINE(request, replica, age_ms)
};

/// A request that is put in quarantine, and the evidence.
struct QuarantineDecision {
  Fingerprint request;
  std::vector<std::string> replicas;  ///< Crashed while they ran it.
  /// Number of other requests that may have caused the same crashes.
  std::size_t rivals = 0;
};

/// Detects requests that crash the replicas that run them (queries of death).
///
/// Load pattern: a caller repeats the same request at any entry; each run
/// crashes a replica, which takes seconds to restart, and breaks off everything
/// else that runs on it. Unstopped, this makes the service unavailable to all
/// callers. Other requests must be spared: those that ran on the same replica
/// are repeated too, and a wave of crashes unrelated to any request affects
/// many at once. So
/// - several replicas that crash at the same time count once: a query of death
///   crashes them one after the other;
/// - of requests that share their crashes the one with the most is quarantined,
///   and its crashes count half for the others;
/// - a request that a replica has completed is not counted any more.
/// Does no I/O. Thread safety: none.
class CrashTracker {
 public:
  static constexpr std::size_t kCrashThreshold = 3;
  /// Crashes closer together than this count once. A replica streams the first
  /// event of a request after some 25 ms, and crashes later.
  static constexpr std::chrono::milliseconds kSameEventWindow{50};
  /// How long two requests with the same crashes may both still run: the one
  /// that causes them is retried and crashes another replica, on which the
  /// other is unlikely to run as well.
  static constexpr std::chrono::milliseconds kTieDelay{1000};
  /// Crashes and quarantines are forgotten after this time.
  static constexpr std::chrono::minutes kRetention{10};
  /// Beyond this the oldest crash is dropped. A crash lists the requests that
  /// its replica ran, up to kMaxRequestsPerCrash.
  static constexpr std::size_t kMaxCrashes = 256;
  static constexpr std::size_t kMaxRequestsPerCrash = 64;
  static constexpr std::size_t kMaxQuarantined = 256;

  /// Called on a new leader, which rebuilds its state from the entries'
  /// reports.
  void Clear();
  /// Idempotent per report.
  void Crashed(const CrashReport& report, Time now);
  /// A replica completed the request.
  void Survived(const Fingerprint& request, Time now);
  /// Records that another process knows the request as quarantined.
  void Learn(const Fingerprint& request, Time now);
  /// Quarantines the requests for which enough evidence is known and returns
  /// them. Call after reports and about every 100 ms.
  std::vector<QuarantineDecision> Evaluate(Time now);

  bool Quarantined(const Fingerprint& request) const {
    return this->quarantined.count(request) > 0;
  }
  /// Whether it is quarantined or any crash counts against it.
  bool IsSuspect(const Fingerprint& request) const {
    return this->Quarantined(request) || this->suspects.count(request) > 0;
  }
  std::vector<Fingerprint> QuarantinedRequests() const;
  /// Changes whenever the set of quarantined requests does.
  std::uint64_t revision() const { return this->changes; }

 private:
  struct Crash {
    Time when{};
    std::set<Fingerprint> ran;
  };
  /// Evidence against a request.
  struct Evidence {
    std::vector<std::string> replicas;
    std::size_t halves = 0;    ///< Counted crashes, in halves.
    Time threshold_reached{};  ///< When the threshold was reached.
  };
  using Crashes = std::map<std::string, Crash>;
  void ForgetOld(Time now);
  Crashes::iterator Drop(Crashes::iterator crash);
  bool ExplainedByOther(const Crash& crash, const Fingerprint& request) const;
  Evidence EvidenceOf(const Fingerprint& request,
                      const std::set<std::string>& replicas) const;
  std::size_t CountRivals(const Fingerprint& request,
                          const Evidence& evidence) const;
  void AddToQuarantine(const Fingerprint& request, Time now);

  Crashes crashes;  ///< By replica.
  /// Requests not in quarantine: the replicas that crashed while they ran it.
  std::map<Fingerprint, std::set<std::string>> suspects;
  std::map<Fingerprint, Time> quarantined;  ///< Time of quarantine.
  std::map<Fingerprint, Time> survivors;
  std::uint64_t changes = 0;
};

}  // namespace papayarack::quarantine

#endif  // PAPAYARACK_QUARANTINE_CRASHTRACKER_H_
