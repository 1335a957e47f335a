#include "nodes/batchapi.h"

#include <algorithm>
#include <utility>

#include "global/logging.h"
#include "global/variantcodec.h"
#include "nodes/itemrequest.h"
#include "nodes/plainresponses.h"

namespace papayarack::nodes {
namespace {

/// Call timeout. Callers of batches wait 1.5 s longer than the wait they
/// request.
constexpr std::chrono::milliseconds kBatchTime{1300};
constexpr std::chrono::milliseconds kBatchAttemptTime{600};
constexpr const char* kReadPath = "/jobs/read";
constexpr const char* kBodyPath = "/jobs/body";

/// An end of a batch needs no quota, so that a busy leader's refusal is no 429.
int EndStatusOf(ResultCode code) {
  return code == ResultCode::kOverloaded ? kServiceUnavailable
                                         : HttpStatusOf(code, kOk);
}

}  // namespace

BatchApi::BatchApi(NodeRuntime& runtime, http::HttpServer& front)
    : runtime(runtime), front(front) {}

bool BatchApi::CallerGone(http::ExchangeId exchange) {
  const auto found = this->job_calls.find(exchange);
  if (found == this->job_calls.end()) {
    return false;
  }
  const OpenCall& open = found->second;
  Log(LogLevel::kInfo, "batch_call_abandoned",
      {{"call", open.path},
       {"batch", open.about.batch},
       {"item", open.about.item},
       {"after_ms", (MonotonicNow() - open.begun).count() / 1000}});
  this->runtime.jobs->Cancel(open.call);
  this->job_calls.erase(found);
  return true;
}

void BatchApi::AnswerOpen() {
  for (const auto& [exchange, open] : std::exchange(this->job_calls, {})) {
    this->runtime.jobs->Cancel(open.call);
    const bool reads = open.path == kReadPath || open.path == kBodyPath;
    Log(LogLevel::kInfo, "batch_call_refused",
        {{"call", open.path},
         {"batch", open.about.batch},
         {"item", open.about.item},
         {"text", "this process ends"},
         {"took_ms", (MonotonicNow() - open.begun).count() / 1000}});
    this->front.Respond(
        exchange, reads ? ElsewhereResponse() : EmptyResponse(kBadGateway));
  }
}

std::chrono::milliseconds BatchApi::WaitFor(std::uint32_t wanted_ms) const {
  const std::chrono::milliseconds wanted(wanted_ms);
  if (!this->answer_by.has_value()) {
    return wanted;
  }
  const auto left = std::chrono::floor<std::chrono::milliseconds>(
      *this->answer_by - MonotonicNow() - kBatchTime);
  return std::clamp(left, std::chrono::milliseconds(0), wanted);
}

void BatchApi::CallJobs(
    http::ExchangeId exchange, JobCall job,
    std::function<http::HttpResponse(const Result&, std::string)> answer) {
  // The callback may run before `call` is assigned.
  const auto ended = std::make_shared<bool>(false);
  const Time begun = MonotonicNow();
  const std::uint64_t call = this->runtime.jobs->Call(
      job.path, std::move(job.body), job.time,
      std::min(job.time, kBatchAttemptTime + job.time - kBatchTime),
      [this, exchange, ended, begun, path = job.path, about = job.about,
       answer = std::move(answer)](const Result& result, std::string reply) {
        *ended = true;
        this->job_calls.erase(exchange);
        const http::HttpResponse response = answer(result, std::move(reply));
        if (response.status >= kNotFoundStatus) {
          Log(LogLevel::kInfo, "batch_call_refused",
              {{"call", path},
               {"batch", about.batch},
               {"item", about.item},
               {"status", response.status},
               {"code", static_cast<int>(result.code)},
               {"text", result.text},
               {"took_ms", (MonotonicNow() - begun).count() / 1000}});
        }
        this->front.Respond(exchange, response);
      });
  if (!*ended) {
    this->job_calls[exchange] = {call, job.path, job.about, begun};
  }
}

void BatchApi::Submit(http::ExchangeId exchange,
                      const http::HttpRequest& request,
                      const routes::Route& route, Submitter submitter) {
  batches::SubmitBatch batch;
  try {
    batch = this->runtime.dialect.read_batch(request);
  } catch (const ResultError& error) {
    Log(LogLevel::kInfo, "batch_unreadable", {{"text", error.what()}});
    this->front.Respond(exchange, EmptyResponse(kBadRequest));
    return;
  }
  if (!std::ranges::all_of(batch.items, IsSendable)) {
    Log(LogLevel::kInfo, "batch_unreadable",
        {{"batch", batch.id},
         {"text", "an item's id, path or headers cannot be sent"}});
    this->front.Respond(exchange, EmptyResponse(kBadRequest));
    return;
  }
  batch.organisation = std::move(submitter.organisation);
  batch.key_holder = std::move(submitter.key_holder);
  batch.host = route.host;
  batch.route_key = route.Key();
  batch.max_waiting_tokens = route.batch.max_waiting_tokens;
  batch.config_version = this->runtime.table->configuration().version;
  this->CallJobs(
      exchange,
      {"/jobs/submit", EncodeMessage(batch), kBatchTime, {batch.id, {}}},
      [](const Result& result, const std::string&) {
        return EmptyResponse(HttpStatusOf(result.code, kAccepted));
      });
}

void BatchApi::Answer(http::ExchangeId exchange, const BatchCall& call,
                      const organisations::BatchCaller& caller) {
  const auto status_of = [hidden = caller.rejected](int status) {
    return hidden && status == kNotFoundStatus ? kUnauthorized : status;
  };
  std::visit(
      Overloaded{
          [](const std::monostate&) {},
          [&](const BatchResultsCall& read) {
            const std::chrono::milliseconds wait =
                this->WaitFor(read.query.wait_ms);
            const std::chrono::milliseconds time = kBatchTime + wait;
            batches::ReadResults query = read.query;
            query.wait_ms = static_cast<std::uint32_t>(wait.count());
            query.organisation = caller.organisation;
            this->CallJobs(
                exchange,
                {kReadPath, EncodeMessage(query), time, {read.query.id, {}}},
                [this, status_of](const Result& result,
                                  const std::string& body) {
                  if (!result.Ok()) {
                    return EmptyResponse(status_of(ReadStatusOf(result.code)));
                  }
                  return JsonResponse(this->runtime.dialect.write_results(
                      DecodeMessage<batches::ResultPage>(body)));
                });
          },
          [&](const BatchBodyCall& read) {
            batches::ReadItemBody query = read.query;
            query.organisation = caller.organisation;
            this->CallJobs(exchange,
                           {kBodyPath,
                            EncodeMessage(query),
                            kBatchTime,
                            {read.query.batch, read.query.item}},
                           [status_of](const Result& result, std::string body) {
                             http::HttpResponse response = EmptyResponse(
                                 status_of(ReadStatusOf(result.code)));
                             response.body = result.Ok() ? std::move(body) : "";
                             return response;
                           });
          },
          [&](const BatchEndCall& end) {
            this->CallJobs(
                exchange,
                {"/jobs/end",
                 EncodeMessage(batches::EndBatch{end.id, caller.organisation}),
                 kBatchTime,
                 {end.id, {}}},
                [status_of](const Result& result, const std::string&) {
                  return EmptyResponse(status_of(EndStatusOf(result.code)));
                });
          }},
      call);
}

}  // namespace papayarack::nodes
