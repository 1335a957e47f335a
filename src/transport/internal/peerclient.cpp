#include "transport/peerclient.h"

#include <algorithm>
#include <asio.hpp>
#include <future>
#include <map>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "global/logging.h"
#include "global/messagecodec.h"
#include "transport/internal/http2session.h"
#include "transport/internal/ownloop.h"
#include "transport/internal/transportcounters.h"

namespace papayarack::transport {
namespace {

/// Most doublings of the connect timeout: enough to reach any reasonable
/// maximum.
constexpr std::uint32_t kMaxDoublings = 10;

}  // namespace

struct PeerClient::Impl {
  struct Pending {
    std::string address;
    std::string path;
    std::string body;
    CallHandlers handlers;
    MessageSplitter splitter;
    std::int32_t stream = 0;  ///< Zero until a stream was opened.
    std::uint64_t session = 0;
    bool complete = false;
  };
  /// One connection to one address, being established or in use.
  struct Link {
    std::string address;
    std::shared_ptr<Http2Session> session;
    std::shared_ptr<asio::ip::tcp::socket> socket;
    std::vector<CallId> waiting;  ///< Calls until it is established.
    std::map<std::int32_t, CallId> streams;
    Time started{};
    std::shared_ptr<asio::steady_timer> connect_timer;
    bool draining = false;  ///< The peer accepts no new streams.
  };

  template <typename... Shared>
  explicit Impl(PeerClientOptions options, Shared&... shared)
      : options(options), loop(shared...), timer(this->loop.context()) {
    this->StartTimer();
    this->loop.Start();
  }

  ~Impl() {
    *this->alive = false;
    this->loop.Stop([this] {
      this->stopping = true;
      this->timer.cancel();
      std::vector<std::uint64_t> ids;
      for (const auto& [id, link] : this->links) {
        ids.push_back(id);
      }
      for (const std::uint64_t id : ids) {
        this->DropLink(id);
      }
    });
  }

  void StartTimer() {
    this->timer.expires_after(this->options.ping_after / 4);
    this->timer.async_wait([this, alive = this->alive](std::error_code error) {
      if (!error && *alive && !this->stopping) {
        this->CheckLinks();
        this->StartTimer();
      }
    });
  }

  /// Closes connections whose PING is not answered. If a device on the path
  /// loses the state of an old connection, its calls would hang forever while
  /// new connections to the same peer work. Calls on the closed connection end
  /// as lost; new calls connect again.
  void CheckLinks() {
    const Time now = MonotonicNow();
    std::vector<std::uint64_t> silent;
    for (auto& [id, link] : this->links) {
      if (link.session == nullptr) {
        continue;
      }
      const Duration quiet = now - link.session->LastHeard();
      if (quiet >= this->options.silent_after) {
        silent.push_back(id);
      } else if (quiet >= this->options.ping_after) {
        link.session->SendPing();
      }
    }
    for (const std::uint64_t id : silent) {
      this->DropLink(id);
    }
  }

  void Begin(CallId id, const Endpoint& peer) {
    const std::string address = peer.ToString();
    for (auto& [link_id, link] : this->links) {
      if (link.address == address && !link.draining) {
        this->Attach(link_id, id);
        return;
      }
    }
    this->Connect(peer, id);
  }

  void Attach(std::uint64_t link_id, CallId id) {
    Link& link = this->links.at(link_id);
    Pending& call = this->calls.at(id);
    if (link.session == nullptr) {
      link.waiting.push_back(id);
      call.session = link_id;
      return;
    }
    const auto session = link.session;
    const std::int32_t stream =
        session->OpenRequest(call.path, std::move(call.body));
    if (stream <= 0) {
      this->End(id, CallEnd::kNotSent);
      return;
    }
    call.stream = stream;
    call.session = link_id;
    link.streams[stream] = id;
    session->Flush();
  }

  void Connect(const Endpoint& peer, CallId id) {
    const std::uint64_t link_id = ++this->last_link;
    Link& link = this->links[link_id];
    link.address = peer.ToString();
    link.started = MonotonicNow();
    link.waiting.push_back(id);
    this->calls.at(id).session = link_id;
    link.socket = std::make_shared<asio::ip::tcp::socket>(this->context);
    std::error_code bad_address;
    const asio::ip::address address =
        asio::ip::make_address(peer.host, bad_address);
    if (bad_address) {
      this->DropLink(link_id);
      return;
    }
    this->StartConnectTimer(link_id);
    const auto socket = link.socket;
    socket->async_connect(
        {address, peer.port},
        [this, link_id, socket, alive = this->alive](std::error_code error) {
          if (!*alive || this->links.count(link_id) == 0) {
            return;
          }
          if (error) {
            this->DropLink(link_id);
            return;
          }
          this->Established(link_id, std::move(*socket));
        });
  }

