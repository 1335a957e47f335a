#include "entry/internal/batchapi.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "entry/internal/callercontext.h"
#include "entry/internal/httperror.h"
#include "global/hash.h"
#include "global/jsonschema.h"
#include "global/timepoint.h"
#include "jobs/itemline.h"

namespace papayarack::entry {
namespace {

constexpr std::size_t kChunkBytes = 256U << 10U;
constexpr std::size_t kIdDigits = 24;
constexpr std::string_view kOutputPrefix = "output-";
constexpr std::string_view kErrorPrefix = "errors-";

/// Returns the end of the chunk that begins at `start`; a chunk holds whole
/// lines only.
std::size_t ChunkEnd(std::string_view content, std::size_t start) {
  if (content.size() - start <= kChunkBytes) {
    return content.size();
  }
  const std::size_t last = content.rfind('\n', start + kChunkBytes - 1);
  if (last != std::string_view::npos && last >= start) {
    return last + 1;
  }
  const std::size_t next = content.find('\n', start + kChunkBytes);
  return next == std::string_view::npos ? content.size() : next + 1;
}

std::string UploadedContent(const httplib::Request& request) {
  if (request.has_file("file")) {
    return request.get_file_value("file").content;
  }
  if (request.is_multipart_form_data()) {
    throw ResultError(ResultCode::kBadInput,
                      "[file] the form has no part of this name");
  }
  return request.body;
}

void Upload(EntryContext& context, const httplib::Request& request,
            httplib::Response& response) {
  const CallerContext caller = ReadCaller(request);
  const std::string content = UploadedContent(request);
  const std::size_t items = jobs::CheckInputFile(
      content,
      {context.settings.max_job_items, context.settings.max_line_bytes});
  // The id is derived from the content, so uploading the same file again gives
  // the same id.
  const std::string id =
      "file-" + Sha256Hex(caller.team + "\n" + content).substr(0, kIdDigits);
  std::size_t start = 0;
  while (start < content.size()) {
    const std::size_t end = ChunkEnd(content, start);
    statemachine::AppendFile chunk{id,
                                   caller.team,
                                   start,
                                   content.substr(start, end - start),
                                   end == content.size(),
                                   0};
    control::RequireOk(context.control.Run(chunk, kControlCallTimeout));
    start = end;
  }
  SetJson(response, {{"id", id},
                     {"object", "file"},
                     {"bytes", content.size()},
                     {"items", items},
                     {"created_at", WallNow() / 1000},
                     {"filename", request.has_file("file")
                                      ? request.get_file_value("file").filename
                                      : std::string("items.jsonl")},
                     {"purpose", "batch"}});
}

/// Streams parts until `next` returns none. `next` may return an empty part.
void StreamParts(EntryContext& context, httplib::Response& response,
                 std::function<std::optional<std::string>()> next) {
  auto shared = std::make_shared<std::function<std::optional<std::string>()>>(
      std::move(next));
  response.set_chunked_content_provider(
      "application/jsonl",
      [shared, open = std::make_shared<OpenAnswer>(context)](
          std::size_t, httplib::DataSink& sink) {
        try {
          const std::optional<std::string> part = (*shared)();
          if (!part.has_value()) {
            sink.done();
            return true;
          }
          return part->empty() || sink.write(part->data(), part->size());
        } catch (const ResultError&) {
          // The connection closes without its last chunk, which shows the
          // caller that the answer is truncated.
          return false;
        }
      });
}

void StreamResults(EntryContext& context, const std::string& team,
                   const std::string& job, bool errors,
                   httplib::Response& response) {
  // The first part is read before the response starts, so that an unknown job
  // gives a proper error response.
  const auto read = [&context, team, job, errors](std::uint32_t from) {
    const auto reply = context.control.Ask(
        control::QueryResults{job, team, errors, from}, kControlCallTimeout);
    control::RequireOk(reply);
    return DecodeMessage<control::ResultsReply>(reply.body);
  };
  auto part = std::make_shared<control::ResultsReply>(read(0));
  auto finished = std::make_shared<bool>(false);
  StreamParts(context, response,
              [read, part, finished]() -> std::optional<std::string> {
                if (*finished) {
                  return std::nullopt;
                }
                std::string lines = std::move(part->lines);
                if (part->next_item >= part->items) {
                  *finished = true;
                } else {
                  *part = read(part->next_item);
                }
                return lines;
              });
}

void StreamFile(EntryContext& context, const std::string& team,
                const std::string& file, httplib::Response& response) {
  const auto read = [&context, team, file](std::uint64_t at) {
    const auto reply = context.control.Ask(control::QueryFile{file, team, at},
                                           kControlCallTimeout);
    control::RequireOk(reply);
    return DecodeMessage<control::FileReply>(reply.body);
  };
  auto part = std::make_shared<control::FileReply>(read(0));
  auto sent = std::make_shared<std::uint64_t>(0);
  StreamParts(context, response,
              [read, part, sent]() -> std::optional<std::string> {
                if (*sent >= part->size || part->bytes.empty()) {
                  return std::nullopt;
                }
                std::string bytes = std::move(part->bytes);
                *sent += bytes.size();
                if (*sent < part->size) {
                  *part = read(*sent);
                }
                return bytes;
              });
}

void ReadContent(EntryContext& context, const httplib::Request& request,
                 httplib::Response& response) {
  const CallerContext caller = ReadCaller(request);
  const std::string id = request.matches[1].str();
  if (id.starts_with(kOutputPrefix)) {
    StreamResults(context, caller.team, id.substr(kOutputPrefix.size()), false,
                  response);
  } else if (id.starts_with(kErrorPrefix)) {
    StreamResults(context, caller.team, id.substr(kErrorPrefix.size()), true,
                  response);
  } else {
    StreamFile(context, caller.team, id, response);
  }
}

const char* StatusOf(const jobs::JobSummary& job) {
  switch (job.State()) {
    case jobs::JobState::kRunning:
      return "in_progress";
    case jobs::JobState::kCompleted:
      return "completed";
    case jobs::JobState::kCancelled:
      return "cancelled";
  }
  return "in_progress";
}

nlohmann::json JobToJson(const jobs::JobSummary& job) {
  const jobs::JobRequest& request = job.request;
  nlohmann::json shown = {
      {"id", request.id},
      {"object", "batch"},
      {"status", StatusOf(job)},
      {"service", request.service},
      {"work", request.work},
      {"input_file_id", request.file},
      {"output_file_id", std::string(kOutputPrefix) + request.id},
      {"error_file_id", std::string(kErrorPrefix) + request.id},
      {"created_at", request.created_ms / 1000},
      {"expires_at", request.due_ms / 1000},
      {"idempotency_key", request.key},
      {"request_counts",
       {{"total", job.items}, {"completed", job.done}, {"failed", job.failed}}},
      {"running", job.leased},
      {"attempts", job.attempts}};
  if (job.State() != jobs::JobState::kRunning) {
    shown["finished_at"] = job.finished_ms / 1000;
  }
  return shown;
}

std::string ServiceFrom(const nlohmann::json& body) {
  if (body.contains("service") && body["service"].is_string()) {
    return body["service"].get<std::string>();
  }
  if (body.contains("metadata") && body["metadata"].is_object()) {
    return body["metadata"].value("service", "");
  }
  return {};
}

void CreateBatch(EntryContext& context, const httplib::Request& request,
                 httplib::Response& response) {
  const CallerContext caller = ReadCaller(request);
  if (caller.idempotency_key.empty()) {
    throw ResultError(ResultCode::kBadInput,
                      "header Idempotency-Key: a job needs one, so that "
                      "sending it again cannot double it");
  }
  const nlohmann::json body = ParseJson(request.body, "body");
  if (!body.is_object() || !body.contains("input_file_id") ||
      !body["input_file_id"].is_string()) {
    throw ResultError(ResultCode::kBadInput,
                      "[/input_file_id] expected the id of a file");
  }
  const std::string name = ServiceFrom(body);
  const std::optional<KnownService> service = context.fleet.FindService(name);
  if (!service.has_value()) {
    throw ResultError(ResultCode::kNotFound,
                      "[/service] no such service: \"" + name + "\"");
  }
  const std::string work_name = body.value("work", caller.work);
  const documents::WorkKind* work =
      service->document.FindWork(work_name, documents::WorkClass::kBatch);
  if (work == nullptr) {
    throw ResultError(ResultCode::kBadInput,
                      "[/work] service " + service->document.service +
                          " accepts no batch work called \"" + work_name +
                          "\"");
  }
  statemachine::CreateJob command;
  command.request.id = NewId("batch-");
  command.request.owner = caller.team;
  command.request.key = caller.idempotency_key;
  command.request.service = service->document.service;
  command.request.work = work->name;
  command.request.file = body["input_file_id"].get<std::string>();
  command.request.created_ms = WallNow();
  command.request.due_ms =
      command.request.created_ms + work->due_in.count() * 1000;
  command.request.max_attempts = work->max_attempts;
  command.request.max_items = work->max_items;
  command.request.keep_days = service->document.keep_results_days;
  command.request.repeatable = work->repeatable;
  const statemachine::CommandReply reply =
      context.control.Run(command, kControlCallTimeout);
  control::RequireOk(reply);
  context.metrics.Add("http_batches_total");
  SetJson(response, JobToJson(DecodeMessage<jobs::JobSummary>(reply.body)));
}

void ListBatches(EntryContext& context, const httplib::Request& request,
                 httplib::Response& response) {
  const auto reply = context.control.Ask(
      control::QueryJobs{ReadCaller(request).team}, kControlCallTimeout);
  control::RequireOk(reply);
  nlohmann::json list = nlohmann::json::array();
  for (const auto& job :
       DecodeMessage<std::vector<jobs::JobSummary>>(reply.body)) {
    list.push_back(JobToJson(job));
  }
  SetJson(response, {{"object", "list"}, {"data", list}, {"has_more", false}});
}

}  // namespace

void AddBatchApi(httplib::Server& server, EntryContext& context) {
  const GuardedRoutes guarded(context);
  server.Post("/v1/files", guarded(Upload));
  server.Get(R"(/v1/files/([^/]+)/content)", guarded(ReadContent));
  server.Post("/v1/batches", guarded(CreateBatch));
  server.Get("/v1/batches", guarded(ListBatches));
  server.Get(R"(/v1/batches/([^/]+))",
             guarded([](EntryContext& shared, const httplib::Request& request,
                        httplib::Response& response) {
               const auto reply = shared.control.Ask(
                   control::QueryJob{request.matches[1].str(),
                                     ReadCaller(request).team},
                   kControlCallTimeout);
               control::RequireOk(reply);
               SetJson(response,
                       JobToJson(DecodeMessage<jobs::JobSummary>(reply.body)));
             }));
  server.Post(R"(/v1/batches/([^/]+)/cancel)",
              guarded([](EntryContext& shared, const httplib::Request& request,
                         httplib::Response& response) {
                const auto reply = shared.control.Run(
                    statemachine::CancelJob{request.matches[1].str(),
                                            ReadCaller(request).team, 0},
                    kControlCallTimeout);
                control::RequireOk(reply);
                SetJson(response,
                        JobToJson(DecodeMessage<jobs::JobSummary>(reply.body)));
              }));
}

}  // namespace papayarack::entry
