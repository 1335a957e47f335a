#ifndef PAPAYARACK_COORDINATION_COORDINATIONMESSAGES_H_
#define PAPAYARACK_COORDINATION_COORDINATIONMESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "consensus/raftmessages.h"
#include "coordination/contentchunks.h"
#include "global/messagecodec.h"
#include "quarantine/crashtracker.h"

/// Messages between any process and the members of the coordination group.
namespace papayarack::coordination {

/// In place of an age: this leader has not read the platform's list yet.
inline constexpr std::uint32_t kEnginesNeverRead = UINT32_MAX;

enum class NodeRole : std::uint8_t { kEntry = 0, kGate = 1, kStore = 2 };

/// What a process says of itself.
struct NodeReport {
  std::string name;
  std::uint8_t role = 0;
  std::string address;  ///< host:port of its listener for other processes.
  std::string zone;
  std::uint64_t incarnation = 0;  ///< New at every start.
  std::uint64_t member = 0;       ///< Could be a group's member; zero: not.
  std::string engine_address;     ///< Gate: the engine that it guards.
  std::string service;            ///< Gate: the engine's service.
  /// Store: addresses of the job group's members, from its leader only.
  std::vector<std::string> job_members;
  std::uint64_t job_term = 0;
  bool durable = false;  ///< `member` lives on a disk, not in memory.
  /// Owns no engines: it is leaving, or, as the leader says, silent.
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
  /// Unix time of its start in milliseconds, by its own clock: with `id` it
  /// names one start of a replica. Zero: not known.
  std::uint64_t started_ms = 0;
  MSGPACK_DEFINE(id, service, address, zone, slots, draining, started_ms)
  bool operator==(const EngineInstance&) const = default;

  /// Names the instance within a list: an id may come back elsewhere.
  std::string Key() const { return this->id + "@" + this->address; }
};

/// A report, and a question for all that changed since what the sender has. The
/// leader keeps it open until something changes or kWatchHold is over.
struct WatchRequest {
  NodeReport self;
  std::uint64_t config_version = 0;
  std::uint64_t term = 0;  ///< Term that the revisions below belong to.
  std::uint64_t nodes_revision = 0;
  std::uint64_t engines_revision = 0;
  /// The sender takes lists as changes and the text in chunks; one of an
  /// earlier version takes both whole.
  bool takes_changes = false;
  std::string fetching_from;  ///< A fetch of a text is under way; or empty.
  std::uint64_t fetching_version = 0;  ///< Of that text.
  /// A member of this release: knows ChangeConfiguration in the group's log.
  bool applies_changes = false;
  /// Entry: replicas that crashed, requests that one of them ran to the end.
  std::vector<quarantine::CrashReport> crashes;
  std::vector<quarantine::Fingerprint> survived;
  /// Entry: requests that an earlier leader named.
  std::vector<quarantine::Fingerprint> quarantined;
  /// Of the list that the sender has; zero: none, or an earlier release.
  std::uint64_t quarantine_revision = 0;
  MSGPACK_DEFINE(self, config_version, term, nodes_revision, engines_revision,
                 takes_changes, fetching_from, fetching_version,
                 applies_changes, crashes, survived, quarantined,
                 quarantine_revision)
};

struct WatchReply {
  int code = 0;        ///< A ResultCode; kNotLeader with the address below.
  std::string leader;  ///< Empty when not known.
  std::vector<std::string> members;  ///< Addresses of the group's members.
  std::uint64_t term = 0;
  std::uint64_t config_version = 0;
  std::string config;  ///< Text, when newer, for those that take it whole.
  std::uint64_t nodes_revision = 0;
  bool has_nodes = false;
  /// The table is complete: the leader has led for longer than a report takes.
  bool nodes_settled = false;
  std::vector<NodeReport> nodes;
  std::uint64_t engines_revision = 0;
  bool has_engines = false;
  std::uint32_t engines_age_ms = 0;  ///< Or kEnginesNeverRead.
  std::vector<EngineInstance> engines;
  consensus::MemberList job_founders;
  std::vector<std::string> leaving;  ///< Names of stores to be emptied.
  /// `nodes`, `engines` hold only what changed; the removed are named here.
  bool nodes_partial = false;
  std::vector<std::string> nodes_removed;
  bool engines_partial = false;
  std::vector<std::string> engines_removed;  ///< Of EngineInstance::Key.
  TextManifest manifest;  ///< Of a newer configuration, or of version zero.
  std::vector<std::string> chunks;  ///< Of that text, as far as they are few.
  std::string source;         ///< Where the other chunks are to be fetched.
  std::uint32_t entries = 0;  ///< Processes behind the balancer.
  bool names_hosts = false;   ///< Enough have reported to give engines hosts.
  std::uint64_t quarantine_revision = 0;
  bool has_quarantined = false;
  /// For entries: requests that crash the replicas that run them.
  std::vector<quarantine::Fingerprint> quarantined;
  MSGPACK_DEFINE(code, leader, members, term, config_version, config,
                 nodes_revision, has_nodes, nodes_settled, nodes,
                 engines_revision, has_engines, engines_age_ms, engines,
                 job_founders, leaving, nodes_partial, nodes_removed,
                 engines_partial, engines_removed, manifest, chunks, source,
                 entries, names_hosts, quarantine_revision, has_quarantined,
                 quarantined)
};

/// Asks any process for chunks of the configuration that it holds.
struct ChunksWanted {
  std::vector<ChunkName> chunks;
  MSGPACK_DEFINE(chunks)
};
struct ChunksFound {
  std::vector<std::string> chunks;  ///< Those that were found, in any order.
  MSGPACK_DEFINE(chunks)
};

/// Asks for the configuration. Its text is left out where the asker holds it,
/// and refused with kNotReady where it is large: the asker's watch brings it.
struct ReadConfiguration {
  std::uint64_t held_version = 0;
  MSGPACK_DEFINE(held_version)
};

/// Who the members are, told to processes that may not know any.
struct AnnounceMembers {
  std::vector<std::string> members;
  std::string leader;
  MSGPACK_DEFINE(members, leader)
};

/// A command for the group's log or a read, and its answer.
struct SubmitConfiguration {
  std::uint64_t version = 0;
  std::string text;
  MSGPACK_DEFINE(version, text)
};
/// The same as what differs from the text in force where the command stands in
/// the log.
struct ChangeConfiguration {
  TextManifest manifest;            ///< Of the new text.
  std::vector<std::string> chunks;  ///< Those that the text before lacks.
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
struct ReadQuery {
  std::string store;  ///< With EmptyStore reads: whose state is asked for.
  MSGPACK_DEFINE(store)
};

/// The answer of any group member to any call.
struct GroupReply {
  int code = 0;
  std::string leader;  ///< With kNotLeader: whom to ask, when known.
  std::string body;
  MSGPACK_DEFINE(code, leader, body)
};

/// How far the emptying of a store is.
struct StoreState {
  bool known = false;
  bool leaving = false;
  bool emptied = false;
  MSGPACK_DEFINE(known, leaving, emptied)
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_COORDINATIONMESSAGES_H_
