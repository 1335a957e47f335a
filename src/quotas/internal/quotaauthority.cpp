#include "quotas/quotaauthority.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <utility>

namespace papayarack::quotas {
namespace {

/// One entry gets at most this share of what is there, so that others find
/// some, too.
constexpr double kMaxShare = 0.5;
/// An entry without credit asks again after this long at least.
constexpr std::chrono::milliseconds kMinWait{30};
constexpr std::chrono::milliseconds kMaxWait{2000};
constexpr std::chrono::milliseconds kMinReportTime{100};
constexpr std::chrono::milliseconds kMaxReportTime{1000};
/// Requests a second; a lower rate is treated as this one.
constexpr double kMinRate = 1e-3;
/// Margin for the way of a report, whose sending the entry counts from, and for
/// the age of the contact that times are counted by.
constexpr std::chrono::milliseconds kSilenceMargin =
    std::chrono::milliseconds{200} + kMaxContactAge;

/// Share of a bucket that becomes its reserve. A bucket that empties needs a
/// number of commits that grows with its logarithm only.
constexpr double kReservedShare = 0.7;
/// Upper bound of a reserve, as a share of the credit that is kept back for
/// requests that wait: up to there it takes nothing from what entries hold in
/// advance.
constexpr double kMaxShareOfKeptBack = 0.9;
/// A lower reserve is committed before it stops a grant: as soon as less than
/// this share of the bucket, and this many requests, are left above it.
constexpr double kLowShare = 0.25;
constexpr double kLowRequests = 2;
/// A higher reserve is committed once it gains this share of a full bucket, and
/// this many requests.
constexpr double kRaiseShare = 0.1;
constexpr double kRaiseRequests = 2;
constexpr std::chrono::milliseconds kRaiseInterval{1000};

}  // namespace

void QuotaAuthority::BeginTerm(Time now, CreditReserves reserves) {
  this->term_began = now;
  this->entries.clear();
  this->committed = std::move(reserves);
  this->proposed.reset();
  for (auto& [organisation, bucket] : this->buckets) {
    bucket.holders.clear();
    bucket.held = 0;
    bucket.adopted = 0;
    this->Start(organisation, bucket, now);
  }
}

void QuotaAuthority::Start(const std::string& organisation, Bucket& bucket,
                           Time now) const {
  bucket.tokens = bucket.bounds.restart;
  bucket.floor = 0;
  bucket.taken_over = 0;
  bucket.filled = now;
  const auto reserve = this->committed.find(organisation);
  if (reserve != this->committed.end()) {
    bucket.floor = reserve->second;
    // A larger one is of a higher limit, of which entries may hold the rest.
    bucket.taken_over = std::min<double>(
        reserve->second, kMaxShareOfKeptBack * bucket.bounds.reserve);
    bucket.tokens = bucket.taken_over;
  }
}

bool QuotaAuthority::NothingRanUnder(const std::string& organisation,
                                     Time now) const {
  const auto removed_at = this->removed.find(organisation);
  const bool was_removed = removed_at != this->removed.end() &&
                           now < removed_at->second + this->CreditPast();
  return now >= this->term_began + this->CreditPast() && !was_removed &&
         !this->committed.contains(organisation);
}

void QuotaAuthority::SetLimits(const QuotaLimits& limits, Time now) {
  std::erase_if(this->removed, [this, now](const auto& entry) {
    return now >= entry.second + this->CreditPast();
  });
  for (const auto& [organisation, bucket] : this->buckets) {
    if (!limits.contains(organisation)) {
      this->removed[organisation] = now;
    }
  }
  std::erase_if(this->buckets, [&limits](const auto& entry) {
    return !limits.contains(entry.first);
  });
  for (const auto& [organisation, limit] : limits) {
    const auto [found, added] = this->buckets.try_emplace(organisation);
    Bucket& bucket = found->second;
    if (!added && bucket.limit == limit) {
      continue;
    }
    const QuotaFloat bounds = FloatOf(limit, this->tolerance);
    if (!added) {
      this->Fill(bucket, now);
      bucket.tokens += std::max(0.0, bounds.standing - bucket.bounds.standing);
      bucket.excess = std::max(0.0, bucket.held - bounds.standing);
      bucket.excess_until = now + this->tolerance.window;
    }
    bucket.limit = limit;
    bucket.bounds = bounds;
    if (added) {
      this->Start(organisation, bucket, now);
      if (this->NothingRanUnder(organisation, now)) {
        bucket.tokens = bounds.standing;
      }
    }
    this->Fill(bucket, now);
  }
}

void QuotaAuthority::Fill(Bucket& bucket, Time now) const {
  const double seconds = std::max(0.0, ToSeconds(now - bucket.filled));
  const double bound = this->Settled(now)
                           ? bucket.bounds.standing
                           : std::min(bucket.bounds.standing,
                                      bucket.adopted + bucket.taken_over +
                                          bucket.bounds.settling);
  const double room = std::max(0.0, bound - bucket.held);
  bucket.tokens = std::min(
      room, bucket.tokens + seconds * bucket.limit.requests_per_second);
  bucket.filled = std::max(bucket.filled, now);
  if (now >= bucket.excess_until) {
    bucket.excess = 0;
  }
}

CreditReply QuotaAuthority::Take(const ReportCredit& report, Time now) {
  const auto [entry, added] = this->entries.try_emplace(report.entry);
  if (!added && entry->second.incarnation != report.incarnation) {
    this->WriteOff(report.entry, now);
  }
  entry->second = {report.incarnation, now};
  CreditReply reply;
  for (const CreditReport& one : report.organisations) {
    const auto bucket = this->buckets.find(one.organisation);
    if (bucket != this->buckets.end()) {
      reply.grants.push_back(
          this->TakeOne(bucket->second, report.entry, one, now));
    }
  }
  return reply;
}

CreditGrant QuotaAuthority::TakeOne(Bucket& bucket, const std::string& entry,
                                    const CreditReport& report, Time now) {
  this->Fill(bucket, now);
  const auto found = bucket.holders.find(entry);
  if (found == bucket.holders.end()) {
    this->Adopt(bucket, entry, report, now);
  } else {
    Apply(bucket, found->second, report);
  }
  this->Fill(bucket, now);
  Holder& holder = bucket.holders.at(entry);
  const std::uint64_t before = holder.last.allowed;
  this->NoteLimit(bucket, holder, report);
  Grant(bucket, holder, report);
  // Credit that a reserve holds back is there once a lower one is committed.
  holder.starved =
      report.needed > 0 && holder.last.allowed == before && bucket.tokens < 1;
  CreditGrant grant;
  grant.organisation = report.organisation;
  grant.allowed = holder.last.allowed;
  grant.report_within_ms = ReportWithinMs(bucket);
  grant.wait_ms = holder.starved ? WaitMs(bucket) : 0;
  grant.limit_rate = holder.granted_for.requests_per_second;
  grant.limit_burst = holder.granted_for.burst;
  return grant;
}

/// While the bucket is full, what was used and not reported does not fill
/// again: for half of the time in which the rate brings the reserve, that does
/// no harm.
std::uint32_t QuotaAuthority::ReportWithinMs(const Bucket& bucket) {
  constexpr double kShareOfReserve = 0.5;
  const std::chrono::duration<double> time(
      kShareOfReserve * bucket.bounds.reserve /
      std::max(bucket.limit.requests_per_second, kMinRate));
  const std::chrono::duration<double> bounded =
      std::clamp<std::chrono::duration<double>>(time, kMinReportTime,
                                                kMaxReportTime);
  return static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(bounded).count());
}

