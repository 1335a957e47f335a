// A stand-in for a model engine that implements the engines' published HTTP
// API. For tests only; not installed.
#include <httplib.h>
#include <popt.h>
#include <unistd.h>

#include <atomic>
#include <iostream>
#include <nlohmann/json.hpp>

#include "enginemodel.h"
#include "global/hash.h"
#include "global/settings.h"
#include "introspection/httplisten.h"

namespace papayarack::standins {
namespace {

constexpr std::uint32_t kFewestTokens = 8;
constexpr std::uint32_t kTokenSpread = 24;
constexpr std::size_t kExtraThreads = 32;

std::string PromptOf(const nlohmann::json& body) {
  if (body.contains("messages")) {
    return body["messages"].dump();
  }
  return body.contains("prompt") ? body["prompt"].dump() : body.dump();
}

void Refuse(httplib::Response& response, int status,
            const std::string& message) {
  response.status = status;
  response.set_content(nlohmann::json({{"error",
                                        {{"message", message},
                                         {"type", "invalid_request_error"}}}})
                           .dump(),
                       "application/json");
}

std::string Event(const std::string& id, bool chat, const std::string& text,
                  const char* finish_reason) {
  nlohmann::json choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (chat) {
    choice["delta"] = {{"content", text}};
  } else {
    choice["text"] = text;
  }
  if (finish_reason != nullptr) {
    choice["finish_reason"] = finish_reason;
  }
  const nlohmann::json event = {
      {"id", id},
      {"object", chat ? "chat.completion.chunk" : "text_completion"},
      {"choices", nlohmann::json::array({choice})}};
  return "data: " + event.dump() + "\n\n";
}

/// Registers the HTTP handlers of the engine.
class EngineApi {
 public:
  EngineApi(httplib::Server& server, EngineModel& model) : model(model) {
    server.Post("/v1/chat/completions",
                [this](const auto& request, auto& response) {
                  this->Complete(request, response, true);
                });
    server.Post("/v1/completions", [this](const auto& request, auto& response) {
      this->Complete(request, response, false);
    });
    this->AddReports(server);
    this->AddOrders(server);
  }

 private:
  void Complete(const httplib::Request& request, httplib::Response& response,
                bool chat) {
    const nlohmann::json body =
        nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      Refuse(response, 400, "the body is not a JSON object");
      return;
    }
    const std::string prompt = PromptOf(body);
    if (prompt.find("unreadable") != std::string::npos) {
      Refuse(response, 422, "the image cannot be read");
      return;
    }
    std::uint32_t resume_at = 0;
    if (body.contains("resume") && body["resume"].is_object()) {
      resume_at = body["resume"].value("tokens", 0U);
    }
    const std::uint32_t wanted = body.value(
        "max_tokens", kFewestTokens + static_cast<std::uint32_t>(
                                          Hash64(prompt) % kTokenSpread));
    const std::string id = request.get_header_value("X-Request-Id");
    const auto engine_request =
        this->model.Submit(id, prompt, wanted, resume_at);
    if (body.value("stream", false)) {
      this->RespondStream(response, engine_request, chat);
    } else {
      this->RespondComplete(response, engine_request, chat);
    }
  }