  void StartConnectTimer(std::uint64_t link_id) {
    Link& link = this->links.at(link_id);
    std::chrono::milliseconds attempt_timeout = this->options.connect_timeout;
    const auto timeouts = this->connect_timeouts.find(link.address);
    for (std::uint32_t i = 0;
         timeouts != this->connect_timeouts.end() && i < timeouts->second;
         ++i) {
      attempt_timeout =
          std::min(attempt_timeout * 2, this->options.max_connect_timeout);
    }
    link.connect_timer =
        std::make_shared<asio::steady_timer>(this->context, attempt_timeout);
    link.connect_timer->async_wait(
        [this, link_id, alive = this->alive](std::error_code error) {
          if (error || !*alive || this->links.count(link_id) == 0) {
            return;
          }
          std::uint32_t& count =
              this->connect_timeouts[this->links.at(link_id).address];
          count = std::min(count + 1, kMaxDoublings);
          this->DropLink(link_id);
        });
  }

  void Established(std::uint64_t link_id, asio::ip::tcp::socket socket) {
    Http2Session::Callbacks callbacks;
    callbacks.on_data = [this, link_id](std::int32_t stream,
                                        std::string_view bytes) {
      this->OnData(link_id, stream, bytes);
    };
    callbacks.on_stream_end = [this, link_id](std::int32_t stream) {
      if (Pending* call = this->Find(link_id, stream)) {
        call->complete = true;
      }
    };
    callbacks.on_stream_close = [this, link_id](std::int32_t stream,
                                                std::uint32_t error) {
      this->OnStreamClose(link_id, stream, error);
    };
    callbacks.on_goaway = [this, link_id](std::int32_t) {
      const auto link = this->links.find(link_id);
      if (link != this->links.end()) {
        link->second.draining = true;
      }
    };
    callbacks.on_closed = [this, link_id] {
      asio::post(this->context, [this, link_id, alive = this->alive] {
        if (*alive) {
          this->DropLink(link_id);
        }
      });
    };
    Link& link = this->links.at(link_id);
    link.connect_timer.reset();
    this->connect_timeouts.erase(link.address);
    this->unreachable.erase(link.address);
    Log(LogLevel::kInfo, "peer_connected",
        {{"peer", link.address},
         {"took_ms", (MonotonicNow() - link.started).count() / 1000}});
    link.session = std::make_shared<Http2Session>(
        std::move(socket), Http2Session::Side::kClient, std::move(callbacks),
        this->counters);
    link.session->Start();
    for (const CallId id : std::exchange(link.waiting, {})) {
      if (this->calls.count(id) > 0) {
        this->Attach(link_id, id);
      }
    }
  }

  Pending* Find(std::uint64_t link_id, std::int32_t stream) {
    const auto link = this->links.find(link_id);
    if (link == this->links.end()) {
      return nullptr;
    }
    const auto found = link->second.streams.find(stream);
    if (found == link->second.streams.end()) {
      return nullptr;
    }
    const auto call = this->calls.find(found->second);
    return call != this->calls.end() ? &call->second : nullptr;
  }

  void OnData(std::uint64_t link_id, std::int32_t stream,
              std::string_view bytes) {
    Pending* call = this->Find(link_id, stream);
    if (call == nullptr) {
      return;
    }
    try {
      call->splitter.Add(bytes);
      std::string message;
      while (call->splitter.Next(message)) {
        if (call->handlers.on_message) {
          call->handlers.on_message(std::move(message));
        }
      }
    } catch (const ResultError&) {
      this->links.at(link_id).session->ResetStream(stream,
                                                   NGHTTP2_PROTOCOL_ERROR);
    }
  }

  void OnStreamClose(std::uint64_t link_id, std::int32_t stream,
                     std::uint32_t error) {
    const auto link = this->links.find(link_id);
    if (link == this->links.end()) {
      return;
    }
    const auto found = link->second.streams.find(stream);
    if (found == link->second.streams.end()) {
      return;
    }
    const CallId id = found->second;
    link->second.streams.erase(found);
    const auto call = this->calls.find(id);
    if (call == this->calls.end()) {
      return;
    }
    // REFUSED_STREAM means in HTTP/2 that the request was not processed.
    if (error == NGHTTP2_REFUSED_STREAM) {
      this->End(id, CallEnd::kNotSent);
    } else {
      this->End(id,
                call->second.complete ? CallEnd::kFinished : CallEnd::kLost);
    }
  }

  /// Logs each connection that ends, but only the first of consecutive failed
  /// attempts: they come several times a second while a peer is down.
  void LogEnd(const Link& link) {
    if (this->stopping) {
      return;
    }
    if (link.session != nullptr) {
      Log(LogLevel::kInfo, "peer_connection_ended",
          {{"peer", link.address}, {"open_calls", link.streams.size()}});
    } else if (this->unreachable.insert(link.address).second) {
      Log(LogLevel::kInfo, "peer_unreachable",
          {{"peer", link.address},
           {"after_ms", (MonotonicNow() - link.started).count() / 1000}});
    }
  }

