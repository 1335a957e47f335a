#include "coordination/acknowledgementqueue.h"

#include <algorithm>
#include <utility>

#include "global/transfertime.h"

namespace papayarack::coordination {

void AcknowledgementQueue::Clear(Time now) {
  this->entries.clear();
  this->newest = 0;
  this->leads_since = now;
}

void AcknowledgementQueue::OnReport(const std::string& entry,
                                    std::uint64_t version, Time now) {
  this->entries[entry] = {version, now};
}

void AcknowledgementQueue::Add(transport::StreamId stream,
                               std::uint64_t version, std::size_t bytes,
                               Time now) {
  if (version > this->newest) {
    this->newest = version;
    this->newest_until = now + kMaxDelay + TransferTime(bytes);
  }
  this->waiting.push_back({stream, version, now, this->newest_until});
}

AcknowledgementQueue::Acknowledgement AcknowledgementQueue::MakeAcknowledgement(
    const Pending& pending, Time now) const {
  Acknowledgement result{
      pending.stream, pending.version, now - pending.since, 0, {}};
  for (const auto& [name, report] : this->entries) {
    if (report.version < pending.version && result.lagging++ == 0) {
      result.first_lagging = name;
    }
  }
  return result;
}

std::vector<AcknowledgementQueue::Acknowledgement>
AcknowledgementQueue::TakeDue(Time now) {
  std::vector<Acknowledgement> result;
  if (this->waiting.empty()) {
    return result;
  }
  std::erase_if(this->entries, [now](const auto& entry) {
    return now - entry.second.heard > kReportTimeout;
  });
  // Entries that have not reported to this leader yet are unknown to it.
  const bool all_reported = now - this->leads_since >= kReportTimeout;
  std::erase_if(this->waiting, [&](const Pending& pending) {
    const Acknowledgement one = this->MakeAcknowledgement(pending, now);
    const bool due = now >= pending.until || (all_reported && one.lagging == 0);
    if (due) {
      result.push_back(one);
    }
    return due;
  });
  return result;
}

std::vector<AcknowledgementQueue::Acknowledgement>
AcknowledgementQueue::TakeAll(Time now) {
  std::vector<Acknowledgement> result;
  for (const Pending& pending : std::exchange(this->waiting, {})) {
    result.push_back(this->MakeAcknowledgement(pending, now));
  }
  return result;
}

}  // namespace papayarack::coordination
