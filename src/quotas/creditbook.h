#ifndef PAPAYARACK_QUOTAS_CREDITBOOK_H_
#define PAPAYARACK_QUOTAS_CREDITBOOK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "global/timepoint.h"
#include "quotas/quotalimits.h"
#include "quotas/quotamessages.h"

namespace papayarack::quotas {

/// The request may run; credit was taken for it if its organisation has a
/// limit.
struct Admitted {};
/// The organisation is at its limit.
struct OverLimit {
  std::chrono::milliseconds retry_after{0};
};
/// Whether it may run is not known before the next report is answered.
struct AwaitCredit {};
using Admission = std::variant<Admitted, OverLimit, AwaitCredit>;

/// An entry's credit for the requests of organisations with a limit.
///
/// Load pattern: as in QuotaAuthority. An entry holds credit for some seconds
/// of what it has seen of an organisation lately, so requests below the limit
/// do not wait, also while a leader is elected; it asks for more while some is
/// left, and gives up what it no longer needs. Without credit the first
/// requests wait for an answer, and once the leader has none the following ones
/// are refused at once until it may have some. Credit that the leader granted
/// for a higher limit than the entry's is kept in proportion only: one of them
/// has missed a change. Does no I/O. Thread safety: none.
class CreditBook {
 public:
  CreditBook(std::string entry, std::uint64_t incarnation,
             const QuotaTolerance& tolerance);

  /// Removed limits whose counts are kept: some changes of the configuration.
  static constexpr std::size_t kMaxRemoved = 1024;

  /// Of a lowered limit's credit, a part in proportion is kept. Counts of a
  /// removed limit are kept, as the leader may not have heard of the removal
  /// when the limit is set again.
  void SetLimits(const QuotaLimits& limits, Time now);
  std::size_t RemovedLimits() const { return this->removed.size(); }
  Admission Admit(const std::string& organisation, Time now);
  /// The same for a request that waited for an answer.
  Admission AdmitWaiting(const std::string& organisation, Time now);
  /// A request that arrived at `arrived` did not run after all. Precondition:
  /// it was admitted.
  void GiveBack(const std::string& organisation, Time arrived, Time now);
  /// Whether to send a report now. Ask again in a few milliseconds if not.
  bool ReportDue(Time now) const;
  /// The report to send; no other one may be under way.
  ReportCredit MakeReport(Time now);
  void Answered(const CreditReply& reply, Time now);
  /// No leader answered the report.
  void Unanswered(Time now);

 private:
  struct Account {
    QuotaLimit limit;
    Time limited_since{};     ///< When there was none before.
    Time limit_set{};         ///< When `limit` was last changed.
    CreditReport report;      ///< Current, but for what it asks.
    CreditReport last_sent;   ///< As in the last report that was answered.
    double demand = 0;        ///< Requests a second, a moving average.
    double peak_demand = 0;   ///< The highest of the last waves.
    Time counted{};           ///< When `demand` was last changed.
    std::uint32_t unmet = 0;  ///< Requests that wait for credit.
    Time none_before{};       ///< No credit is to be had until then.
    Duration per_request{};   ///< Time in which one request's credit comes.
    Time last_turn{};         ///< Told to the caller refused last.
    Time next_top_up{};       ///< No credit in advance is asked for until then.
    double kept_rest = 0;     ///< Part of a request that KeptOf() left over.
    std::chrono::milliseconds report_within{0};  ///< As in CreditGrant.
  };

  bool Valid(Time now) const {
    return now < this->valid_since + kCreditValidity;
  }
  /// When a caller that is refused now should return: credit for one request
  /// comes at a time, first for those that were refused before.
  static std::chrono::milliseconds NextTurn(Account& account, Time now);
  static void CountArrival(Account& account, Time now);
  /// `demand` as of account.counted, after that time without arrivals.
  static double Faded(double demand, double seconds, const Account& account,
                      Time now);
  static double PeakDemandOf(const Account& account, Time now);
  static std::int64_t TargetOf(const Account& account, Time now);
  static bool WantsMore(const Account& account, Time now);
  static bool HasNews(const Account& account);
  void GiveUp(Account& account, std::int64_t credit) const;
  /// Part of `granted` that the account may use under its own limit.
  std::int64_t KeptOf(Account& account, const CreditGrant& grant,
                      std::int64_t granted) const;
  void RemoveLimit(const std::string& organisation, Account& account);
  void AddLimit(const std::string& organisation, Account& account, Time now);
  void EndCredit(Time now);

  std::string entry;
  std::uint64_t incarnation;
  QuotaTolerance tolerance;
  std::map<std::string, Account> accounts;  ///< By organisation.
  /// Counts of removed limits, by organisation; no credit is left of them.
  std::map<std::string, CreditReport> removed;
  Time valid_since{};  ///< When the last answered report was sent.
  Time ended{};        ///< When credit last ended.
  Time sent{};         ///< When the last report was sent.
  Time next_attempt{};
  bool under_way = false;
};

}  // namespace papayarack::quotas

#endif  // PAPAYARACK_QUOTAS_CREDITBOOK_H_