  void DropLink(std::uint64_t link_id) {
    const auto found = this->links.find(link_id);
    if (found == this->links.end()) {
      return;
    }
    const Link link = std::move(found->second);
    this->links.erase(found);
    this->LogEnd(link);
    if (link.session != nullptr) {
      link.session->Close();
    } else if (link.socket != nullptr) {
      std::error_code ignored;
      link.socket->close(ignored);
    }
    for (const CallId id : link.waiting) {
      this->End(id, CallEnd::kNotSent);
    }
    for (const auto& [stream, id] : link.streams) {
      this->End(id, CallEnd::kLost);
    }
  }

  void End(CallId id, CallEnd end) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      return;
    }
    const auto on_end = std::move(found->second.handlers.on_end);
    this->calls.erase(found);
    if (on_end) {
      on_end(end);
    }
  }

  void Cancel(CallId id) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      return;
    }
    this->counters->CountCancelled(found->second.path);
    const std::int32_t stream = found->second.stream;
    const auto link = this->links.find(found->second.session);
    if (stream > 0 && link != this->links.end() &&
        link->second.session != nullptr) {
      link->second.session->ResetStream(stream, NGHTTP2_CANCEL);
      link->second.session->Flush();
    }
    this->End(id, stream > 0 ? CallEnd::kLost : CallEnd::kNotSent);
  }

  PeerClientOptions options;
  std::shared_ptr<TransportCounters> counters =
      std::make_shared<TransportCounters>();
  Loop loop;
  asio::io_context& context{loop.context()};
  asio::steady_timer timer;
  std::map<std::uint64_t, Link> links;
  std::map<CallId, Pending> calls;
  /// Consecutive attempts that timed out, by address.
  std::map<std::string, std::uint32_t> connect_timeouts;
  /// Addresses whose last connection attempt failed.
  std::set<std::string> unreachable;
  std::atomic<CallId> last_call = 0;
  std::uint64_t last_link = 0;
  bool stopping = false;
  /// False after destruction, for completion handlers still queued on a shared
  /// loop.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

PeerClient::PeerClient(PeerClientOptions options)
    : impl(std::make_unique<Impl>(options)) {}

PeerClient::PeerClient(asio::io_context& context, PeerClientOptions options)
    : impl(std::make_unique<Impl>(options, context)) {}

PeerClient::~PeerClient() = default;

CallId PeerClient::Call(const Endpoint& peer, std::string_view path,
                        std::string body, CallHandlers handlers) {
  const CallId id = ++this->impl->last_call;
  Impl::Pending call;
  call.path = path;
  call.body = std::move(body);
  call.handlers = std::move(handlers);
  asio::post(this->impl->context,
             [impl = this->impl.get(), id, peer, alive = this->impl->alive,
              call = std::move(call)]() mutable {
               if (!*alive) {
                 return;
               }
               impl->calls.emplace(id, std::move(call));
               impl->Begin(id, peer);
             });
  return id;
}

void PeerClient::Cancel(CallId call) {
  asio::post(this->impl->context,
             [impl = this->impl.get(), alive = this->impl->alive, call] {
               if (*alive) {
                 impl->Cancel(call);
               }
             });
}

std::string PeerClient::CallAndWait(const Endpoint& peer, std::string_view path,
                                    std::string body,
                                    std::chrono::milliseconds timeout) {
  struct Outcome {
    std::promise<std::string> promise;
    bool settled = false;
  };
  const auto outcome = std::make_shared<Outcome>();
  std::future<std::string> future = outcome->promise.get_future();
  CallHandlers handlers;
  handlers.on_message = [outcome](std::string message) {
    if (!std::exchange(outcome->settled, true)) {
      outcome->promise.set_value(std::move(message));
    }
  };
  handlers.on_end = [outcome](CallEnd end) {
    if (!std::exchange(outcome->settled, true)) {
      const bool not_sent = end == CallEnd::kNotSent;
      outcome->promise.set_exception(std::make_exception_ptr(ResultError(
          not_sent ? ResultCode::kNoUpstream : ResultCode::kConnectionLost,
          not_sent ? "no connection to the peer" : "the connection broke")));
    }
  };
  const CallId id =
      this->Call(peer, path, std::move(body), std::move(handlers));
  if (future.wait_for(timeout) != std::future_status::ready) {
    this->Cancel(id);
    throw ResultError(ResultCode::kConnectionLost,
                      peer.ToString() + " did not answer in time");
  }
  return future.get();
}

TransportTotals PeerClient::Totals() const {
  return this->impl->counters->Totals();
}

}  // namespace papayarack::transport
