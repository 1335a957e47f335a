#include "nodes/operatorfront.h"

#include <chrono>
#include <utility>

#include "global/logging.h"
#include "global/transfertime.h"
#include "global/variantcodec.h"
#include "nodes/plainresponses.h"

namespace papayarack::nodes {
namespace {

/// Operators move on after a second without an answer to a small call.
constexpr std::chrono::milliseconds kOperatorTime{900};
constexpr std::chrono::milliseconds kOperatorTry{450};

}  // namespace

OperatorFront::OperatorFront(NodeRuntime& runtime) : runtime(runtime) {
  this->Listen();
}

void OperatorFront::Listen() {
  if (!this->runtime.options.control.has_value()) {
    return;
  }
  http::HttpServerHandlers handlers;
  handlers.on_request = [this](http::ExchangeId exchange,
                               const http::HttpRequest& request) {
    this->OnRequest(exchange, request);
  };
  handlers.on_gone = [](http::ExchangeId) {};
  this->control = std::make_unique<http::HttpServer>(
      this->runtime.context, *this->runtime.options.control,
      http::HttpServerLimits{}, std::move(handlers));
}

void OperatorFront::CallCoordination(
    http::ExchangeId exchange, const std::string& path, std::string body,
    std::function<http::HttpResponse(const Result&, std::string)> answer) {
  // Whoever sends a large configuration waits longer for its answer; at the
  // time of a small one a single attempt would use up the call. The text moves
  // twice before that: to the leader, and on to whoever is to obey it.
  const std::chrono::milliseconds carry = TransferTime(body.size());
  this->runtime.coordination->Call(
      path, std::move(body), kOperatorTime + 2 * carry, kOperatorTry + carry,
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

void OperatorFront::OnRequest(http::ExchangeId exchange,
                              const http::HttpRequest& request) {
  OperatorCall call;
  try {
    call = this->runtime.dialect.read_operator_call(request);
  } catch (const ResultError& error) {
    Log(LogLevel::kInfo, "operator_call_refused", {{"text", error.what()}});
    this->control->Respond(exchange, Plain(kBadRequest));
    return;
  }
  std::visit(Overloaded{[&](const std::monostate&) {
                          this->control->Respond(exchange,
                                                 Plain(kNotFoundStatus));
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

void OperatorFront::OnReplace(http::ExchangeId exchange,
                              const ReplaceConfigurationCall& call) {
  const coordination::SubmitConfiguration command{call.version, call.text};
  this->CallCoordination(exchange, "/coordination/submit",
                         EncodeMessage(command),
                         [](const Result& result, const std::string&) {
                           return Plain(StatusOf(result.code, kOk));
                         });
}

/// The leader says which version is the newest; its text mostly is here.
void OperatorFront::OnReadConfiguration(http::ExchangeId exchange) {
  const auto& known = this->runtime.watch->knowledge();
  this->CallCoordination(
      exchange, "/coordination/read",
      EncodeMessage(coordination::ReadConfiguration{known.config_version}),
      [held = known.config_version, text = known.config](
          const Result& result, const std::string& body) {
        if (!result.Ok()) {
          return Plain(StatusOf(result.code, kOk));
        }
        auto found = DecodeMessage<coordination::SubmitConfiguration>(body);
        if (found.version == held) {
          found.text = text;
        }
        return found.text.empty() ? Plain(kServiceUnavailable)
                                  : Json(found.text);
      });
}

void OperatorFront::OnEmptyStore(http::ExchangeId exchange,
                                 const std::string& name) {
  this->CallCoordination(exchange, "/coordination/empty-store",
                         EncodeMessage(coordination::EmptyStore{name}),
                         [](const Result& result, const std::string&) {
                           return Plain(StatusOf(result.code, kOk));
                         });
}

void OperatorFront::OnReadStore(http::ExchangeId exchange,
                                const std::string& name) {
  this->CallCoordination(
      exchange, "/coordination/read-store",
      EncodeMessage(coordination::ReadQuery{name}),
      [this](const Result& result, const std::string& body) {
        if (!result.Ok()) {
          return Plain(StatusOf(result.code, kOk));
        }
        const auto state = DecodeMessage<coordination::StoreState>(body);
        return state.leaving ? Json(this->runtime.dialect.write_store(state))
                             : Plain(kNotFoundStatus);
      });
}

}  // namespace papayarack::nodes
