#include "documents/documentstore.h"

#include <algorithm>

#include "global/hash.h"

namespace papayarack::documents {

SubmitOutcome DocumentStore::Submit(std::string_view service,
                                    std::uint64_t version,
                                    std::string_view text) {
  SubmitOutcome outcome;
  const std::string hash = Sha256Hex(text);
  auto found = this->services.find(service);
  const std::uint64_t expected =
      found == this->services.end() ? 1 : found->second.current.version + 1;
  if (version != expected) {
    outcome.code = static_cast<int>(ResultCode::kConflict);
    if (found == this->services.end()) {
      return outcome;
    }
    outcome.in_force = found->second.current;
    const auto past =
        std::ranges::find(found->second.past, version, &PastVersion::version);
    // A resend after a lost answer gets the first answer, even if a later
    // version is in force by now.
    if (past != found->second.past.end() && past->content_hash == hash) {
      outcome.code = static_cast<int>(ResultCode::kOk);
      outcome.revision = past->revision;
    }
    return outcome;
  }
  if (found == this->services.end()) {
    found = this->services.emplace(service, Service{}).first;
  }
  Service& entry = found->second;
  entry.current = {std::string(service), version, ++this->last_revision,
                   std::string(text)};
  entry.past.push_back({version, this->last_revision, hash});
  if (entry.past.size() > kRememberedVersions) {
    entry.past.erase(entry.past.begin());
  }
  outcome.revision = this->last_revision;
  outcome.in_force = entry.current;
  return outcome;
}

const AcceptedDocument* DocumentStore::Find(std::string_view service) const {
  const auto found = this->services.find(service);
  return found != this->services.end() ? &found->second.current : nullptr;
}

std::vector<AcceptedDocument> DocumentStore::ChangesSince(
    Revision since) const {
  std::vector<AcceptedDocument> changes;
  for (const auto& [name, service] : this->services) {
    if (service.current.revision > since) {
      changes.push_back(service.current);
    }
  }
  std::ranges::sort(changes, {}, &AcceptedDocument::revision);
  return changes;
}

std::vector<std::string> DocumentStore::Services() const {
  std::vector<std::string> names;
  for (const auto& [name, service] : this->services) {
    names.push_back(name);
  }
  return names;
}

std::string DocumentStore::Save() const {
  msgpack::sbuffer buffer;
  msgpack::packer packer(buffer);
  packer.pack_array(2);
  packer.pack(this->last_revision);
  packer.pack_map(static_cast<std::uint32_t>(this->services.size()));
  for (const auto& [name, service] : this->services) {
    packer.pack(name);
    packer.pack(service);
  }
  return {buffer.data(), buffer.size()};
}

void DocumentStore::Load(std::string_view bytes) {
  using Saved = msgpack::type::tuple<Revision, std::map<std::string, Service>>;
  const auto saved = DecodeMessage<Saved>(bytes);
  this->last_revision = saved.get<0>();
  this->services.clear();
  for (const auto& [name, service] : saved.get<1>()) {
    this->services.emplace(name, service);
  }
}

}  // namespace papayarack::documents
