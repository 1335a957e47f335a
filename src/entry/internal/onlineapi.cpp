#include "entry/internal/onlineapi.h"

#include <fmt/format.h>

#include <memory>
#include <utility>

#include "entry/internal/callercontext.h"
#include "entry/internal/httperror.h"
#include "entry/onlinecall.h"
#include "global/hash.h"
#include "global/jsonschema.h"
#include "global/logging.h"
#include "global/variantcodec.h"

namespace papayarack::entry {
namespace {

constexpr std::size_t kPrefixBytes = 256;
constexpr std::size_t kBytesPerToken = 4;
constexpr std::int64_t kClaimRetentionMs = 24LL * 3600 * 1000;
constexpr std::size_t kMaxStoredAnswerBytes = 256U << 10U;

/// One caller's request, completed with the settings of its service document.
struct PreparedRequest {
  CallerContext caller;
  gate::OnlineRequest request;
  bool repeatable = true;
  std::uint64_t prefix_hash = 0;
};

/// The claim on the idempotency key of a request that may not be repeated,
/// until control has recorded its end.
struct OpenClaim {
  std::string owner;
  std::string key;
  std::string claim_id;
};

void ApplyDocument(PreparedRequest& prepared, const KnownService& service) {
  const documents::WorkKind* work = service.document.FindWork(
      prepared.caller.work, documents::WorkClass::kOnline);
  if (work == nullptr) {
    throw ResultError(ResultCode::kBadInput,
                      "service " + service.document.service +
                          " accepts no online work called \"" +
                          prepared.caller.work + "\"");
  }
  prepared.request.id = prepared.caller.request_id;
  prepared.request.caller = prepared.caller.team;
  prepared.request.service = service.document.service;
  prepared.request.work = work->name;
  prepared.request.deadline_ms =
      prepared.caller.deadline_ms.value_or(work->deadline.count());
  prepared.repeatable = prepared.caller.repeatable.value_or(work->repeatable);
}

/// Hash of the part of the prompt that callers may share: the beginning of the
/// first message or of the prompt.
std::uint64_t PrefixHashOf(const nlohmann::json& body) {
  std::string prefix;
  if (body.contains("messages") && body["messages"].is_array() &&
      !body["messages"].empty()) {
    prefix = body["messages"][0].dump();
  } else if (body.contains("prompt")) {
    prefix = body["prompt"].dump();
  }
  return prefix.empty() ? 0 : Hash64(prefix.substr(0, kPrefixBytes));
}

PreparedRequest PrepareCompletion(EntryContext& context,
                                  const httplib::Request& http) {
  PreparedRequest prepared;
  prepared.caller = ReadCaller(http);
  const nlohmann::json body = ParseJson(http.body, "body");
  if (!body.is_object() || !body.contains("model") ||
      !body["model"].is_string()) {
    throw ResultError(ResultCode::kBadInput,
                      "[/model] expected the name of a model or service");
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    throw ResultError(ResultCode::kBadInput,
                      "[/stream] expected true or false");
  }
  const std::string model = body["model"].get<std::string>();
  const std::optional<KnownService> service = context.fleet.FindService(model);
  if (!service.has_value() || service->document.kind != "engine") {
    throw ResultError(ResultCode::kNotFound,
                      "[/model] no service runs the model " + model);
  }
  ApplyDocument(prepared, *service);
  prepared.prefix_hash = PrefixHashOf(body);
  prepared.request.method = "POST";
  prepared.request.target = http.path;
  prepared.request.content_type = "application/json";
  prepared.request.stream = body.value("stream", false);
  prepared.request.prompt_tokens =
      static_cast<std::uint32_t>(http.body.size() / kBytesPerToken);
  prepared.request.body = http.body;
  return prepared;
}

PreparedRequest PreparePlain(EntryContext& context,
                             const httplib::Request& http) {
  PreparedRequest prepared;
  prepared.caller = ReadCaller(http);
  const std::string name = http.matches[1].str();
  const std::optional<KnownService> service = context.fleet.FindService(name);
  if (!service.has_value() || service->document.kind != "plain") {
    throw ResultError(ResultCode::kNotFound, "no plain service called " + name);
  }
  ApplyDocument(prepared, *service);
  prepared.request.method = http.method;
  prepared.request.target = "/" + http.matches[2].str();
  const std::size_t query = http.target.find('?');
  if (query != std::string::npos) {
    prepared.request.target += http.target.substr(query);
  }
  prepared.request.content_type = http.get_header_value("Content-Type");
  prepared.request.body = http.body;
  return prepared;
}

/// Claims the idempotency key of a request that may not be repeated, before
/// anything is sent to a gate. Returns nothing if no claim is needed. Throws if
/// the request must not proceed; sets `answered` if an earlier answer exists
/// for the key.
std::optional<OpenClaim> ClaimKey(
    EntryContext& context, const PreparedRequest& prepared,
    std::optional<claims::ClaimOutcome>& answered) {
  if (prepared.repeatable || prepared.caller.idempotency_key.empty()) {
    return std::nullopt;
  }
  OpenClaim claim{prepared.caller.team, prepared.caller.idempotency_key,
                  prepared.caller.request_id};
  statemachine::MakeClaim command;
  command.request.owner = claim.owner;
  command.request.key = claim.key;
  command.request.claim_id = claim.claim_id;
  command.request.content_hash =
      Sha256Hex(prepared.request.method + prepared.request.service +
                prepared.request.target + prepared.request.body);
  command.request.keep_ms = kClaimRetentionMs;
  command.request.deadline_ms = prepared.request.deadline_ms;
  const statemachine::CommandReply reply =
      context.control.Run(command, kControlCallTimeout);
  control::RequireOk(reply);
  auto outcome = DecodeMessage<claims::ClaimOutcome>(reply.body);
  const auto code = static_cast<ResultCode>(outcome.code);
  if (code == ResultCode::kAlreadyDone) {
    answered = std::move(outcome);
    return std::nullopt;
  }
  if (code != ResultCode::kOk) {
    throw ResultError(code, "Idempotency-Key " + claim.key + ": " +
                                std::string(Describe(code).meaning));
  }
  return claim;
}

void EndClaim(EntryContext& context, const std::optional<OpenClaim>& claim,
              claims::ClaimState state, bool not_run, int status,
              const std::string& content_type, const std::string& answer) {
  if (!claim.has_value()) {
    return;
  }
  claims::ClaimEnd end{
      claim->owner,
      claim->key,
      claim->claim_id,
      static_cast<std::uint8_t>(state),
      not_run,
      status,
      content_type,
      answer.size() <= kMaxStoredAnswerBytes ? answer : std::string()};
  try {
    context.control.Run(statemachine::EndClaim{std::move(end)},
                        kControlCallTimeout);
  } catch (const ResultError& error) {
    // The claim stays in the running state and becomes unknown at its deadline,
    // which is safe: the key is never granted again.
    Log(LogLevel::kWarn, "claim_end_lost",
        {{"key", claim->key}, {"reason", error.what()}});
  }
}

void EndFailedClaim(EntryContext& context,
                    const std::optional<OpenClaim>& claim,
                    const CallFailed& failed) {
  EndClaim(context, claim, claims::ClaimState::kUnknown, failed.not_run, 0, {},
           {});
}

void AnswerBuffered(EntryContext& context, PreparedRequest prepared,
                    httplib::Response& response) {
  std::optional<claims::ClaimOutcome> answered;
  const std::optional<OpenClaim> claim = ClaimKey(context, prepared, answered);
  if (answered.has_value()) {
    response.status = answered->status;
    response.set_content(answered->answer, answered->content_type);
    return;
  }
  OnlineCall call(context.fleet, context.client, context.metrics,
                  std::move(prepared.request), prepared.repeatable,
                  prepared.prefix_hash);
  CallHead head;
  std::string body;
  while (true) {
    CallEvent call_event = call.Next();
    if (auto* begin = std::get_if<CallHead>(&call_event)) {
      head = std::move(*begin);
    } else if (auto* bytes = std::get_if<CallBytes>(&call_event)) {
      body += bytes->bytes;
    } else if (auto* failed = std::get_if<CallFailed>(&call_event)) {
      EndFailedClaim(context, claim, *failed);
      SetError(response, failed->result, failed->not_run);
      return;
    } else {
      break;
    }
  }
  EndClaim(context, claim, claims::ClaimState::kAnswered, false, head.status,
           head.content_type, body);
  response.status = head.status;
  response.set_content(body, head.content_type);
}

/// State of a streamed answer between two calls of its content provider.
struct StreamState {
  explicit StreamState(EntryContext& context) : open(context) {}
  OpenAnswer open;
  std::unique_ptr<OnlineCall> call;
  std::optional<OpenClaim> claim;
  std::string stored_answer;
  CallHead head;
  bool ended = false;
};

bool WriteEvent(EntryContext& context, StreamState& state,
                httplib::DataSink& sink) {
  CallEvent call_event = state.call->Next();
  return std::visit(
      Overloaded{
          [](CallHead&) { return true; },
          [&](CallBytes& bytes) {
            if (state.claim.has_value() &&
                state.stored_answer.size() <= kMaxStoredAnswerBytes) {
              state.stored_answer += bytes.bytes;
            }
            return sink.write(bytes.bytes.data(), bytes.bytes.size());
          },
          [&](CallComplete&) {
            state.ended = true;
            EndClaim(context, state.claim, claims::ClaimState::kAnswered, false,
                     state.head.status, state.head.content_type,
                     state.stored_answer);
            sink.done();
            return true;
          },
          [&](CallFailed& failed) {
            // The caller receives an error event and no final event, so a
            // truncated answer never looks complete.
            state.ended = true;
            EndFailedClaim(context, state.claim, failed);
            const std::string event =
                "data: " + ErrorBody(failed.result, failed.not_run).dump() +
                "\n\n";
            sink.write(event.data(), event.size());
            return false;
          },
      },
      call_event);
}

void AnswerStream(EntryContext& context, PreparedRequest prepared,
                  httplib::Response& response) {
  std::optional<claims::ClaimOutcome> answered;
  auto state = std::make_shared<StreamState>(context);
  state->claim = ClaimKey(context, prepared, answered);
  if (answered.has_value()) {
    response.status = answered->status;
    response.set_content(answered->answer, answered->content_type);
    return;
  }
  state->call = std::make_unique<OnlineCall>(
      context.fleet, context.client, context.metrics,
      std::move(prepared.request), prepared.repeatable, prepared.prefix_hash);
  CallEvent first = state->call->Next();
  if (const auto* failed = std::get_if<CallFailed>(&first)) {
    EndFailedClaim(context, state->claim, *failed);
    SetError(response, failed->result, failed->not_run);
    return;
  }
  if (auto* head = std::get_if<CallHead>(&first)) {
    state->head = std::move(*head);
  }
  response.status = state->head.status;
  response.set_chunked_content_provider(
      state->head.content_type,
      [&context, state](std::size_t, httplib::DataSink& sink) {
        return WriteEvent(context, *state, sink);
      },
      [&context, state](bool) {
        if (!state->ended) {
          EndClaim(context, state->claim, claims::ClaimState::kUnknown, false,
                   0, {}, {});
        }
        state->call.reset();
      });
}

void Answer(EntryContext& context, PreparedRequest prepared,
            httplib::Response& response) {
  const OpenAnswer open(context);
  response.set_header(header::kRequestId, prepared.caller.request_id);
  const Time received_at = MonotonicNow();
  if (prepared.request.stream) {
    AnswerStream(context, std::move(prepared), response);
  } else {
    AnswerBuffered(context, std::move(prepared), response);
  }
  context.metrics.Add("http_online_requests_total");
  context.metrics.Observe("http_online_first_answer_seconds",
                          ToSeconds(MonotonicNow() - received_at));
}

}  // namespace

void AddOnlineApi(httplib::Server& server, EntryContext& context) {
  const auto complete = [&context](const httplib::Request& request,
                                   httplib::Response& response) {
    Guarded(response, [&] {
      Answer(context, PrepareCompletion(context, request), response);
    });
  };
  server.Post("/v1/chat/completions", complete);
  server.Post("/v1/completions", complete);
  const auto plain = [&context](const httplib::Request& request,
                                httplib::Response& response) {
    Guarded(response,
            [&] { Answer(context, PreparePlain(context, request), response); });
  };
  constexpr const char* kPlain = R"(/services/([^/]+)/(.*))";
  server.Get(kPlain, plain);
  server.Post(kPlain, plain);
  server.Put(kPlain, plain);
  server.Patch(kPlain, plain);
  server.Delete(kPlain, plain);
  server.Get("/v1/models", [&context](const httplib::Request&,
                                      httplib::Response& response) {
    nlohmann::json models = nlohmann::json::array();
    for (const KnownService& service : context.fleet.Services()) {
      for (const documents::ModelSpec& model : service.document.models) {
        models.push_back({{"id", model.name},
                          {"object", "model"},
                          {"owned_by", service.document.owner},
                          {"version", model.version},
                          {"service", service.document.service}});
      }
    }
    SetJson(response, {{"object", "list"}, {"data", models}});
  });
}

}  // namespace papayarack::entry
