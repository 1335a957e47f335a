#ifndef PAPAYARACK_NODES_CRASHDETECTOR_H_
#define PAPAYARACK_NODES_CRASHDETECTOR_H_

#include <array>
#include <asio.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "coordination/fleetwatch.h"
#include "http/httpserver.h"
#include "placement/enginestart.h"
#include "quarantine/crashtracker.h"
#include "quarantine/fingerprint.h"
#include "quarantine/recentsurvivals.h"

namespace papayarack::nodes {

/// An entry's part in quarantining requests that crash replicas: detects which
/// broken runs were crashes, reports them to the leader, and says which
/// requests must not run. Thread safety: none, the loop's thread.
class CrashDetector {
 public:
  /// When a replica's port is probed, after the run broke: a crashing replica
  /// may accept connections for a few milliseconds more.
  static constexpr std::array<std::chrono::milliseconds, 3> kProbeTimes = {
      std::chrono::milliseconds(0), std::chrono::milliseconds(40),
      std::chrono::milliseconds(150)};
  /// A probe must be answered within this time. Otherwise the replica may be
  /// unreachable rather than crashed, which is no evidence.
  static constexpr std::chrono::milliseconds kConnectTimeout{150};
  /// After a longer silence of the leader this entry uses its own reports: the
  /// leader answers at least once a second.
  static constexpr std::chrono::milliseconds kMaxLeaderSilence{1500};

  /// Precondition: `watch` outlives this.
  CrashDetector(asio::io_context& context, coordination::FleetWatch& watch);
  ~CrashDetector();
  CrashDetector(const CrashDetector&) = delete;
  CrashDetector& operator=(const CrashDetector&) = delete;

  static quarantine::Fingerprint Identify(const http::HttpRequest& request);
  /// Whether the request must not be run.
  bool Quarantined(const quarantine::Fingerprint& request) const;
  /// The connection of a run broke before its end. Counts as a crash only if
  /// the replica's port then refuses connections: a reset, a malformed answer
  /// or a lost link says nothing about the request.
  void ConnectionBroke(const quarantine::Fingerprint& request,
                       std::string_view id,
                       const placement::EngineStart& engine);
  /// A replica answered the request completely, and with success.
  void Survived(const quarantine::Fingerprint& request);

 private:
  struct Probe;
  void StartProbe(const std::shared_ptr<Probe>& probe);
  void Connect(const std::shared_ptr<Probe>& probe);
  void OnConnectionRefused(const Probe& probe);

  asio::io_context& context;
  coordination::FleetWatch& watch;
  quarantine::RecentSurvivals survivals;
  /// From this entry's reports only.
  quarantine::CrashTracker local_crash_tracker;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_CRASHDETECTOR_H_
