#include "control/internal/queries.h"

#include "global/variantcodec.h"

namespace papayarack::control {
namespace {

constexpr std::size_t kMaxReadBytes = 256U << 10U;

template <typename Body>
statemachine::CommandReply ReplyWith(const Body& body) {
  statemachine::CommandReply reply;
  reply.body = EncodeMessage(body);
  return reply;
}

const jobs::JobSummary& RequireJob(const statemachine::StateMachine& state,
                                   const std::string& id,
                                   const std::string& owner) {
  const jobs::JobSummary* job = state.jobs().Find(id);
  // A job of another owner is reported like a missing one, so that ids reveal
  // nothing.
  if (job == nullptr || (!owner.empty() && job->request.owner != owner)) {
    throw ResultError(ResultCode::kNotFound, "no such job: " + id);
  }
  return *job;
}

statemachine::CommandReply Results(const statemachine::StateMachine& state,
                                   const QueryResults& query) {
  const jobs::JobSummary& job = RequireJob(state, query.job, query.owner);
  ResultsReply reply;
  reply.items = job.items;
  reply.lines = state.jobs().ReadResults(
      query.job, query.errors, query.from_item, kMaxReadBytes, reply.next_item);
  return ReplyWith(reply);
}

statemachine::CommandReply File(const statemachine::StateMachine& state,
                                const QueryFile& query) {
  const jobs::StoredFile* file = state.files().Find(query.file);
  if (file == nullptr || (!query.owner.empty() && file->owner != query.owner)) {
    throw ResultError(ResultCode::kNotFound, "no such file: " + query.file);
  }
  return ReplyWith(FileReply{state.files().Read(*file, query.at, kMaxReadBytes),
                             file->bytes, file->complete, file->created_ms});
}

}  // namespace

statemachine::CommandReply AnswerQuery(const statemachine::StateMachine& state,
                                       const Query& query,
                                       const StatusReply& status) {
  try {
    return std::visit(
        Overloaded{
            [&](const QueryDocument& body) {
              const documents::AcceptedDocument* found =
                  state.documents().Find(body.service);
              if (found == nullptr) {
                throw ResultError(ResultCode::kNotFound,
                                  "no such service: " + body.service);
              }
              return ReplyWith(*found);
            },
            [&](const QueryChanges& body) {
              return ReplyWith(
                  ChangesReply{state.documents().revision(),
                               state.documents().ChangesSince(body.since)});
            },
            [&](const QueryJob& body) {
              return ReplyWith(RequireJob(state, body.job, body.owner));
            },
            [&](const QueryJobs& body) {
              std::vector<jobs::JobSummary> list;
              for (const jobs::JobSummary* job :
                   state.jobs().List(body.owner)) {
                list.push_back(*job);
              }
              return ReplyWith(list);
            },
            [&](const QueryResults& body) { return Results(state, body); },
            [&](const QueryFile& body) { return File(state, body); },
            [&](const QueryStatus&) {
              StatusReply reply = status;
              reply.revision = state.documents().revision();
              reply.documents = state.documents().ChangesSince(0);
              return ReplyWith(reply);
            },
        },
        query);
  } catch (const ResultError& error) {
    statemachine::CommandReply reply;
    reply.code = static_cast<int>(error.result().code);
    reply.text = error.what();
    return reply;
  }
}

}  // namespace papayarack::control
