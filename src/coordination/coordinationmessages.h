#ifndef PAPAYARACK_COORDINATION_COORDINATIONMESSAGES_H_
#define PAPAYARACK_COORDINATION_COORDINATIONMESSAGES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "consensus/raftmessages.h"
#include "coordination/contentchunks.h"
#include "global/messagecodec.h"
#include "global/replicasoftware.h"
#include "quarantine/crashtracker.h"

/// Messages between any process and the members of the coordination group.
namespace papayarack::coordination {

/// Value of `engines_age_ms` while the leader has not read the platform's list.
inline constexpr std::uint32_t kEnginesNeverRead = UINT32_MAX;

enum class NodeRole : std::uint8_t { kEntry = 0, kGate = 1, kStore = 2 };

/// What a process reports about itself.
struct NodeReport {
  std::string name;
  std::uint8_t role = 0;
  std::string address;  ///< host:port of its listener for other processes.
  std::string zone;
  std::uint64_t incarnation = 0;  ///< New at every start.
  std::uint64_t member = 0;    ///< Id as a possible group member; zero: none.
  std::string engine_address;  ///< Gate: its engine.
  std::string service;         ///< Gate: the engine's service.
  /// Store: addresses of the job group's members, from its leader only.
  std::vector<std::string> job_members;
  std::uint64_t job_term = 0;
  bool durable = false;  ///< The state of `member` is on disk, not in memory.
  /// Owns no engines: it is leaving or, as marked by the leader, silent.
  bool away = false;
  MSGPACK_DEFINE(name, role, address, zone, incarnation, member, engine_address,
                 service, job_members, job_term, durable, away)
  bool operator==(const NodeReport&) const = default;

  NodeRole Role() const { return static_cast<NodeRole>(this->role); }
};

/// One running replica of a service, from the platform's list.
struct EngineInstance {
  std::string id;  ///< May be the same after another start of the replica.
  std::string service;
  std::string address;
  std::string zone;
  std::uint32_t slots = 0;
  bool draining = false;
  /// Unix time of its start in milliseconds, by its own clock. Together with
  /// `id` it identifies one start of a replica. Zero: unknown.
  std::uint64_t started_ms = 0;
  /// Version of the software that the replica `id` runs, not whatever else runs
  /// at the address later. Empty: unknown.
  std::string version = {};
  MSGPACK_DEFINE(id, service, address, zone, slots, draining, started_ms,
                 version)
  bool operator==(const EngineInstance&) const = default;

