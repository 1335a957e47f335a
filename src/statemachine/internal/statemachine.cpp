#include "statemachine/statemachine.h"

#include <algorithm>
#include <map>

#include "global/variantcodec.h"

namespace papayarack::statemachine {
namespace {

constexpr std::int64_t kUnusedFileKeptMs = 86'400'000;

template <typename Body>
CommandReply ReplyWith(int code, const Body& body) {
  CommandReply reply;
  reply.code = code;
  reply.body = EncodeMessage(body);
  return reply;
}

/// All state of a snapshot; each part in its aggregate's own form.
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
    return std::visit([this](const auto& body) { return this->Do(body); },
                      command);
  } catch (const ResultError& error) {
    // A disk that fails here but not elsewhere would make this member differ:
    // it must stop.
    if (IsDiskFault(error.result().code)) {
      throw;
    }
    CommandReply reply;
    reply.code = static_cast<int>(error.result().code);
    reply.text = error.result().text;
    return reply;
  }
}

CommandReply StateMachine::Do(const SubmitDocument& command) {
  const documents::SubmitOutcome outcome = this->document_book.Submit(
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

CommandReply StateMachine::Do(const AppendFile& command) {
  this->file_book.Append(command.file, command.owner, command.at, command.bytes,
                         command.last, command.now_ms);
  return {};
}

CommandReply StateMachine::Do(const CreateJob& command) {
  return ReplyWith(0, this->job_book.Create(command.request));
}

CommandReply StateMachine::Do(const CancelJob& command) {
  const jobs::JobSummary* job = this->job_book.Find(command.job);
  if (job == nullptr ||
      (!command.owner.empty() && job->request.owner != command.owner)) {
    throw ResultError(ResultCode::kNotFound, "no such job: " + command.job);
  }
  return ReplyWith(0, this->job_book.Cancel(command.job, command.now_ms));
}

CommandReply StateMachine::Do(const PullItems& command) {
  LeaseReply reply;
  for (const jobs::ItemOutcome& outcome : command.outcomes) {
    reply.outcome_codes.push_back(static_cast<int>(
        this->job_book.Complete(outcome, command.lease.now_ms)));
  }
  for (const jobs::ItemKey& key : command.lease.holding) {
    const jobs::JobSummary* job = this->job_book.Find(key.job);
    if (job == nullptr || job->State() != jobs::JobState::kRunning) {
      reply.stop.push_back(key);
    }
  }
  reply.items = this->job_book.Lease(command.lease);
  return ReplyWith(0, reply);
}

CommandReply StateMachine::Do(const AdvanceTime& command) {
  this->job_book.ExpireLeases(command.now_ms);
  this->job_book.ExpireJobs(command.now_ms);
  this->claim_book.Expire(command.now_ms);
  this->file_book.Expire(
      command.now_ms - kUnusedFileKeptMs, [this](const std::string& id) {
        const auto list = this->job_book.List("");
        return std::ranges::any_of(list, [&id](const jobs::JobSummary* job) {
          return job->request.file == id;
        });
      });
  const std::uint64_t none = this->blobs.length();
  this->blobs.DropBefore(std::min(this->file_book.FirstNeededOffset(none),
                                  this->job_book.FirstNeededOffset(none)));
  return {};
}

CommandReply StateMachine::Do(const MakeClaim& command) {
  const claims::ClaimOutcome outcome = this->claim_book.Claim(command.request);
  return ReplyWith(0, outcome);
}

CommandReply StateMachine::Do(const EndClaim& command) {
  this->claim_book.End(command.end);
  return {};
}

bool StateMachine::NeedsAdvanceTime(std::int64_t now_ms) const {
  return this->job_book.HasExpired(now_ms);
}

std::string StateMachine::Save() const {
  SavedState saved;
  saved.documents = this->document_book.Save();
  saved.files = this->file_book.all();
  saved.jobs = this->job_book.Save();
  saved.claims = this->claim_book.Save();
  return EncodeMessage(saved);
}

void StateMachine::Load(std::string_view bytes) {
  auto saved = DecodeMessage<SavedState>(bytes);
  this->document_book.Load(saved.documents);
  this->file_book.Load(std::move(saved.files));
  this->job_book.Load(saved.jobs);
  this->claim_book.Load(saved.claims);
}

}  // namespace papayarack::statemachine
