#include "origins/softwarehistory.h"

namespace papayarack::origins {
namespace {

/// A version that was delisted longer ago is forgotten.
constexpr std::chrono::minutes kRetention{30};

}  // namespace

void SoftwareHistory::ListRead(Time read_after, Time now) {
  if (this->last_read == Time{} || read_after - this->last_read > kMaxListGap) {
    this->watched_since = now;
  }
  this->last_read = read_after;
}

void SoftwareHistory::SetListed(const std::set<ReplicaSoftware>& listed,
                                Time now) {
  for (auto& [software, version] : this->known) {
    if (listed.count(software) == 0 && !version.delisted.has_value()) {
      version.delisted = now;
    }
  }
  for (const ReplicaSoftware& software : listed) {
    this->known[software].delisted.reset();
  }
  std::erase_if(this->known, [now](const auto& entry) {
    const std::optional<Time>& delisted = entry.second.delisted;
    return delisted.has_value() && now - *delisted > kRetention;
  });
}

ReplicaSoftware SoftwareHistory::SoleSince(const std::string& service,
                                           Duration window, Time now) const {
  const bool watched = this->last_read != Time{} &&
                       now - this->last_read <= kMaxListGap &&
                       now - this->watched_since >= window;
  if (!watched || window > kRetention) {
    return {};
  }
  ReplicaSoftware sole;
  for (const auto& [software, version] : this->known) {
    const bool counts =
        software.service == service &&
        (!version.delisted.has_value() || now - *version.delisted <= window);
    if (counts && !sole.service.empty()) {
      return {};
    }
    sole = counts ? software : sole;
  }
  return sole;
}

}  // namespace papayarack::origins
