#include "quotas/creditbook.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace papayarack::quotas {
namespace {

/// Credit is held for this time of an organisation's requests at this entry:
/// longer than an election.
constexpr double kHeldSeconds = 1.5;
/// More is asked for when less than this share of it is left.
constexpr double kLowShare = 0.5;
/// Credit beyond what is wanted by more than this is given up.
constexpr std::int64_t kSurplus = 1;
/// Time over which arrivals are averaged.
constexpr double kDemandSeconds = 1.5;
/// Time over which the demand of a peak is remembered: a wave's trough.
constexpr double kPeakSeconds = 6;
/// Below this many requests a second nothing is held.
constexpr double kIdleDemand = 0.05;
/// Reports follow each other after this time at least; those that only keep the
/// credit from ending, or ask for it before any is missing, after a longer one.
constexpr std::chrono::milliseconds kMinInterval{15};
constexpr std::chrono::milliseconds kLowInterval{100};
/// Credit in advance that was not granted is asked for again after this time.
constexpr std::chrono::milliseconds kTopUpPause{500};
constexpr std::chrono::milliseconds kKeepInterval{1000};
constexpr std::chrono::milliseconds kRetryInterval{100};
/// Callers that are refused are told to return within this time. Those that
/// come after so many others learn then whether there is credit.
constexpr std::chrono::milliseconds kMaxTurn{1500};

}  // namespace

CreditBook::CreditBook(std::string entry, std::uint64_t incarnation,
                       const QuotaTolerance& tolerance)
    : entry(std::move(entry)), incarnation(incarnation), tolerance(tolerance) {}

void CreditBook::SetLimits(const QuotaLimits& limits, Time now) {
  for (auto& [organisation, account] : this->accounts) {
    if (!limits.contains(organisation)) {
      this->RemoveLimit(organisation, account);
    }
  }
  std::erase_if(this->accounts, [&limits](const auto& entry) {
    return !limits.contains(entry.first);
  });
  for (const auto& [organisation, limit] : limits) {
    const auto [found, added] = this->accounts.try_emplace(organisation);
    Account& account = found->second;
    if (added) {
      this->AddLimit(organisation, account, now);
    } else if (account.limit != limit) {
      const double kept = FloatOf(limit, this->tolerance).standing /
                          FloatOf(account.limit, this->tolerance).standing;
      const auto credit = static_cast<double>(account.report.Credit());
      if (kept < 1) {
        this->GiveUp(account,
                     static_cast<std::int64_t>(std::ceil(credit * (1 - kept))));
      }
      account.none_before = {};
      account.kept_rest = 0;
      account.limit_set = now;
    }
    account.limit = limit;
  }
  if (this->removed.size() > kMaxRemoved) {
    // The leader starts counting anew for a new incarnation.
    ++this->incarnation;
    this->removed.clear();
  }
}

void CreditBook::RemoveLimit(const std::string& organisation,
                             Account& account) {
  this->GiveUp(account, account.report.Credit());
  this->removed[organisation] = account.report;
}

void CreditBook::AddLimit(const std::string& organisation, Account& account,
                          Time now) {
  const auto counts = this->removed.extract(organisation);
  if (!counts.empty()) {
    account.report = counts.mapped();
  }
  account.report.organisation = organisation;
  account.limited_since = now;
  account.limit_set = now;
}

double CreditBook::Faded(double demand, double seconds, const Account& account,
                         Time now) {
  const double since = std::max(0.0, ToSeconds(now - account.counted));
  return demand * std::exp(-since / seconds);
}

double CreditBook::PeakDemandOf(const Account& account, Time now) {
  return Faded(account.peak_demand, kPeakSeconds, account, now);
}

void CreditBook::CountArrival(Account& account, Time now) {
  account.peak_demand = PeakDemandOf(account, now);
  account.demand =
      Faded(account.demand, kDemandSeconds, account, now) + 1 / kDemandSeconds;
  account.peak_demand = std::max(account.peak_demand, account.demand);
  account.counted = now;
}

std::int64_t CreditBook::TargetOf(const Account& account, Time now) {
  const double demand = PeakDemandOf(account, now);
  return demand < kIdleDemand
             ? 0
             : 1 + static_cast<std::int64_t>(std::ceil(demand * kHeldSeconds));
}

bool CreditBook::WantsMore(const Account& account, Time now) {
  return now >= std::max(account.none_before, account.next_top_up) &&
         static_cast<double>(account.report.Credit()) <
             kLowShare * static_cast<double>(TargetOf(account, now));
}

bool CreditBook::HasNews(const Account& account) {
  return account.report.used != account.last_sent.used ||
         account.report.returned != account.last_sent.returned;
}

void CreditBook::GiveUp(Account& account, std::int64_t credit) const {
  account.report.returned += static_cast<std::uint64_t>(
      std::clamp<std::int64_t>(credit, 0, account.report.Credit()));
}

/// What is left over is carried on, so that the sum over all grants and entries
/// never exceeds the share.
std::int64_t CreditBook::KeptOf(Account& account, const CreditGrant& grant,
                                std::int64_t granted) const {
  const bool is_limit_known = grant.limit_rate > 0;
  const QuotaLimit limit{grant.limit_rate, grant.limit_burst};
  const double share = FloatOf(account.limit, this->tolerance).standing /
                       FloatOf(limit, this->tolerance).standing;
  if (!is_limit_known || share >= 1 || granted <= 0) {
    return granted;
  }
  const double kept = account.kept_rest + share * static_cast<double>(granted);
  account.kept_rest = kept - std::floor(kept);
  return static_cast<std::int64_t>(std::floor(kept));
}