  void RespondStream(httplib::Response& response,
                     const std::shared_ptr<EngineRequest>& engine_request,
                     bool chat) {
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, engine_request, chat](std::size_t, httplib::DataSink& sink) {
          std::string token;
          if (this->model.NextToken(*engine_request, token)) {
            const std::string event =
                Event(engine_request->id, chat, token, nullptr);
            return sink.write(event.data(), event.size());
          }
          if (engine_request->cancelled) {
            return false;
          }
          const std::string last =
              Event(engine_request->id, chat, "", "stop") + "data: [DONE]\n\n";
          sink.write(last.data(), last.size());
          sink.done();
          return true;
        },
        [this, engine_request](bool) { this->model.Cancel(*engine_request); });
  }

  void RespondComplete(httplib::Response& response,
                       const std::shared_ptr<EngineRequest>& engine_request,
                       bool chat) {
    std::string text;
    std::string token;
    while (this->model.NextToken(*engine_request, token)) {
      text += token;
    }
    nlohmann::json choice = {{"index", 0}, {"finish_reason", "stop"}};
    if (chat) {
      choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
      choice["text"] = text;
    }
    response.set_content(
        nlohmann::json({{"id", engine_request->id},
                        {"choices", nlohmann::json::array({choice})}})
            .dump(),
        "application/json");
  }

  void AddReports(httplib::Server& server) {
    server.Get("/health", [](const auto&, auto& response) {
      response.set_content("ok\n", "text/plain");
    });
    server.Get("/load", [this](const auto&, auto& response) {
      response.set_content(this->model.LoadReport(), "application/json");
    });
    server.Get("/counts", [this](const auto&, auto& response) {
      response.set_content(this->model.Counts(), "application/json");
    });
    server.Get("/cache_events", [this](const auto& request, auto& response) {
      const std::string since = request.get_param_value("since");
      response.set_content(
          this->model.CacheEvents(since.empty() ? 0 : std::stoull(since)),
          "application/json");
    });
  }

  void AddOrders(httplib::Server& server) {
    server.Get("/orders", [this](const auto&, auto& response) {
      response.set_content(this->model.Orders(), "application/json");
    });
    server.Post("/orders", [this](const auto& request, auto& response) {
      const nlohmann::json body =
          nlohmann::json::parse(request.body, nullptr, false);
      if (!body.is_object() || !body.contains("order")) {
        Refuse(response, 400, "expected an order");
      } else if (!this->model.Order(body["order"].dump(),
                                    body.value("fence", 0ULL))) {
        Refuse(response, 409, "the order carries an old fencing number");
      }
    });
    server.Get("/kv", [this](const auto& request, auto& response) {
      response.set_content(this->model.ExportCache(
                               std::stoull(request.get_param_value("prefix"))),
                           "application/octet-stream");
    });
    server.Post("/kv", [this](const auto& request, auto&) {
      this->model.ImportCache(request.body);
    });
    server.Post("/faults", [this](const auto& request, auto&) {
      const nlohmann::json body =
          nlohmann::json::parse(request.body, nullptr, false);
      if (body.value("die", false)) {
        _exit(9);
      }
      if (body.value("mute", false)) {
        this->model.MuteAll();
      }
      this->model.SetSlow(body.value("slow", 1.0));
    });
  }

  EngineModel& model;
};

int Main(int argc, const char** argv) {
  EngineOptions options;
  char* listen_text = nullptr;
  int slots = static_cast<int>(options.slots);
  int seed = 1;
  int ignore_fencing = 0;
  poptOption table[] = {
      {"listen", 'l', POPT_ARG_STRING, &listen_text, 0, "address to listen on",
       "HOST:PORT"},
      {"slots", 0, POPT_ARG_INT, &slots, 0, "maximum concurrent requests", "N"},
      {"base-ms", 0, POPT_ARG_DOUBLE, &options.base_ms, 0,
       "duration of a decoding step", "MS"},
      {"knee", 0, POPT_ARG_DOUBLE, &options.knee, 0,
       "running streams above which steps take longer", "N"},
      {"prefill-us", 0, POPT_ARG_DOUBLE, &options.prefill_us_per_token, 0,
       "prefill time per prompt token", "US"},
      {"seed", 0, POPT_ARG_INT, &seed, 0, "random seed", "N"},
      {"ignore-fencing", 0, POPT_ARG_NONE, &ignore_fencing, 0,
       "accept orders with any fencing number", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("standin_engine", argc, argv, table, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed < -1 || listen_text == nullptr) {
    std::cerr << "standin_engine: expected --listen HOST:PORT\n";
    return 2;
  }
  options.slots = static_cast<std::size_t>(slots);
  options.seed = static_cast<std::uint64_t>(seed);
  options.checks_fencing = ignore_fencing == 0;
  const Endpoint listen = ParseEndpoint(listen_text, "--listen");
  EngineModel model(options);
  httplib::Server server;
  server.new_task_queue = [slots] {
    return new httplib::ThreadPool(static_cast<std::size_t>(slots) * 2 +
                                   kExtraThreads);
  };
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(1);
  const EngineApi api(server, model);
  introspection::BindHttp(server, listen, "--listen");
  server.listen_after_bind();
  return 0;
}

}  // namespace
}  // namespace papayarack::standins

int main(int argc, const char** argv) {
  return papayarack::standins::Main(argc, argv);
}
