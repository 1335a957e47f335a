#include "coordination/acknowledgementhold.h"

#include <algorithm>
#include <utility>

#include "global/linkpace.h"

namespace papayarack::coordination {

void AcknowledgementHold::Clear(Time now) {
  this->entries.clear();
  this->leads_since = now;
}

void AcknowledgementHold::Heard(const std::string& entry, std::uint64_t version,
                                Time now) {
  this->entries[entry] = {version, now};
}

void AcknowledgementHold::Hold(transport::StreamId stream,
                               std::uint64_t version, std::size_t bytes,
                               Time now) {
  this->waiting.push_back(
      {stream, version, now + kLongest + TimeToCarry(bytes)});
}

bool AcknowledgementHold::Obeyed(std::uint64_t version, Time now) const {
  // Entries that have not reported to this leader yet are not known to it.
  const bool all_reported = now - this->leads_since >= kInTouch;
  return all_reported &&
         std::ranges::all_of(this->entries, [&](const auto& entry) {
           return entry.second.version >= version;
         });
}

std::vector<transport::StreamId> AcknowledgementHold::Release(Time now) {
  std::vector<transport::StreamId> released;
  if (this->waiting.empty()) {
    return released;
  }
  std::erase_if(this->entries, [now](const auto& entry) {
    return now - entry.second.heard > kInTouch;
  });
  std::erase_if(this->waiting, [&](const Held& held) {
    const bool over = now >= held.until || this->Obeyed(held.version, now);
    if (over) {
      released.push_back(held.stream);
    }
    return over;
  });
  return released;
}

std::vector<transport::StreamId> AcknowledgementHold::ReleaseAll() {
  std::vector<transport::StreamId> released;
  for (const Held& held : std::exchange(this->waiting, {})) {
    released.push_back(held.stream);
  }
  return released;
}

}  // namespace papayarack::coordination