std::uint32_t QuotaAuthority::WaitMs(const Bucket& bucket) {
  const auto starved = std::ranges::count_if(
      bucket.holders, [](const auto& entry) { return entry.second.starved; });
  const std::chrono::duration<double> wait(
      static_cast<double>(starved) /
      std::max(bucket.limit.requests_per_second, kMinRate));
  const std::chrono::duration<double> bounded =
      std::clamp<std::chrono::duration<double>>(wait, kMinWait, kMaxWait);
  return static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(bounded).count());
}

/// Credit from before this term is held as well; once all such credit has
/// ended, none can be left.
void QuotaAuthority::Adopt(Bucket& bucket, const std::string& entry,
                           const CreditReport& report, Time now) {
  Holder& holder = bucket.holders[entry];
  holder.last = report;
  if (this->Settled(now)) {
    holder.last.allowed = static_cast<std::uint64_t>(
        static_cast<std::int64_t>(report.returned) + report.used);
    return;
  }
  const auto credit = static_cast<double>(report.Credit());
  bucket.held += credit;
  bucket.adopted += credit;
}

/// What was used leaves room that fills at the rate; what was given up is there
/// again at once. A report may be older than the last grant, which it then
/// lacks. It may also have credit that this bucket never granted, but another
/// leader or the bucket of a limit that was removed and set again: that does
/// not come back to this bucket.
void QuotaAuthority::Apply(Bucket& bucket, Holder& holder,
                           const CreditReport& report) {
  if (report.returned < holder.last.returned) {
    return;  // An older report that was delayed.
  }
  const std::uint64_t allowed = std::max(holder.last.allowed, report.allowed);
  const auto foreign = static_cast<double>(allowed - holder.last.allowed);
  const auto returned = static_cast<double>(report.returned) -
                        static_cast<double>(holder.last.returned);
  const auto before = static_cast<double>(holder.last.Credit());
  holder.last = report;
  holder.last.allowed = allowed;
  bucket.held += static_cast<double>(holder.last.Credit()) - before;
  const double given_up = std::max(0.0, returned - foreign);
  const double withheld = std::min(given_up, bucket.excess);
  bucket.excess -= withheld;
  bucket.tokens += given_up - withheld;
}