  ReplicaSoftware Software() const { return {this->service, this->version}; }
  /// Identifies the instance within a list: another replica may reuse the id.
  std::string Key() const { return this->id + "@" + this->address; }
};

/// A report of the sender and a long poll for all changes since the state that
/// it has. The leader answers when something changes or after kWatchTimeout.
struct WatchRequest {
  NodeReport self;
  std::uint64_t config_version = 0;
  std::uint64_t term = 0;  ///< Term that the revisions below belong to.
  std::uint64_t nodes_revision = 0;
  std::uint64_t engines_revision = 0;
  /// The sender accepts list changes and text chunks. Senders of an earlier
  /// version need complete lists and texts.
  bool takes_changes = false;
  std::string fetching_from;  ///< Source of the running fetch; empty: none.
  std::uint64_t fetching_version = 0;  ///< Of that text.
  /// The sender, if a member, can apply ChangeConfiguration from the group's
  /// log.
  bool applies_changes = false;
  /// The form of an earlier release: crashes of replicas under a whole request,
  /// and traits that a replica survived. A leader reads them only if
  /// `reports_traits` is false.
  std::vector<quarantine::CrashReport> crashes;
  std::vector<quarantine::Fingerprint> survived;
  /// Traits that an earlier leader quarantined.
  std::vector<quarantine::Fingerprint> quarantined;
  /// Revision of the sender's quarantine list; zero: it has none, or is of an
  /// earlier release.
  std::uint64_t quarantine_revision = 0;
  /// Crashes of replicas, and traits of requests that replicas survived.
  std::vector<quarantine::CrashObservation> observations;
  std::vector<quarantine::SurvivalReport> survivals;
  /// The sender fills `observations` and `survivals`, and repeats them in
  /// `crashes` and `survived` for a leader of an earlier release.
  bool reports_traits = false;
  /// How long each of `quarantined` has been in quarantine; empty if unknown.
  std::vector<std::uint32_t> quarantined_ages_ms;
  /// The sender needs a confirmation of what it holds now, without a change.
  bool wants_confirmation = false;
  /// The sender, if a member, can apply SetCreditReserves from the group's log.
  bool applies_reserves = false;
  /// The sender needs a reading of the platform's list that begins
  /// `engines_wanted_in_ms` after this request's receipt, or later.
  bool wants_engines = false;
  std::uint32_t engines_wanted_in_ms = 0;
  MSGPACK_DEFINE(self, config_version, term, nodes_revision, engines_revision,
                 takes_changes, fetching_from, fetching_version,
                 applies_changes, crashes, survived, quarantined,
                 quarantine_revision, observations, survivals, reports_traits,
                 quarantined_ages_ms, wants_confirmation, applies_reserves,
                 wants_engines, engines_wanted_in_ms)
};

struct WatchReply {
  int code = 0;        ///< A ResultCode; kNotLeader with the address below.
  std::string leader;  ///< Empty when not known.
  std::vector<std::string> members;  ///< Addresses of the group's members.
  std::uint64_t term = 0;
  std::uint64_t config_version = 0;
  std::string config;  ///< Full text, if newer, for senders that need it.
  std::uint64_t nodes_revision = 0;
  bool has_nodes = false;
  /// The table is complete: the leader has led for longer than all processes
  /// take to report.
  bool nodes_settled = false;
  std::vector<NodeReport> nodes;
  std::uint64_t engines_revision = 0;
  bool has_engines = false;
  std::uint32_t engines_age_ms = 0;  ///< Or kEnginesNeverRead.
  std::vector<EngineInstance> engines;
  consensus::MemberList job_founders;
  std::vector<std::string> leaving;  ///< Names of stores being emptied.
  /// `nodes` or `engines` holds only changes; removed items are named here.
  bool nodes_partial = false;
  std::vector<std::string> nodes_removed;
  bool engines_partial = false;
  std::vector<std::string> engines_removed;  ///< Keys (EngineInstance::Key).
  TextManifest manifest;  ///< Of a newer configuration, or of version zero.
  std::vector<std::string> chunks;  ///< Missing chunks, if few.
  std::string source;               ///< Address to fetch the chunks from.
  std::uint32_t entries = 0;        ///< Processes behind the balancer.
  bool hosts_known = false;         ///< Enough have reported to assign engines.
  std::uint64_t quarantine_revision = 0;
  bool has_quarantined = false;
  /// Quarantined traits of requests, which crash replicas.
  std::vector<quarantine::Fingerprint> quarantined;
  /// As in WatchRequest.
  std::vector<std::uint32_t> quarantined_ages_ms;
  /// The sender was confirmed as leader by a quorum this long after it received
  /// the request, or before if negative: whatever was acknowledged up to then
  /// is in `config_version`. Counted in milliseconds by one clock.
  std::int64_t confirmed_after_ms = 0;
  bool is_confirmed = false;  ///< `confirmed_after_ms` is set.
  /// Time until each of `quarantined` may be tried by one run; empty: none may,
  /// as the sender is of an earlier release.
  std::vector<std::uint32_t> trial_in_ms;
  /// The reading that `engines` is of began this long after the sender received
  /// the request, or before if negative. Counted in milliseconds by one clock.
  std::int64_t engines_read_after_ms = 0;
  bool has_engines_read = false;  ///< `engines_read_after_ms` is set.
  MSGPACK_DEFINE(code, leader, members, term, config_version, config,
                 nodes_revision, has_nodes, nodes_settled, nodes,
                 engines_revision, has_engines, engines_age_ms, engines,
                 job_founders, leaving, nodes_partial, nodes_removed,
                 engines_partial, engines_removed, manifest, chunks, source,
                 entries, hosts_known, quarantine_revision, has_quarantined,
                 quarantined, quarantined_ages_ms, confirmed_after_ms,
                 is_confirmed, trial_in_ms, engines_read_after_ms,
                 has_engines_read)
};

/// Requests chunks of the configuration from any process.
struct ChunksWanted {
  std::vector<ChunkName> chunks;
  MSGPACK_DEFINE(chunks)
};
struct ChunksFound {
  std::vector<std::string> chunks;  ///< The chunks found, in any order.
  MSGPACK_DEFINE(chunks)
};

/// Reads the configuration. The reply omits the text if the sender has that
/// version. A large text is refused with kNotReady: the sender's watch delivers
/// it.
struct ReadConfiguration {
  std::uint64_t held_version = 0;
  MSGPACK_DEFINE(held_version)
};

/// The group's members, announced to processes that may know none.
struct AnnounceMembers {
  std::vector<std::string> members;
  std::string leader;
  MSGPACK_DEFINE(members, leader)
};

/// Commands for the group's log, and reads.
struct SubmitConfiguration {
  std::uint64_t version = 0;
  std::string text;
  MSGPACK_DEFINE(version, text)
};
/// A configuration as the difference from the text in force at the command's
/// position in the log.
struct ChangeConfiguration {
  TextManifest manifest;            ///< Of the new text.
  std::vector<std::string> chunks;  ///< Chunks that the previous text lacks.
  MSGPACK_DEFINE(manifest, chunks)
};
struct FoundJobGroup {
  consensus::MemberList members;
  MSGPACK_DEFINE(members)
};
struct EmptyStore {
  std::string name;
  MSGPACK_DEFINE(name)
};
/// Requests by name of organisation.
using CreditReserves = std::map<std::string, std::uint32_t>;
/// Sets the credit that the leader keeps of each organisation named, and will
/// not hand out before a lower one is committed; zero removes it.
struct SetCreditReserves {
  CreditReserves reserves;
  MSGPACK_DEFINE(reserves)
};
struct ReadQuery {
  std::string store;  ///< Name of the store whose state is read.
  MSGPACK_DEFINE(store)
};

/// The reply of a group member to any call.
struct GroupReply {
  int code = 0;
  std::string leader;  ///< With kNotLeader: the leader, if known.
  std::string body;
  MSGPACK_DEFINE(code, leader, body)
};

/// Progress of emptying a store.
struct StoreState {
  bool known = false;
  bool leaving = false;
  bool emptied = false;
  MSGPACK_DEFINE(known, leaving, emptied)
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_COORDINATIONMESSAGES_H_
