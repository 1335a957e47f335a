#ifndef PAPAYARACK_CONTROL_CONTROLSERVER_H_
#define PAPAYARACK_CONTROL_CONTROLSERVER_H_

#include <memory>
#include <nlohmann/json.hpp>

#include "global/metrics.h"
#include "global/settings.h"

namespace papayarack::control {

/// A control member. Peer I/O, the event loop, log writing, snapshot fetching
/// and reading of the platform list have a thread each. Thread safety: any
/// thread.
class ControlServer {
 public:
  /// Recovers and starts. Precondition: the data folder is formatted. Throws
  /// ResultError(kStorageDamaged, kBadInput, kConflict).
  ControlServer(const Settings& settings, Metrics& metrics);
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  /// Transfers leadership and refuses new requests; waiting requests are still
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

/// Formats a data folder for an initial member of a cluster, or with `join` for
/// a new member of a running one. Throws ResultError(kConflict) if the folder
/// is already formatted.
void FormatDataFolder(const Settings& settings, std::uint64_t member,
                      bool join);

/// Returns the member id of a formatted folder, or 0.
std::uint64_t FormattedMember(const std::string& data_folder);

}  // namespace papayarack::control

#endif  // PAPAYARACK_CONTROL_CONTROLSERVER_H_
