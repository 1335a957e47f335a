#include "organisations/authentication.h"

namespace papayarack::organisations {

Authentication Authenticate(const routes::RouteTable& table,
                            bool allows_anonymous, std::string_view key,
                            KeyTrust trust) {
  if (allows_anonymous || !table.configuration().requires_keys) {
    return Authenticated{};
  }
  if (trust == KeyTrust::kNone) {
    return KeysOutdated{};
  }
  const routes::Organisation* organisation = table.FindByApiKey(key);
  if (organisation != nullptr) {
    return Authenticated{organisation};
  }
  if (trust == KeyTrust::kKnownOnly && !key.empty()) {
    return KeysOutdated{};
  }
  return KeyRejected{key.empty()};
}

std::optional<BatchCaller> IdentifyBatchCaller(const routes::RouteTable& table,
                                               std::string_view host,
                                               std::string_view key,
                                               KeyTrust trust) {
  const bool may_be_anonymous =
      key.empty() && table.AllowsAnonymousBatches(host);
  const Authentication result =
      Authenticate(table, may_be_anonymous, key, trust);
  if (std::holds_alternative<KeysOutdated>(result)) {
    return std::nullopt;
  }
  const auto* caller = std::get_if<Authenticated>(&result);
  if (caller == nullptr) {
    return BatchCaller{{}, true};
  }
  const routes::Organisation* organisation = caller->organisation;
  return BatchCaller{organisation != nullptr ? organisation->name : "", false};
}

}  // namespace papayarack::organisations
