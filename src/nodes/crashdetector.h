#ifndef PAPAYARACK_NODES_CRASHDETECTOR_H_
#define PAPAYARACK_NODES_CRASHDETECTOR_H_

#include <array>
#include <asio.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/fleetwatch.h"
#include "placement/enginestart.h"
#include "quarantine/crashtracker.h"
#include "quarantine/recentsurvivals.h"
#include "quarantine/traits.h"

namespace papayarack::nodes {

/// A run whose connection ended before its answer did.
struct BrokenRun {
  std::string_view request;  ///< Its id.
  std::span<const quarantine::Trait> traits;
  placement::EngineStart engine;
  std::optional<Time> began;  ///< First byte of the answer's body, if it came.
};

/// A process's part in quarantining what crashes replicas: detects which broken
/// runs were crashes, reports them to the leader, and says which requests must
/// not run. Thread safety: none, the loop's thread.
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
  /// From the first run that broke at a replica until all of them are reported,
  /// together. They are probed at the same times, and one that is reported
  /// before the others would look like the only one that ran there.
  static constexpr std::chrono::milliseconds kGatherTime{20};
  /// After a longer silence of the leader this process uses its own reports:
  /// the leader answers at least once a second.
  static constexpr std::chrono::milliseconds kMaxLeaderSilence{1500};

  /// Precondition: `watch` outlives this.
  CrashDetector(asio::io_context& context, coordination::FleetWatch& watch);
  ~CrashDetector();
  CrashDetector(const CrashDetector&) = delete;
  CrashDetector& operator=(const CrashDetector&) = delete;

  /// Whether a run that began to answer at `began`, and whose answer goes on
  /// now, is a survival. `before` is when the byte before came: after a stall
  /// of this process, bytes come late that a replica sent before it crashed.
  static bool IsSurvival(Time began, Time before, Time now) {
    constexpr Duration kDelay = quarantine::CrashTracker::kCrashDelay;
    return now - began > kDelay && before - began > kDelay / 2;
  }
  /// The trait for which a request must not run; null if there is none.
  const quarantine::Trait* FindQuarantined(
      std::span<const quarantine::Trait> traits) const;
  /// Counts as a crash only if the replica had begun to answer lately, if at
  /// all, and its port then refuses connections: a reset, a malformed answer or
  /// a lost link says nothing about the request.
  void ConnectionBroke(const BrokenRun& run);
  /// A replica answered a request completely, or for longer than
  /// quarantine::CrashTracker::kCrashDelay.
  void Survived(std::span<const quarantine::Trait> traits);

 private:
  struct Probe;
  void StartProbe(const std::shared_ptr<Probe>& probe);
  void Connect(const std::shared_ptr<Probe>& probe);
  void OnConnectionRefused(const Probe& probe);
  void Gather(coordination::ReplicaCrash crash);
  void ReportGathered();
  bool Quarantined(const quarantine::Fingerprint& trait) const;

  asio::io_context& context;
  coordination::FleetWatch& watch;
  quarantine::RecentSurvivals survivals;
  /// From this process's reports only.
  quarantine::CrashTracker local_crash_tracker;
  std::vector<coordination::ReplicaCrash> gathered;  ///< To be reported.
  asio::steady_timer gather_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_CRASHDETECTOR_H_
