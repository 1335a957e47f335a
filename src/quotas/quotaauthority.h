#ifndef PAPAYARACK_QUOTAS_QUOTAAUTHORITY_H_
#define PAPAYARACK_QUOTAS_QUOTAAUTHORITY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "global/timepoint.h"
#include "quotas/quotalimits.h"
#include "quotas/quotamessages.h"

namespace papayarack::quotas {

/// Hands out what organisations may send, as credit that entries use without
/// asking again. Runs on the coordination group's leader.
///
/// Load pattern: callers of one organisation come at few entries, unevenly, and
/// move when entries leave; far below its limit an organisation must never
/// wait, and beyond it nothing more may run than its limit, whichever entries
/// and leaders are cut off, stand still or start again. So each organisation
/// has one bucket that fills at its rate. What entries hold counts as part of
/// the bucket until they report it as used or give it up: bucket and credit
/// together never exceed QuotaFloat::standing, and so any window has at most
/// that and the rate.
///
/// A new leader knows nothing of what its predecessor handed out. Until that
/// has ended, it treats it as held and adopts the credit that entries report.
/// Its buckets start with what is certainly left: the committed reserve, which
/// no leader hands out before a lower one is committed. Without a reserve they
/// start with QuotaFloat::restart.
///
/// Every time passed in is one at which this member certainly led, so that two
/// leaders never fill a bucket for the same time: that of its latest contact
/// with a quorum. Does no I/O. Thread safety: none.
class QuotaAuthority {
 public:
  explicit QuotaAuthority(const QuotaTolerance& tolerance)
      : tolerance(tolerance) {}

  /// Called when this member becomes leader, with the reserves that the group
  /// has committed. Precondition: they include all that earlier leaders
  /// committed.
  void BeginTerm(Time now, CreditReserves committed = {});
  /// A lower limit takes credit back from the bucket at once, a higher one adds
  /// to it at once. The limit of an organisation that had none is there in full
  /// once nothing that ran under an earlier one lies within a window.
  void SetLimits(const QuotaLimits& limits, Time now);
  /// Takes an entry's report and grants what it wants, as far as there is
  /// credit. Idempotent per report. Precondition: this member leads, by a
  /// contact with its quorum younger than kMaxContactAge.
  CreditReply Take(const ReportCredit& report, Time now);
  /// Writes off the credit of entries whose credit has ended. Call it every
  /// second or so.
  void ForgetSilent(Time now);

  /// Reserves to commit now, if some should change; amounts of zero remove
  /// them. Ask again after reports were taken. None while an earlier proposal
  /// is under way, or before limits are set.
  std::optional<CreditReserves> ProposeReserves(Time now);
  /// The proposal was committed, or it is not known whether it was.
  void ReservesProposed(bool committed);
  /// Number of organisations with a committed reserve.
  std::size_t ReservedOrganisations() const { return this->committed.size(); }

 private:
  struct Holder {
    CreditReport last;  ///< With what was granted since.
    /// The highest limit of grants that were not reported as received.
    QuotaLimit granted_for;
    bool starved = false;  ///< Its requests wait and it got no credit.
  };
  struct Bucket {
    QuotaLimit limit;
    QuotaFloat bounds;
    double tokens = 0;
    Time filled{};
    double held = 0;     ///< Credit of all holders.
    double adopted = 0;  ///< Part of `held` from before this term.
    /// What entries held beyond a lowered limit: that much of what they give up
    /// does not come back to the bucket.
    double excess = 0;
    Time excess_until{};  ///< Nothing from before the change is in a window.
    /// Part of `tokens` that is not handed out: at least what is committed.
    double floor = 0;
    double taken_over = 0;  ///< The committed reserve when the term began.
    std::map<std::string, Holder> holders;  ///< By entry.
  };
  struct Entry {
    std::uint64_t incarnation = 0;
    Time heard{};
  };

  bool Settled(Time now) const {
    return now >= this->term_began + kCreditValidity + kMaxContactAge;
  }
  /// Time after which credit has ended, and its use lies in no window that is
  /// still open.
  Duration CreditPast() const {
    return kCreditValidity + kMaxContactAge + this->tolerance.window;
  }
  /// Whether nobody has used credit of the organisation lately, by what is
  /// known in this term.
  bool NothingRanUnder(const std::string& organisation, Time now) const;
  void Fill(Bucket& bucket, Time now) const;
  /// Starts an organisation's bucket in this term.
  void Start(const std::string& organisation, Bucket& bucket, Time now) const;
  /// The reserve that the bucket should have, if it should change.
  std::optional<std::uint32_t> NextReserve(const Bucket& bucket,
                                           bool may_raise) const;
  CreditGrant TakeOne(Bucket& bucket, const std::string& entry,
                      const CreditReport& report, Time now);
  void Adopt(Bucket& bucket, const std::string& entry,
             const CreditReport& report, Time now);
  static void Apply(Bucket& bucket, Holder& holder, const CreditReport& report);
  /// Notes that what is granted now is for the bucket's limit. A grant whose
  /// answer was lost is part of the next one, also if the limit is lower then.
  void NoteLimit(const Bucket& bucket, Holder& holder,
                 const CreditReport& report) const;
  static void Grant(Bucket& bucket, Holder& holder, const CreditReport& report);
  static std::uint32_t ReportWithinMs(const Bucket& bucket);
  /// How long an entry without credit should wait before it asks again.
  static std::uint32_t WaitMs(const Bucket& bucket);
  void WriteOff(const std::string& entry, Time now);

  QuotaTolerance tolerance;
  Time term_began{};
  std::map<std::string, Bucket> buckets;  ///< By organisation.
  std::map<std::string, Entry> entries;   ///< By name.
  std::map<std::string, Time> removed;    ///< Limits removed lately, and when.
  CreditReserves committed;
  std::optional<CreditReserves> proposed;  ///< On its way through the log.
  Time next_raise{};
};

}  // namespace papayarack::quotas

#endif  // PAPAYARACK_QUOTAS_QUOTAAUTHORITY_H_
