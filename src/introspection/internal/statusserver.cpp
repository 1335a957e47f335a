#include "introspection/statusserver.h"

#include <httplib.h>

#include <thread>
#include <utility>

#include "introspection/httplisten.h"

namespace papayarack::introspection {

struct StatusServer::Impl {
  explicit Impl(StatusSources sources) : sources(std::move(sources)) {}
  StatusSources sources;
  httplib::Server server;
  std::thread thread;
};

StatusServer::StatusServer(const Endpoint& listen, StatusSources sources)
    : impl(std::make_unique<Impl>(std::move(sources))) {
  constexpr std::size_t kThreads = 2;
  httplib::Server& server = this->impl->server;
  server.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  server.set_keep_alive_max_count(1);
  server.Get("/v1/dump",
             [this](const httplib::Request&, httplib::Response& response) {
               response.set_content(this->impl->sources.dump().dump(2) + "\n",
                                    "application/json");
             });
  server.Get("/healthz",
             [this](const httplib::Request&, httplib::Response& response) {
               const bool healthy = this->impl->sources.healthy();
               response.status = healthy ? 200 : 503;
               response.set_content(healthy ? "ok\n" : "not ready or leaving\n",
                                    "text/plain");
             });
  server.Get("/metrics",
             [this](const httplib::Request&, httplib::Response& response) {
               response.set_content(this->impl->sources.metrics(),
                                    "text/plain; version=0.0.4");
             });
  BindHttp(server, listen, "/operator_listen");
  this->impl->thread =
      std::thread([this] { this->impl->server.listen_after_bind(); });
}

StatusServer::~StatusServer() {
  this->impl->server.stop();
  this->impl->thread.join();
}

}  // namespace papayarack::introspection
