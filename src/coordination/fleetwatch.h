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

/// What a process knows of the fleet, as of the last reply from a leader.
struct FleetKnowledge {
  std::uint64_t config_version = 0;
  std::string config;
  std::vector<NodeReport> nodes;
  std::vector<EngineInstance> engines;
  consensus::MemberList job_founders;
  std::vector<std::string> leaving;
  /// Whether a leader has sent `nodes` after enough processes had reported to
  /// assign engines.
  bool hosts_known = false;
  std::size_t entries = 0;  ///< Processes behind the balancer.
  Time heard{};             ///< Last reply of a leader.
  /// `config` is not older than any configuration that was acknowledged up to
  /// this moment.
  Time confirmed{};
  Time engines_seen{};  ///< When `engines` was read from the platform.
  /// The platform's list was read at this moment or later, and `engines` was
  /// set to what it showed. Holds however late replies arrive, unlike
  /// `engines_seen`; zero if the leader does not tell. Never decreases.
  Time engines_read_after{};
};

/// The parts that a reply changed.
struct FleetChange {
  bool config = false;
  bool nodes = false;
  bool engines = false;

  bool Any() const { return this->config || this->nodes || this->engines; }
};

/// `replica` crashed as it began to answer a request with these traits.
struct ReplicaCrash {
  std::string replica;  ///< Identifies one start of a replica.
  std::vector<quarantine::SuspectTrait> traits;
  Time when{};
};

/// Reports this process to the coordination group's leader and receives changes
/// by a long poll. Starts from the seeds, and does not depend on them once it
/// has learned of other processes. Thread safety: none, the loop's thread.
class FleetWatch {
 public:
  using Changed = std::function<void(const FleetChange&)>;

  FleetWatch(asio::io_context& context, transport::PeerClient& peers,
             NodeReport self, std::vector<std::string> seeds, Changed changed);
  ~FleetWatch();
  FleetWatch(const FleetWatch&) = delete;
  FleetWatch& operator=(const FleetWatch&) = delete;

  void Start();
  /// Serves other processes' queries for the members, and receives members'
  /// announcements. Otherwise, after a restart of all processes, nobody finds
  /// the leader if the settings name only seeds that are not members. If
  /// `serve_watch` is set, this process has no member of its own, so it also
  /// serves chunks of its text (a member serves its own). Precondition:
  /// `server` and `dispatch` outlive the watch.
  void ServeHints(transport::PeerServer*& server,
                  transport::PeerDispatch& dispatch, bool serve_watch);
  /// Handles a member's announcement. Sends a watch to the leader at once if
  /// none was known.
  void OnAnnounced(const AnnounceMembers& announced);
  /// Changes the report and sends it at once.
  void SetJobMembers(std::vector<std::string> members, std::uint64_t term);
  /// Reports these crashes at once, in one message.
  void ReportCrashes(std::vector<ReplicaCrash> crashes);
  /// Reports that a replica ran a request with the trait, which is suspected of
  /// crashing replicas, without a crash.
  void ReportSurvival(const quarantine::Fingerprint& trait);
  /// What the leader has quarantined.
  const CrashReports& crashes() const { return this->crash_reports; }
  /// Reports at once that this process is leaving and owns no engines.
  void SetAway();
  const FleetKnowledge& knowledge() const { return this->known; }
  /// Milliseconds since the last reply of a leader; -1 before the first.
  std::int64_t ListAgeMs() const;
  /// The search for the leader, shared by all callers in this process.
  LeaderSearch& search() { return this->leader_search; }
  const LeaderSearch& search() const { return this->leader_search; }
  /// Sets an engine list that this process read itself while no leader
  /// answered. Precondition: the reading began at `begun` or later.
  void TakeEngines(std::vector<EngineInstance> engines, Time begun);
  /// Asks the leader for the first reading of the platform's list that begins
  /// at `read_after` or later; `changed` runs when it is known. Holds one wish,
  /// the first that is not fulfilled: repeat others on `changed`.
  void WantEngines(Time read_after);

 private:
  void SendWatch();
  void RetryAfter(std::chrono::milliseconds wait);
  void ResendWatch();
  void OnReply(const std::string& message);
  bool TakeConfiguration(const WatchReply& reply);
  void TakeConfirmation(const WatchReply& reply);
  /// Precondition: `manifest` describes `text`.
  void ApplyConfiguration(const TextManifest& manifest, std::string text);
  void OnFetched(std::optional<std::string> text);
  void OnChunksUnusable(std::uint64_t version);
  void TakeNodes(const WatchReply& reply);
  bool EnginesUsable(const WatchReply& reply) const;
  bool TakeEngineChanges(const WatchReply& reply);
  void TakeListReading(const WatchReply& reply);

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
  std::uint64_t requested_engines_revision = 0;  ///< Sent in the last request.
  std::string target;
  std::size_t failures = 0;
  std::size_t fetch_failures = 0;
  /// The text differs from the leader's text of the same version.
  bool text_unusable = false;
  std::uint64_t round = 0;
  Time sent{};                 ///< When the watch in flight was sent.
  Time wanted_reading{};       ///< As in WantEngines.
  bool wants_engines = false;  ///< Sent in the last request.
  bool handles_reply = false;  ///< A watch is sent after it.
  transport::CallId call = 0;
  asio::steady_timer timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_FLEETWATCH_H_
