#ifndef PAPAYARACK_ORGANISATIONS_AUTHENTICATION_H_
#define PAPAYARACK_ORGANISATIONS_AUTHENTICATION_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "organisations/keytrust.h"
#include "routes/routetable.h"

namespace papayarack::organisations {

/// The caller may send the request.
struct Authenticated {
  /// Null for an anonymous caller. Points into the route table.
  const routes::Organisation* organisation = nullptr;
};
/// The request has no key, or one that no organisation holds.
struct KeyRejected {
  bool missing = false;
};
/// Keys may have been added or removed since the table was confirmed.
struct KeysOutdated {};
using Authentication = std::variant<Authenticated, KeyRejected, KeysOutdated>;

/// Decides who sends a request with `key`, which is empty if the request has
/// none. An anonymous caller needs no key, so its answer does not depend on
/// `trust`. Thread safety: any thread.
Authentication Authenticate(const routes::RouteTable& table,
                            bool allows_anonymous, std::string_view key,
                            KeyTrust trust);

/// Whose batches a caller may know of, besides those that were submitted
/// without a key.
struct BatchCaller {
  std::string organisation;  ///< Empty: none.
  /// Where it may not know of the batch: it is told that its key is rejected,
  /// not that there is no such batch.
  bool rejected = false;
};

/// Identifies the caller of a read or an end of a batch on `host`; nullopt
/// where keys are outdated. A batch keeps its owner when routes change, so
/// routes do not decide whose key is read. Thread safety: any thread.
std::optional<BatchCaller> IdentifyBatchCaller(const routes::RouteTable& table,
                                               std::string_view host,
                                               std::string_view key,
                                               KeyTrust trust);

}  // namespace papayarack::organisations

#endif  // PAPAYARACK_ORGANISATIONS_AUTHENTICATION_H_
