#include "coordination/acknowledgementhold.h"

#include <algorithm>
#include <utility>

#include "global/transfertime.h"

namespace papayarack::coordination {

void AcknowledgementHold::Clear(Time now) {
  this->entries.clear();
  this->newest = 0;
  this->leads_since = now;
}

void AcknowledgementHold::Heard(const std::string& entry, std::uint64_t version,
                                Time now) {
  this->entries[entry] = {version, now};
}

void AcknowledgementHold::Hold(transport::StreamId stream,
                               std::uint64_t version, std::size_t bytes,
                               Time now) {
  if (version > this->newest) {
    this->newest = version;
    this->newest_until = now + kLongest + TransferTime(bytes);
  }
  this->waiting.push_back({stream, version, now, this->newest_until});
}

AcknowledgementHold::Released AcknowledgementHold::MakeReleased(
    const Held& held, Time now) const {
  Released released{held.stream, held.version, now - held.since, 0, {}};
  for (const auto& [name, report] : this->entries) {
    if (report.version < held.version && released.lagging++ == 0) {
      released.first_lagging = name;
    }
  }
  return released;
}

std::vector<AcknowledgementHold::Released> AcknowledgementHold::Release(
    Time now) {
  std::vector<Released> released;
  if (this->waiting.empty()) {
    return released;
  }
  std::erase_if(this->entries, [now](const auto& entry) {
    return now - entry.second.heard > kInTouch;
  });
  // Entries that have not reported to this leader yet are not known to it.
  const bool all_reported = now - this->leads_since >= kInTouch;
  std::erase_if(this->waiting, [&](const Held& held) {
    const Released one = this->MakeReleased(held, now);
    const bool due = now >= held.until || (all_reported && one.lagging == 0);
    if (due) {
      released.push_back(one);
    }
    return due;
  });
  return released;
}

std::vector<AcknowledgementHold::Released> AcknowledgementHold::ReleaseAll(
    Time now) {
  std::vector<Released> released;
  for (const Held& held : std::exchange(this->waiting, {})) {
    released.push_back(this->MakeReleased(held, now));
  }
  return released;
}

}  // namespace papayarack::coordination
