#ifndef PAPAYARACK_ROUTES_CONFIGURATIONDIFFERENCE_H_
#define PAPAYARACK_ROUTES_CONFIGURATIONDIFFERENCE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "routes/fleetconfiguration.h"

namespace papayarack::routes {

enum class ChangeKind { kAdded, kRemoved, kChanged };

/// The name of a change in output for programs. Thread safety: any thread.
std::string_view NameOf(ChangeKind kind);

/// A part of a configuration that differs. Holds names, never a key.
struct Difference {
  ChangeKind kind = ChangeKind::kChanged;
  std::string place;                ///< Such as "route NAME".
  std::vector<std::string> fields;  ///< What changed; empty unless kChanged.
};

/// How `to` differs from `from`, but for the version: parts are compared by
/// name, routes of one name by host and prefix too. Their order makes no
/// difference. Precondition: Validate() accepts both. Thread safety: any
/// thread.
std::vector<Difference> DifferencesOf(const FleetConfiguration& from,
                                      const FleetConfiguration& to);

/// A key that no longer identifies the organisation that it identified. The key
/// is told by its place, never by its text.
struct RemovedKey {
  std::string organisation;  ///< That had it.
  std::size_t position = 0;  ///< In the keys of the organisation, from zero.
  std::string moved_to;  ///< The organisation that has it now; empty if none.
};

/// Keys of `from` whose callers are rejected, or belong to another
/// organisation, under `to`. In order of organisations and keys of `from`.
/// Empty if `to` asks for no keys. Precondition: Validate() accepts both.
/// Thread safety: any thread.
std::vector<RemovedKey> RemovedKeysOf(const FleetConfiguration& from,
                                      const FleetConfiguration& to);

}  // namespace papayarack::routes

#endif  // PAPAYARACK_ROUTES_CONFIGURATIONDIFFERENCE_H_
