#include "nodes/operatorapi.h"

#include <chrono>
#include <utility>

#include "global/logging.h"
#include "global/transfertime.h"
#include "global/variantcodec.h"
#include "nodes/plainresponses.h"

namespace papayarack::nodes {
namespace {

/// Operators' clients give up after a second without an answer to a small call.
constexpr std::chrono::milliseconds kOperatorTime{900};
constexpr std::chrono::milliseconds kOperatorAttemptTime{450};

}  // namespace

OperatorApi::OperatorApi(NodeRuntime& runtime) : runtime(runtime) {
  this->Listen();
}

void OperatorApi::Listen() {
  if (!this->runtime.options.control.has_value()) {
    return;
  }
  http::HttpServerHandlers handlers;
  handlers.on_request = [this](http::ExchangeId exchange,
                               const http::HttpRequest& request) {
    this->OnRequest(exchange, request);
  };
  handlers.on_gone = [](http::ExchangeId) {};
  handlers.on_cut = this->runtime.request_counts.CutReporter("control");
  this->control = std::make_unique<http::HttpServer>(
      this->runtime.context, *this->runtime.options.control,
      LimitsForOthers(this->runtime.caller_room), std::move(handlers),
      &this->runtime.request_memory);
  this->runtime.request_counts.Include("control", *this->control);
}

void OperatorApi::BeginLeave() {
  if (this->control != nullptr) {
    this->control->BeginLeave();
  }
}

void OperatorApi::RefuseNew() {
  this->refusing = true;
  if (this->control != nullptr) {
    this->control->StopAccepting();
  }
}

std::size_t OperatorApi::OpenConnections() const {
  return this->control == nullptr ? 0 : this->control->OpenConnections();
}

void OperatorApi::CallCoordination(
    http::ExchangeId exchange, const std::string& path, std::string body,
    std::function<http::HttpResponse(const Result&, std::string)> answer) {
  // Clients wait longer for the answer to a large configuration, and with the
  // timeout of a small one a single attempt would use up the call. The text is
  // transferred twice before the answer: to the leader and to the processes
  // that apply it.
  const std::chrono::milliseconds carry = TransferTime(body.size());
  this->runtime.coordination->Call(
      path, std::move(body), kOperatorTime + 2 * carry,
      kOperatorAttemptTime + carry,
      [this, exchange, path, begun = MonotonicNow(),
       answer = std::move(answer)](const Result& result, std::string reply) {
        const http::HttpResponse response = answer(result, std::move(reply));
        Log(LogLevel::kInfo, "operator_call",
            {{"call", path},
             {"took_ms", (MonotonicNow() - begun).count() / 1000},
             {"status", response.status},
             {"code", static_cast<int>(result.code)}});
        this->control->Respond(exchange, response);
      });
}

void OperatorApi::OnRequest(http::ExchangeId exchange,
                            const http::HttpRequest& request) {
  if (this->refusing) {
    Log(LogLevel::kInfo, "operator_call_refused",
        {{"text", "this process is leaving"}});
    this->control->Respond(exchange, EmptyResponse(kServiceUnavailable));
    return;
  }
  OperatorCall call;
  try {
    call = this->runtime.dialect.read_operator_call(request);
  } catch (const ResultError& error) {
    Log(LogLevel::kInfo, "operator_call_refused", {{"text", error.what()}});
    this->control->Respond(exchange, EmptyResponse(kBadRequest));
    return;
  }
  std::visit(Overloaded{[&](const std::monostate&) {
                          this->control->Respond(
                              exchange, EmptyResponse(kNotFoundStatus));
                        },
                        [&](const ReplaceConfigurationCall& replace) {
                          this->OnReplace(exchange, replace);
                        },
                        [&](const ReadConfigurationCall&) {
                          this->OnReadConfiguration(exchange);
                        },
                        [&](const EmptyStoreCall& empty) {
                          this->OnEmptyStore(exchange, empty.name);
                        },
                        [&](const ReadStoreCall& read) {
                          this->OnReadStore(exchange, read.name);
                        }},
             call);
}

void OperatorApi::OnReplace(http::ExchangeId exchange,
                            const ReplaceConfigurationCall& call) {
  const coordination::SubmitConfiguration command{call.version, call.text};
  this->CallCoordination(exchange, "/coordination/submit",
                         EncodeMessage(command),
                         [](const Result& result, const std::string&) {
                           return EmptyResponse(HttpStatusOf(result.code, kOk));
                         });
}

/// The leader tells the newest version; its text is usually known here.
void OperatorApi::OnReadConfiguration(http::ExchangeId exchange) {
  const auto& known = this->runtime.watch->knowledge();
  this->CallCoordination(
      exchange, "/coordination/read",
      EncodeMessage(coordination::ReadConfiguration{known.config_version}),
      [held = known.config_version, text = known.config](
          const Result& result, const std::string& body) {
        if (!result.Ok()) {
          return EmptyResponse(ReadStatusOf(result.code));
        }
        auto found = DecodeMessage<coordination::SubmitConfiguration>(body);
        if (found.version == held) {
          found.text = text;
        }
        return found.text.empty() ? EmptyResponse(kServiceUnavailable)
                                  : JsonResponse(found.text);
      });
}

void OperatorApi::OnEmptyStore(http::ExchangeId exchange,
                               const std::string& name) {
  this->CallCoordination(exchange, "/coordination/empty-store",
                         EncodeMessage(coordination::EmptyStore{name}),
                         [](const Result& result, const std::string&) {
                           return EmptyResponse(HttpStatusOf(result.code, kOk));
                         });
}

void OperatorApi::OnReadStore(http::ExchangeId exchange,
                              const std::string& name) {
  this->CallCoordination(
      exchange, "/coordination/read-store",
      EncodeMessage(coordination::ReadQuery{name}),
      [this](const Result& result, const std::string& body) {
        if (!result.Ok()) {
          return EmptyResponse(ReadStatusOf(result.code));
        }
        const auto state = DecodeMessage<coordination::StoreState>(body);
        return state.leaving
                   ? JsonResponse(this->runtime.dialect.write_store(state))
                   : EmptyResponse(kNotFoundStatus);
      });
}

}  // namespace papayarack::nodes
