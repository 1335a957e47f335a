#ifndef PAPAYARACK_QUARANTINE_CRASHLEDGER_H_
#define PAPAYARACK_QUARANTINE_CRASHLEDGER_H_

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

/// A replica crashed while it ran `request`.
struct CrashReport {
  Fingerprint request;
  std::string replica;       ///< Names one start of a replica.
  std::uint32_t age_ms = 0;  ///< When the report was sent.
  MSGPACK_DEFINE(request, replica, age_ms)
};

/// A request that is not to be run any more, and why.
struct Verdict {
  Fingerprint request;
  std::vector<std::string> replicas;  ///< That crashed while they ran it.
  /// Other requests that the same crashes could be due to as well.
  std::size_t rivals = 0;
};

/// Decides which requests crash the replicas that run them (a query of death).
///
/// Load pattern: one caller sends the same request again and again, at any
/// entry; each run ends a replica, which is back after seconds, and everything
/// else that runs there breaks off with it. Unstopped it takes a service away
/// from all its callers. What is hard is to spare the others: those that ran
/// beside it come again too, and a wave of crashes that has nothing to do with
/// any request strikes many at once. So
/// - several replicas that crash at one moment count once: one request ends
///   them one after the other;
/// - of requests that share their crashes the one with the most is taken, and
///   its crashes count half for the others;
/// - a request that a replica has run to the end is not counted any more.
/// Does no I/O. Thread safety: none.
class CrashLedger {
 public:
  static constexpr std::size_t kCrashesForVerdict = 3;
  /// Crashes closer to each other are one event. A replica makes the first
  /// event of a request after some 25 ms, and crashes later.
  static constexpr std::chrono::milliseconds kSameMoment{50};
  /// How long two requests with the same crashes are both let on:
  /// the culprit comes again, the other one hardly beside it.
  static constexpr std::chrono::milliseconds kTieWait{1000};
  /// Nothing is held against a request for longer.
  static constexpr std::chrono::minutes kRemember{10};
  /// The oldest crash makes room. Each names as many requests as its replica
  /// ran, up to a bound.
  static constexpr std::size_t kMostCrashes = 256;
  static constexpr std::size_t kMostRequestsOfCrash = 64;
  static constexpr std::size_t kMostVerdicts = 256;

  /// A new leader, which learns all from the entries' reports.
  void Clear();
  /// The same report again changes nothing.
  void Crashed(const CrashReport& report, Time now);
  /// A replica ran it to the end.
  void Survived(const Fingerprint& request, Time now);
  /// Another process knew of a verdict.
  void Learn(const Fingerprint& request, Time now);
  /// Verdicts that are due now; call it after reports and every 100 ms or so.
  std::vector<Verdict> Judge(Time now);

  bool Quarantined(const Fingerprint& request) const {
    return this->verdicts.count(request) > 0;
  }
  /// Whether anything at all speaks against it.
  bool Names(const Fingerprint& request) const {
    return this->Quarantined(request) || this->suspects.count(request) > 0;
  }
  std::vector<Fingerprint> Verdicts() const;
  /// New whenever the verdicts are others than before.
  std::uint64_t revision() const { return this->changes; }

 private:
  struct Crash {
    Time when{};
    std::set<Fingerprint> ran;
  };
  /// How much speaks against a request.
  struct Evidence {
    std::vector<std::string> replicas;
    std::size_t halves = 0;  ///< Crashes that count, in halves.
    Time enough{};           ///< When they were enough for a verdict.
  };
  using Crashes = std::map<std::string, Crash>;
  void ForgetOld(Time now);
  Crashes::iterator Drop(Crashes::iterator crash);
  bool ExplainedByOther(const Crash& crash, const Fingerprint& request) const;
  Evidence EvidenceOf(const Fingerprint& request,
                      const std::set<std::string>& replicas) const;
  std::size_t RivalsOf(const Fingerprint& request, const Evidence& known) const;
  void AddVerdict(const Fingerprint& request, Time now);

  Crashes crashes;  ///< By replica.
  /// Without a verdict: the replicas whose crashes name the request.
  std::map<Fingerprint, std::set<std::string>> suspects;
  std::map<Fingerprint, Time> verdicts;  ///< Since when.
  std::map<Fingerprint, Time> survivors;
  std::uint64_t changes = 0;
};

}  // namespace papayarack::quarantine

#endif  // PAPAYARACK_QUARANTINE_CRASHLEDGER_H_
