#include "statemachine/statemachine.h"

#include <algorithm>
#include <map>

#include "global/variantcodec.h"

namespace papayarack::statemachine {
namespace {

constexpr std::int64_t kUnusedFileRetentionMs = 86'400'000;

template <typename Body>
CommandReply ReplyWith(int code, const Body& body) {
  CommandReply reply;
  reply.code = code;
  reply.body = EncodeMessage(body);
  return reply;
}

/// The state in a snapshot; each part in the format of its own class.
struct SavedState {
  std::string documents;
  std::map<std::string, jobs::StoredFile> files;
  std::string jobs;
  std::string claims;
  MSGPACK_DEFINE(documents, files, jobs, claims)
};

bool IsDiskFault(ResultCode code) {
  return code == ResultCode::kStorageFull ||
         code == ResultCode::kStorageDamaged;
}

}  // namespace

CommandReply StateMachine::Apply(std::string_view bytes) {
  try {
    const auto command = DecodeVariant<Command>(bytes);
    return std::visit([this](const auto& body) { return this->Execute(body); },
                      command);
  } catch (const ResultError& error) {
    // A disk failure on this member alone would make its state diverge: it must
    // stop.
    if (IsDiskFault(error.result().code)) {
      throw;
    }
    CommandReply reply;
    reply.code = static_cast<int>(error.result().code);
    reply.text = error.result().text;
    return reply;
  }
}

CommandReply StateMachine::Execute(const SubmitDocument& command) {
  const documents::SubmitOutcome outcome = this->document_store.Submit(
      command.service, command.version, command.text);
  CommandReply reply = ReplyWith(outcome.code, outcome);
  if (outcome.code != 0) {
    reply.text = outcome.in_force.version == 0
                     ? "the first version of a service is 1"
                     : "version " + std::to_string(outcome.in_force.version) +
                           " is in force; the next is " +
                           std::to_string(outcome.in_force.version + 1);
  }
  return reply;
}

CommandReply StateMachine::Execute(const AppendFile& command) {
  this->file_store.Append(command.file, command.owner, command.at,
                          command.bytes, command.last, command.now_ms);
  return {};
}

CommandReply StateMachine::Execute(const CreateJob& command) {
  return ReplyWith(0, this->job_store.Create(command.request));
}

CommandReply StateMachine::Execute(const CancelJob& command) {
  const jobs::JobSummary* job = this->job_store.Find(command.job);
  if (job == nullptr ||
      (!command.owner.empty() && job->request.owner != command.owner)) {
    throw ResultError(ResultCode::kNotFound, "no such job: " + command.job);
  }
  return ReplyWith(0, this->job_store.Cancel(command.job, command.now_ms));
}

CommandReply StateMachine::Execute(const PullItems& command) {
  LeaseReply reply;
  for (const jobs::ItemOutcome& outcome : command.outcomes) {
    reply.outcome_codes.push_back(static_cast<int>(
        this->job_store.Complete(outcome, command.lease.now_ms)));
  }
  for (const jobs::ItemKey& key : command.lease.holding) {
    const jobs::JobSummary* job = this->job_store.Find(key.job);
    if (job == nullptr || job->State() != jobs::JobState::kRunning) {
      reply.stop.push_back(key);
    }
  }
  reply.items = this->job_store.Lease(command.lease);
  return ReplyWith(0, reply);
}

CommandReply StateMachine::Execute(const AdvanceTime& command) {
  this->job_store.ExpireLeases(command.now_ms);
  this->job_store.ExpireJobs(command.now_ms);
  this->claim_table.Expire(command.now_ms);
  this->file_store.Expire(
      command.now_ms - kUnusedFileRetentionMs, [this](const std::string& id) {
        const auto list = this->job_store.List("");
        return std::ranges::any_of(list, [&id](const jobs::JobSummary* job) {
          return job->request.file == id;
        });
      });
  const std::uint64_t none = this->blobs.length();
  this->blobs.DropBefore(std::min(this->file_store.FirstNeededOffset(none),
                                  this->job_store.FirstNeededOffset(none)));
  return {};
}

CommandReply StateMachine::Execute(const MakeClaim& command) {
  const claims::ClaimOutcome outcome = this->claim_table.Claim(command.request);
  return ReplyWith(0, outcome);
}

CommandReply StateMachine::Execute(const EndClaim& command) {
  this->claim_table.End(command.end);
  return {};
}

bool StateMachine::NeedsAdvanceTime(std::int64_t now_ms) const {
  return this->job_store.HasExpired(now_ms);
}

std::string StateMachine::Save() const {
  SavedState saved;
  saved.documents = this->document_store.Save();
  saved.files = this->file_store.all();
  saved.jobs = this->job_store.Save();
  saved.claims = this->claim_table.Save();
  return EncodeMessage(saved);
}

void StateMachine::Load(std::string_view bytes) {
  auto saved = DecodeMessage<SavedState>(bytes);
  this->document_store.Load(saved.documents);
  this->file_store.Load(std::move(saved.files));
  this->job_store.Load(saved.jobs);
  this->claim_table.Load(saved.claims);
}

}  // namespace papayarack::statemachine
