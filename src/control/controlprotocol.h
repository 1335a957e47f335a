#ifndef PAPAYARACK_CONTROL_CONTROLPROTOCOL_H_
#define PAPAYARACK_CONTROL_CONTROLPROTOCOL_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "consensus/raftmessages.h"
#include "documents/documentstore.h"
#include "fleet/fleettable.h"
#include "jobs/jobstore.h"
#include "statemachine/commands.h"

namespace papayarack::control {

/// Paths of the requests that a control member serves; bodies are encoded
/// messages.
namespace path {
inline constexpr const char* kRaft = "/raft";  ///< RaftMessage; no answer.
inline constexpr const char* kCommand =
    "/command";  ///< Command; answer CommandReply.
inline constexpr const char* kQuery =
    "/query";  ///< Query; answer CommandReply.
inline constexpr const char* kHeartbeat =
    "/heartbeat";  ///< Heartbeat; answer CommandReply.
inline constexpr const char* kSnapshot =
    "/snapshot";  ///< SnapshotRequest; SnapshotChunk.
inline constexpr const char* kMembers =
    "/members";  ///< MembersChange; CommandReply.
}  // namespace path

/// The document in force. Body: documents::AcceptedDocument.
struct QueryDocument {
  std::string service;
  MSGPACK_DEFINE(service)
};
/// Documents accepted after `since`. Body: ChangesReply.
struct QueryChanges {
  std::uint64_t since = 0;
  MSGPACK_DEFINE(since)
};
/// Body: jobs::JobSummary. `owner` empty: any.
struct QueryJob {
  std::string job;
  std::string owner;
  MSGPACK_DEFINE(job, owner)
};
/// Body: std::vector<jobs::JobSummary>.
struct QueryJobs {
  std::string owner;
  MSGPACK_DEFINE(owner)
};
/// Result or error lines. Body: ResultsReply.
struct QueryResults {
  std::string job;
  std::string owner;
  bool errors = false;
  std::uint32_t from_item = 0;
  MSGPACK_DEFINE(job, owner, errors, from_item)
};
struct ResultsReply {
  std::string lines;
  std::uint32_t next_item = 0;
  std::uint32_t items = 0;
  MSGPACK_DEFINE(lines, next_item, items)
};
/// Bytes of an input file. Body: FileReply.
struct QueryFile {
  std::string file;
  std::string owner;
  std::uint64_t at = 0;
  MSGPACK_DEFINE(file, owner, at)
};
struct FileReply {
  std::string bytes;
  std::uint64_t size = 0;
  bool complete = false;
  std::int64_t created_ms = 0;
  MSGPACK_DEFINE(bytes, size, complete, created_ms)
};
/// The fleet and the documents. Body: StatusReply.
struct QueryStatus {
  bool unused = false;
  MSGPACK_DEFINE(unused)
};
struct StatusReply {
  std::uint64_t revision = 0;
  std::vector<documents::AcceptedDocument> documents;
  std::vector<fleet::FleetMember> members;
  std::string leader;
  std::uint64_t term = 0;
  MSGPACK_DEFINE(revision, documents, members, leader, term)
};

/// Read-only requests; each answer was confirmed by a quorum. Alternatives are
/// only added at the end.
using Query = std::variant<QueryDocument, QueryChanges, QueryJob, QueryJobs,
                           QueryResults, QueryFile, QueryStatus>;

struct ChangesReply {
  std::uint64_t revision = 0;
  std::vector<documents::AcceptedDocument> changes;
  MSGPACK_DEFINE(revision, changes)
};

/// Announces a process and its state to control.
struct Heartbeat {
  fleet::ProcessReport report;
  std::uint64_t fleet_version = 0;  ///< Version of its fleet list; 0 for none.
  MSGPACK_DEFINE(report, fleet_version)
};
/// Body of the answer to a heartbeat.
struct HeartbeatReply {
  ChangesReply documents;
  std::uint64_t fleet_version = 0;
  bool fleet_settled =
      false;  ///< False while heartbeats may still be missing on a new leader.
  /// Only for entries, and only if the version differs.
  std::vector<fleet::FleetMember> members;
  bool has_batch_work = false;  ///< A job of the sender's service is open.
  MSGPACK_DEFINE(documents, fleet_version, fleet_settled, members,
                 has_batch_work)
};

/// Requests a part of the newest snapshot: of its state, or of the blob bytes.
struct SnapshotRequest {
  consensus::GroupId group = 0;
  bool blobs = false;
  std::uint64_t offset = 0;
  MSGPACK_DEFINE(group, blobs, offset)
};
struct SnapshotChunk {
  int code = 0;
  consensus::SnapshotMeta meta;
  std::uint64_t first_blob = 0;  ///< Smallest blob offset that is retained.
  std::string bytes;
  MSGPACK_DEFINE(code, meta, first_blob, bytes)
};

/// Adds a member as a learner, which votes once it has caught up, or removes a
/// member.
struct MembersChange {
  bool add = false;
  std::uint64_t id = 0;
  std::string address;
  MSGPACK_DEFINE(add, id, address)
};

}  // namespace papayarack::control

#endif  // PAPAYARACK_CONTROL_CONTROLPROTOCOL_H_
