#include "origins/originstore.h"

#include <algorithm>

namespace papayarack::origins {

bool OriginStore::Record(const RecordOrigin& record, Time now) {
  const bool usable = !record.request.empty() &&
                      record.request.size() <= kMaxNameBytes &&
                      record.software.service.size() <= kMaxNameBytes &&
                      record.software.version.size() <= kMaxNameBytes;
  if (!usable) {
    return false;
  }
  this->Expire(now);
  const Time expires =
      now +
      std::min<Duration>(std::chrono::milliseconds(record.keep_ms), kMaxKeep);
  const auto [place, added] =
      this->records.try_emplace(record.request, Entry{record.software, {}});
  if (!added && place->second.software != record.software) {
    place->second.software = {};
  }
  this->SetExpiry(*place, std::max(place->second.expires, expires));
  if (this->records.size() > kMaxRecords) {
    this->DropFirst();
    return false;
  }
  return true;
}

void OriginStore::SetExpiry(Records::value_type& record, Time expires) {
  this->by_expiry.erase({record.second.expires, record.first});
  record.second.expires = expires;
  this->by_expiry.emplace(expires, record.first);
}

void OriginStore::DropFirst() {
  const auto first = this->by_expiry.begin();
  this->records.erase(first->second);
  this->by_expiry.erase(first);
}

FoundOrigin OriginStore::Find(std::string_view request, Time now) const {
  const auto found = this->records.find(request);
  const bool valid =
      found != this->records.end() && found->second.expires > now;
  return valid ? FoundOrigin{found->second.software, true} : FoundOrigin{};
}

void OriginStore::Expire(Time now) {
  while (!this->by_expiry.empty() && this->by_expiry.begin()->first <= now) {
    this->DropFirst();
  }
}

}  // namespace papayarack::origins