void CreditBook::EndCredit(Time now) {
  this->ended = now;
  for (auto& [organisation, account] : this->accounts) {
    this->GiveUp(account, account.report.Credit());
  }
}

Admission CreditBook::Admit(const std::string& organisation, Time now) {
  const auto found = this->accounts.find(organisation);
  if (found == this->accounts.end()) {
    return Admitted{};
  }
  CountArrival(found->second, now);
  return this->AdmitWaiting(organisation, now);
}

Admission CreditBook::AdmitWaiting(const std::string& organisation, Time now) {
  const auto found = this->accounts.find(organisation);
  if (found == this->accounts.end()) {
    return Admitted{};
  }
  Account& account = found->second;
  if (!this->Valid(now)) {
    this->EndCredit(now);
  }
  if (account.report.Credit() > 0) {
    ++account.report.used;
    return Admitted{};
  }
  if (now < account.none_before) {
    return OverLimit{NextTurn(account, now)};
  }
  ++account.unmet;
  return AwaitCredit{};
}

/// Credit that has ended since the request arrived must not come back, also if
/// the book holds valid credit again: the leader counts it as used. A request
/// from before there was a limit took none, and credit from before a change of
/// the limit may exceed the new one: the leader decides anew.
void CreditBook::GiveBack(const std::string& organisation, Time arrived,
                          Time now) {
  const auto found = this->accounts.find(organisation);
  if (found == this->accounts.end() || arrived <= found->second.limited_since) {
    return;
  }
  --found->second.report.used;
  if (!this->Valid(now) || arrived < this->ended ||
      arrived <= found->second.limit_set) {
    this->GiveUp(found->second, 1);
  }
}

std::chrono::milliseconds CreditBook::NextTurn(Account& account, Time now) {
  account.last_turn = std::max(account.last_turn + account.per_request,
                               std::max<Time>(account.none_before, now));
  const Time latest = now + kMaxTurn;
  account.last_turn = std::min<Time>(account.last_turn, latest);
  return std::chrono::ceil<std::chrono::milliseconds>(account.last_turn - now);
}

bool CreditBook::ReportDue(Time now) const {
  if (this->under_way || now < this->next_attempt) {
    return false;
  }
  const Duration since = now - this->sent;
  return std::ranges::any_of(this->accounts, [&](const auto& entry) {
    const Account& account = entry.second;
    const bool may_get = now >= account.none_before;
    const bool holds = account.report.Credit() > 0;
    const bool has_news = HasNews(account);
    return (account.unmet > 0 && may_get && since >= kMinInterval) ||
           (since >= kLowInterval && WantsMore(account, now)) ||
           (has_news && since >= account.report_within) ||
           ((holds || has_news) && since >= kKeepInterval);
  });
}

ReportCredit CreditBook::MakeReport(Time now) {
  if (!this->Valid(now)) {
    this->EndCredit(now);
  }
  ReportCredit message{this->entry, this->incarnation, {}};
  for (auto& [organisation, account] : this->accounts) {
    const std::int64_t target = TargetOf(account, now);
    const std::int64_t credit = account.report.Credit();
    if (credit > target + kSurplus) {
      this->GiveUp(account, credit - target);
    }
    const bool asks = account.unmet > 0 || WantsMore(account, now);
    account.report.needed = account.unmet;
    account.report.wanted =
        asks ? static_cast<std::uint32_t>(
                   std::max<std::int64_t>(0, target - credit))
             : 0;
    if (asks || credit > 0 || HasNews(account)) {
      message.organisations.push_back(account.report);
      account.last_sent = account.report;
    }
    account.unmet = 0;
  }
  this->sent = now;
  this->under_way = true;
  return message;
}

void CreditBook::Answered(const CreditReply& reply, Time now) {
  this->under_way = false;
  this->valid_since = this->sent;
  for (const CreditGrant& grant : reply.grants) {
    const auto found = this->accounts.find(grant.organisation);
    if (found == this->accounts.end()) {
      continue;
    }
    Account& account = found->second;
    const std::int64_t credit_before = account.report.Credit();
    const auto spent = account.report.used +
                       static_cast<std::int64_t>(account.report.returned);
    account.report.allowed =
        std::max(grant.allowed,
                 static_cast<std::uint64_t>(std::max<std::int64_t>(spent, 0)));
    const std::int64_t granted = account.report.Credit() - credit_before;
    // The answer to a report from before a change is given up: the limit may
    // have been removed and set again, so the leader need not count its credit.
    const bool is_current = this->sent > account.limit_set;
    const std::int64_t kept =
        is_current ? this->KeptOf(account, grant, granted) : 0;
    this->GiveUp(account, granted - kept);
    account.report_within = std::chrono::milliseconds(grant.report_within_ms);
    const bool got_less = grant.allowed < account.last_sent.allowed +
                                              account.last_sent.needed +
                                              account.last_sent.wanted;
    if (got_less) {
      account.next_top_up = now + kTopUpPause;
    }
    if (grant.wait_ms > 0) {
      account.per_request = std::chrono::milliseconds(grant.wait_ms);
      account.none_before = now + account.per_request;
    }
  }
}

void CreditBook::Unanswered(Time now) {
  this->under_way = false;
  this->next_attempt = now + kRetryInterval;
  for (auto& [organisation, account] : this->accounts) {
    account.last_sent = {};  // Sent again as a whole.
  }
}

}  // namespace papayarack::quotas
