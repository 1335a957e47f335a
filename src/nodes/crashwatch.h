#ifndef PAPAYARACK_NODES_CRASHWATCH_H_
#define PAPAYARACK_NODES_CRASHWATCH_H_

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

/// An entry's part in stopping requests that crash the replicas that run them:
/// sees which broken runs were crashes, tells the leader, and says which
/// requests are not to be run. Thread safety: none, the loop's thread.
class CrashWatch {
 public:
  /// Answers within a round trip, or the replica cannot be told from one that
  /// is cut off, which is no evidence.
  static constexpr std::chrono::milliseconds kConnectTime{150};
  /// By a leader's silence for longer this entry goes by its own reports: it
  /// answers at least once a second.
  static constexpr std::chrono::milliseconds kLeaderSilent{1500};

  /// Precondition: `watch` outlives this.
  CrashWatch(asio::io_context& context, coordination::FleetWatch& watch);
  ~CrashWatch();
  CrashWatch(const CrashWatch&) = delete;
  CrashWatch& operator=(const CrashWatch&) = delete;

  static quarantine::Fingerprint Identify(const http::HttpRequest& request);
  /// Whether the request is not to be run.
  bool Quarantined(const quarantine::Fingerprint& request) const;
  /// The connection of a run broke before its end. Counts only if the replica's
  /// port then refuses connections: a reset, a spoiled answer or a cut say
  /// nothing of the request.
  void Broke(const quarantine::Fingerprint& request, std::string_view id,
             const placement::EngineStart& engine);
  /// A replica answered it to the end, whatever the answer.
  void Survived(const quarantine::Fingerprint& request);

 private:
  struct Probe;
  void Refused(const Probe& probe);

  asio::io_context& context;
  coordination::FleetWatch& watch;
  quarantine::RecentSurvivals survivals;
  quarantine::CrashTracker own;  ///< Of this entry's reports alone.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_CRASHWATCH_H_
