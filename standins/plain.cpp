// A stand-in for a plain HTTP service that counts its calls by request id. For
// tests only; not installed.
#include <httplib.h>
#include <popt.h>

#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "global/settings.h"
#include "introspection/httplisten.h"

namespace papayarack::standins {
namespace {

/// Number of calls by request id and by the body's "key".
struct CallCounts {
  std::mutex mutex;
  std::map<std::string, int> by_id;
  std::map<std::string, int> by_key;
};

int Main(int argc, const char** argv) {
  char* listen_text = nullptr;
  int latency_ms = 5;
  poptOption table[] = {{"listen", 'l', POPT_ARG_STRING, &listen_text, 0,
                         "address to listen on", "HOST:PORT"},
                        {"latency-ms", 0, POPT_ARG_INT, &latency_ms, 0,
                         "duration of a call", "MS"},
                        POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("standin_plain", argc, argv, table, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed < -1 || listen_text == nullptr) {
    std::cerr << "standin_plain: expected --listen HOST:PORT\n";
    return 2;
  }
  const Endpoint listen = ParseEndpoint(listen_text, "--listen");
  CallCounts counts;
  httplib::Server server;
  server.Get("/health", [](const auto&, auto& response) {
    response.set_content("ok\n", "text/plain");
  });
  server.Get("/counts", [&counts](const auto&, auto& response) {
    const std::lock_guard lock(counts.mutex);
    response.set_content(
        nlohmann::json({{"by_id", counts.by_id}, {"by_key", counts.by_key}})
            .dump(),
        "application/json");
  });
  const auto serve = [&counts, latency_ms](const httplib::Request& request,
                                           httplib::Response& response) {
    const nlohmann::json body =
        nlohmann::json::parse(request.body, nullptr, false);
    {
      const std::lock_guard lock(counts.mutex);
      counts.by_id[request.get_header_value("X-Request-Id")] += 1;
      if (body.is_object() && body.contains("key")) {
        counts.by_key[body["key"].dump()] += 1;
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(latency_ms));
    response.status = 201;
    response.set_content(nlohmann::json({{"method", request.method},
                                         {"path", request.target},
                                         {"bytes", request.body.size()}})
                             .dump(),
                         "application/json");
  };
  server.Get("/.*", serve);
  server.Post("/.*", serve);
  server.Put("/.*", serve);
  server.Patch("/.*", serve);
  server.Delete("/.*", serve);
  introspection::BindHttp(server, listen, "--listen");
  server.listen_after_bind();
  return 0;
}

}  // namespace
}  // namespace papayarack::standins

int main(int argc, const char** argv) {
  return papayarack::standins::Main(argc, argv);
}
