#ifndef PAPAYARACK_STATEMACHINE_COMMANDS_H_
#define PAPAYARACK_STATEMACHINE_COMMANDS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "claims/claimtable.h"
#include "documents/documentstore.h"
#include "global/messagecodec.h"
#include "jobs/jobstore.h"

namespace papayarack::statemachine {

/// Submits a service document. Reply body: documents::SubmitOutcome.
struct SubmitDocument {
  std::string service;
  std::uint64_t version = 0;
  std::string text;
  MSGPACK_DEFINE(service, version, text)
};
/// Adds a chunk to an input file. No reply body.
struct AppendFile {
  std::string file;
  std::string owner;
  std::uint64_t at = 0;
  std::string bytes;
  bool last = false;
  std::int64_t now_ms = 0;
  MSGPACK_DEFINE(file, owner, at, bytes, last, now_ms)
};
/// Accepts a job. Reply body: jobs::JobSummary.
struct CreateJob {
  jobs::JobRequest request;
  MSGPACK_DEFINE(request)
};
/// Cancels a job of `owner` (any, when empty). Reply body: jobs::JobSummary.
struct CancelJob {
  std::string job;
  std::string owner;
  std::int64_t now_ms = 0;
  MSGPACK_DEFINE(job, owner, now_ms)
};
/// Reports ended attempts, then requests items. Reply body: LeaseReply.
struct PullItems {
  std::vector<jobs::ItemOutcome> outcomes;
  jobs::LeaseRequest lease;
  MSGPACK_DEFINE(outcomes, lease)
};
struct LeaseReply {
  std::vector<jobs::LeasedItem> items;
  std::vector<int> outcome_codes;  ///< One per reported outcome.
  std::vector<jobs::ItemKey>
      stop;  ///< Held items of a job that was cancelled or has ended.
  MSGPACK_DEFINE(items, outcome_codes, stop)
};
/// Advances the time: expires leases, claims and kept results. No reply body.
struct AdvanceTime {
  std::int64_t now_ms = 0;
  MSGPACK_DEFINE(now_ms)
};
/// Claims an idempotency key. Reply body: claims::ClaimOutcome.
struct MakeClaim {
  claims::ClaimRequest request;
  MSGPACK_DEFINE(request)
};
/// Records the end of a claim. No reply body.
struct EndClaim {
  claims::ClaimEnd end;
  MSGPACK_DEFINE(end)
};

/// A command in the log. Alternatives are only added at the end.
using Command = std::variant<SubmitDocument, AppendFile, CreateJob, CancelJob,
                             PullItems, AdvanceTime, MakeClaim, EndClaim>;

/// The answer to a command or query.
struct CommandReply {
  int code = 0;
  std::string text;
  std::string body;    ///< The encoded reply of the command.
  std::string leader;  ///< For kNotLeader: the address of the leader, if known.
  MSGPACK_DEFINE(code, text, body, leader)

  ResultCode Code() const { return static_cast<ResultCode>(this->code); }
};

}  // namespace papayarack::statemachine

#endif  // PAPAYARACK_STATEMACHINE_COMMANDS_H_
