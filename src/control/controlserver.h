#ifndef PAPAYARACK_CONTROL_CONTROLSERVER_H_
#define PAPAYARACK_CONTROL_CONTROLSERVER_H_

#include <memory>
#include <nlohmann/json.hpp>

#include "global/metrics.h"
#include "global/settings.h"

namespace papayarack::control {

/// A control member: peer I/O, deciding, writing, snapshot fetching and the
/// platform list, each on a thread of its own. Thread safety: any thread.
class ControlServer {
 public:
  /// Recovers and begins. Precondition: the data folder is formatted.
  /// Throws ResultError(kStorageDamaged, kBadInput, kConflict).
  ControlServer(const Settings& settings, Metrics& metrics);
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  /// Hands leadership over and refuses new requests; what waits is still
  /// answered.
  void BeginLeave();
  nlohmann::json Dump() const;
  /// True while the member is in a group with a known leader and its storage
  /// works.
  bool Healthy() const;
  std::uint16_t port() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

/// Formats a data folder for a first member of a cluster, or with `join` for a
/// new member of a running one. Throws ResultError(kConflict) when the folder
/// is formatted already.
void FormatDataFolder(const Settings& settings, std::uint64_t member,
                      bool join);

/// The member id of a formatted folder, or 0.
std::uint64_t FormattedMember(const std::string& data_folder);

}  // namespace papayarack::control

#endif  // PAPAYARACK_CONTROL_CONTROLSERVER_H_