void QuotaAuthority::NoteLimit(const Bucket& bucket, Holder& holder,
                               const CreditReport& report) const {
  const bool received_all = report.allowed >= holder.last.allowed;
  const bool is_higher = FloatOf(holder.granted_for, this->tolerance).standing <
                         bucket.bounds.standing;
  if (received_all || is_higher) {
    holder.granted_for = bucket.limit;
  }
}

void QuotaAuthority::Grant(Bucket& bucket, Holder& holder,
                           const CreditReport& report) {
  const auto share_of = [](double tokens) {
    return std::ceil(std::floor(std::max(0.0, tokens)) * kMaxShare);
  };
  const auto needed = static_cast<double>(report.needed);
  const auto wanted = static_cast<double>(report.wanted);
  const double above_floor = bucket.tokens - bucket.floor;
  const double at_once = std::min(share_of(above_floor), needed);
  const double spare =
      bucket.tokens - at_once - std::max(bucket.floor, bucket.bounds.reserve);
  const double granted = at_once + std::min(share_of(spare), wanted);
  bucket.tokens -= granted;
  bucket.held += granted;
  holder.last.allowed += static_cast<std::uint64_t>(granted);
}

std::optional<std::uint32_t> QuotaAuthority::NextReserve(const Bucket& bucket,
                                                         bool may_raise) const {
  const double wanted =
      std::floor(std::min(std::max(0.0, bucket.tokens) * kReservedShare,
                          kMaxShareOfKeptBack * bucket.bounds.reserve));
  const double above_floor = bucket.tokens - bucket.floor;
  const bool is_low =
      above_floor < std::max(kLowRequests, kLowShare * bucket.tokens);
  const double gain = wanted - bucket.floor;
  const bool gains_enough =
      gain >= std::max(kRaiseRequests, kRaiseShare * bucket.bounds.standing);
  if ((is_low && wanted < bucket.floor) || (may_raise && gains_enough)) {
    return static_cast<std::uint32_t>(wanted);
  }
  return std::nullopt;
}

/// A lower reserve is in force once it is committed, a higher one from when it
/// is proposed: whichever of the two a later leader finds, the bucket holds it.
std::optional<CreditReserves> QuotaAuthority::ProposeReserves(Time now) {
  // Without limits it is not known which reserves to remove: the configuration
  // may not have been loaded yet.
  if (this->proposed.has_value() || this->buckets.empty()) {
    return std::nullopt;
  }
  const bool may_raise = now >= this->next_raise;
  CreditReserves changed;
  for (auto& [organisation, bucket] : this->buckets) {
    this->Fill(bucket, now);
    const auto next = this->NextReserve(bucket, may_raise);
    if (next.has_value()) {
      changed[organisation] = *next;
      bucket.floor = std::max<double>(bucket.floor, *next);
    }
  }
  for (const auto& [organisation, amount] : this->committed) {
    if (!this->buckets.contains(organisation)) {
      changed[organisation] = 0;
    }
  }
  if (changed.empty()) {
    return std::nullopt;
  }
  if (may_raise) {
    this->next_raise = now + kRaiseInterval;
  }
  this->proposed = changed;
  return changed;
}

/// If it is not known whether the proposal was committed, every reserve stays
/// at the higher of both amounts.
void QuotaAuthority::ReservesProposed(bool is_committed) {
  const CreditReserves changed =
      std::exchange(this->proposed, std::nullopt).value_or(CreditReserves{});
  if (!is_committed) {
    return;
  }
  for (const auto& [organisation, amount] : changed) {
    const auto bucket = this->buckets.find(organisation);
    if (bucket != this->buckets.end()) {
      bucket->second.floor = amount;
    }
    if (amount == 0) {
      this->committed.erase(organisation);
    } else {
      this->committed[organisation] = amount;
    }
  }
}

/// Credit that can no longer be reported counts as used.
void QuotaAuthority::WriteOff(const std::string& entry, Time now) {
  for (auto& [organisation, bucket] : this->buckets) {
    const auto holder = bucket.holders.find(entry);
    if (holder != bucket.holders.end()) {
      this->Fill(bucket, now);
      bucket.held -= static_cast<double>(holder->second.last.Credit());
      bucket.holders.erase(holder);
    }
  }
}

void QuotaAuthority::ForgetSilent(Time now) {
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    if (now - entry->second.heard <= kCreditValidity + kSilenceMargin) {
      ++entry;
      continue;
    }
    this->WriteOff(entry->first, now);
    entry = this->entries.erase(entry);
  }
}

}  // namespace papayarack::quotas
