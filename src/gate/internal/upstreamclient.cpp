#include "gate/upstreamclient.h"

#include <httplib.h>

#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "global/boundedring.h"

namespace papayarack::gate {
namespace {

constexpr std::chrono::seconds kConnectTimeout{1};
constexpr std::chrono::milliseconds kPollInterval{200};

/// Whether a response with this status ends a request (RFC 9110, section 15).
constexpr bool IsFinal(int status) { return status >= 200 && status < 600; }

}  // namespace

struct UpstreamClient::Impl {
  Impl(const Endpoint& upstream, std::size_t workers, UpstreamHandlers handlers)
      : upstream(upstream), handlers(std::move(handlers)), calls(workers) {
    for (std::size_t i = 0; i < workers; ++i) {
      this->threads.emplace_back([this] { this->RunWorker(); });
    }
  }

  ~Impl() {
    this->calls.Close();
    {
      const std::lock_guard lock(this->mutex);
      for (auto& [id, client] : this->active) {
        client->stop();
      }
    }
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }

  void RunWorker() {
    while (true) {
      std::optional<UpstreamCall> call = this->calls.Pop(kPollInterval);
      if (call.has_value()) {
        this->Run(*call);
      } else if (this->calls.Closed()) {
        return;
      }
    }
  }

  /// Registers the client for Cancel; false if the call was already cancelled.
  bool Register(WorkId id, httplib::Client* client) {
    const std::lock_guard lock(this->mutex);
    if (this->cancelled.erase(id) > 0) {
      return false;
    }
    this->active[id] = client;
    return true;
  }

  void Unregister(WorkId id) {
    const std::lock_guard lock(this->mutex);
    this->active.erase(id);
    this->cancelled.erase(id);
  }

  void Run(const UpstreamCall& call) {
    httplib::Client client(this->upstream.host, this->upstream.port);
    client.set_connection_timeout(kConnectTimeout);
    client.set_read_timeout(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            call.read_timeout));
    client.set_tcp_nodelay(true);
    if (!this->Register(call.id, &client)) {
      this->handlers.on_end(call.id, UpstreamEnd::kUnstarted,
                            "cancelled before it was sent");
      return;
    }
    httplib::Request request;
    request.method = call.method;
    request.path = call.target;
    request.body = call.body;
    request.set_header("X-Request-Id", call.request_id);
    if (!call.content_type.empty()) {
      request.set_header("Content-Type", call.content_type);
    }
    request.response_handler = [this,
                                &call](const httplib::Response& response) {
      if (!IsFinal(response.status)) {
        return false;
      }
      this->handlers.on_head(call.id, response.status,
                             response.get_header_value("Content-Type"));
      return true;
    };
    request.content_receiver = [this, &call](const char* data,
                                             std::size_t length, std::uint64_t,
                                             std::uint64_t) {
      this->handlers.on_bytes(call.id, std::string(data, length));
      return true;
    };
    const httplib::Result result = client.send(request);
    this->Unregister(call.id);
    if (result) {
      this->handlers.on_end(call.id, UpstreamEnd::kComplete, {});
    } else if (result.error() == httplib::Error::Connection ||
               result.error() == httplib::Error::ConnectionTimeout) {
      this->handlers.on_end(call.id, UpstreamEnd::kNotSent,
                            "no connection to the upstream");
    } else {
      this->handlers.on_end(call.id, UpstreamEnd::kBroken,
                            httplib::to_string(result.error()));
    }
  }

  Endpoint upstream;
  UpstreamHandlers handlers;
  BoundedRing<UpstreamCall> calls;
  std::mutex mutex;
  std::map<WorkId, httplib::Client*> active;
  std::set<WorkId> cancelled;
  std::vector<std::thread> threads;
};

UpstreamClient::UpstreamClient(const Endpoint& upstream, std::size_t workers,
                               UpstreamHandlers handlers)
    : impl(std::make_unique<Impl>(upstream, workers, std::move(handlers))) {}

UpstreamClient::~UpstreamClient() = default;

bool UpstreamClient::Start(UpstreamCall call) {
  return this->impl->calls.TryPush(std::move(call));
}

void UpstreamClient::Cancel(WorkId id) {
  const std::lock_guard lock(this->impl->mutex);
  const auto found = this->impl->active.find(id);
  if (found != this->impl->active.end()) {
    found->second->stop();
  } else {
    this->impl->cancelled.insert(id);
  }
}

bool UpstreamClient::Healthy() const {
  httplib::Client client(this->impl->upstream.host, this->impl->upstream.port);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(kConnectTimeout);
  const httplib::Result result = client.Get("/health");
  return result && result->status == 200;
}

}  // namespace papayarack::gate
