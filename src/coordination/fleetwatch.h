#ifndef PAPAYARACK_COORDINATION_FLEETWATCH_H_
#define PAPAYARACK_COORDINATION_FLEETWATCH_H_

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/coordinationmessages.h"
#include "coordination/crashreports.h"
#include "coordination/leadersearch.h"
#include "coordination/textfetch.h"
#include "global/timepoint.h"
#include "transport/peerclient.h"
#include "transport/peerdispatch.h"

namespace papayarack::coordination {

/// What a process knows of the fleet, as of its last reply from the leader.
struct FleetKnowledge {
  std::uint64_t config_version = 0;
  std::string config;
  std::vector<NodeReport> nodes;
  std::vector<EngineInstance> engines;
  consensus::MemberList job_founders;
  std::vector<std::string> leaving;
  /// Whether a leader that knew of enough of them has named the processes.
  bool names_hosts = false;
  std::size_t entries = 0;  ///< Processes behind the balancer.
  Time heard{};             ///< Last reply of a leader.
  Time engines_seen{};      ///< When the platform said what `engines` holds.
};

/// What changed with a reply.
struct FleetChange {
  bool config = false;
  bool nodes = false;
  bool engines = false;

  bool Any() const { return this->config || this->nodes || this->engines; }
};

/// Reports this process to the coordination group's leader and learns what
/// changes: one call that the leader keeps open. Starts from seeds and never
/// depends on them once it has learned of others. Thread safety: none, the
/// loop's thread.
class FleetWatch {
 public:
  using Changed = std::function<void(const FleetChange&)>;

  FleetWatch(asio::io_context& context, transport::PeerClient& peers,
             NodeReport self, std::vector<std::string> seeds, Changed changed);
  ~FleetWatch();
  FleetWatch(const FleetWatch&) = delete;
  FleetWatch& operator=(const FleetWatch&) = delete;

  void Start();
  /// Lets other processes ask this one who the members are, and lets members
  /// tell it. Symptom guarded against: after all processes were killed at once
  /// nobody finds the leader, because the settings now name seeds that are not
  /// members and know as little. So members tell the seeds, and any process
  /// tells whoever asks. `serve_watch`: this process has no member of its own,
  /// so it also gives others the text that it holds (a member gives its own).
  /// Precondition: `server` and `dispatch` outlive the watch.
  void ServeHints(transport::PeerServer*& server,
                  transport::PeerDispatch& dispatch, bool serve_watch);
  /// A member says who leads; asked at once while none was known.
  void OnAnnounced(const AnnounceMembers& announced);
  /// Changes what is reported, at once.
  void SetJobMembers(std::vector<std::string> members, std::uint64_t term);
  /// A replica crashed while it ran `request`; told to the leader at once.
  void ReportCrash(const quarantine::Fingerprint& request, std::string replica);
  /// A replica ran `request`, which is suspected, to the end; the same.
  void ReportSurvival(const quarantine::Fingerprint& request);
  /// What the leader says of requests that are not to be run.
  const CrashReports& crashes() const { return this->crash_reports; }
  /// Tells that this process leaves and owns no engines, at once.
  void SetAway();
  const FleetKnowledge& knowledge() const { return this->known; }
  /// Since a leader last confirmed what is known; -1 before one did.
  std::int64_t ListAgeMs() const;
  /// Where the leader is, for all of this process that ask it.
  LeaderSearch& search() { return this->leader_search; }
  const LeaderSearch& search() const { return this->leader_search; }
  /// Takes an engine list that this process read by itself while no leader
  /// answered.
  void TakeEngines(std::vector<EngineInstance> engines);

 private:
  void Ask();
  void Again(std::chrono::milliseconds wait);
  void AskAnew();
  void OnReply(const std::string& message);
  bool TakeConfiguration(const WatchReply& reply);
  /// `manifest` is that of `text`.
  void Obey(const TextManifest& manifest, std::string text);
  void OnFetched(std::optional<std::string> text);
  void OnChunksUnusable(std::uint64_t version);
  void TakeNodes(const WatchReply& reply);
  bool TakeEngineChanges(const WatchReply& reply);

  transport::PeerClient& peers;
  NodeReport self;
  LeaderSearch leader_search;
  Changed changed;
  FleetKnowledge known;
  ChunkIndex index;  ///< Of `known.config`.
  TextFetch fetch;
  CrashReports crash_reports;
  std::uint64_t term = 0;
  std::uint64_t nodes_revision = 0;
  std::uint64_t engines_revision = 0;
  std::uint64_t engines_asked = 0;  ///< `engines_revision` of the last ask.
  std::string target;
  std::size_t failures = 0;
  std::size_t fetch_failures = 0;
  /// The text held is not the one that the leader has under its version.
  bool text_unusable = false;
  std::uint64_t round = 0;
  transport::CallId call = 0;
  asio::steady_timer timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_FLEETWATCH_H_
