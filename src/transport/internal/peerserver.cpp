#include "transport/peerserver.h"

#include <asio.hpp>
#include <atomic>
#include <map>
#include <thread>
#include <utility>
#include <vector>

#include "global/listen.h"
#include "global/logging.h"
#include "global/messagecodec.h"
#include "transport/internal/http2session.h"
#include "transport/internal/ownloop.h"
#include "transport/internal/transportcounters.h"

namespace papayarack::transport {
namespace {

/// Number of checks for silence within one silent_after. A silent connection is
/// closed up to one check interval late.
constexpr int kChecksPerTimeout = 5;
/// Pause after a connection could not be accepted.
constexpr std::chrono::milliseconds kAcceptPause{50};

}  // namespace

struct PeerServer::Impl {
  /// The connection and HTTP/2 stream of a request.
  struct StreamLocation {
    std::uint64_t connection = 0;
    std::int32_t stream = 0;
  };
  /// One request being received.
  struct Incoming {
    StreamId id = 0;
    std::string body;
    bool delivered = false;
  };
  struct Connection {
    std::shared_ptr<Http2Session> session;
    std::string peer;  ///< Its address, for the log.
    std::map<std::int32_t, Incoming> streams;
  };

  template <typename... Shared>
  Impl(const Endpoint& listen, PeerServerHandlers handlers,
       const PeerServerOptions& options, Shared&... shared)
      : handlers(std::move(handlers)),
        options(options),
        loop(shared...),
        acceptor(this->loop.context()),
        accept_pause(this->loop.context()),
        timer(this->loop.context()) {
    ListenOn(this->acceptor, listen);
    this->bound_port = this->acceptor.local_endpoint().port();
    this->Accept();
    this->ScheduleSilenceCheck();
    this->loop.Start();
  }

  ~Impl() {
    *this->alive = false;
    this->loop.Stop([this] {
      this->stopping = true;
      this->acceptor.close();
      this->accept_pause.cancel();
      this->timer.cancel();
      auto closing = std::exchange(this->connections, {});
      for (auto& [id, connection] : closing) {
        connection.session->Close();
      }
    });
  }

  void ScheduleSilenceCheck() {
    this->timer.expires_after(this->options.silent_after / kChecksPerTimeout);
    this->timer.async_wait([this, alive = this->alive](std::error_code error) {
      if (!error && *alive && !this->stopping) {
        this->DropSilent();
        this->ScheduleSilenceCheck();
      }
    });
  }

  void DropSilent() {
    const Time now = MonotonicNow();
    std::vector<std::shared_ptr<Http2Session>> silent;
    for (const auto& [id, connection] : this->connections) {
      if (now - connection.session->LastHeard() >= this->options.silent_after) {
        Log(LogLevel::kInfo, "peer_silent",
            {{"peer", connection.peer},
             {"open_requests", connection.streams.size()},
             {"silent_ms",
              (now - connection.session->LastHeard()).count() / 1000}});
        silent.push_back(connection.session);
      }
    }
    for (const auto& session : silent) {
      session->Close();
    }
  }

  void Accept() {
    this->acceptor.async_accept(
        [this, alive = this->alive](std::error_code error,
                                    asio::ip::tcp::socket socket) {
          if (!*alive || this->stopping) {
            return;
          }
          if (error) {
            // No file descriptor was free, or the peer disconnected while
            // queued. Without another accept this process would never accept a
            // connection again.
            this->AcceptLater();
            return;
          }
          this->AddConnection(std::move(socket));
          this->Accept();
        });
  }

  /// Accepting fails at once as long as no descriptor is free; without a pause
  /// the loop does nothing else.
  void AcceptLater() {
    this->accept_pause.expires_after(kAcceptPause);
    this->accept_pause.async_wait(
        [this, alive = this->alive](std::error_code error) {
          if (!error && *alive && !this->stopping && this->acceptor.is_open()) {
            this->Accept();
          }
        });
  }

  void AddConnection(asio::ip::tcp::socket socket) {
    const std::uint64_t id = ++this->last_connection;
    Http2Session::Callbacks callbacks;
    callbacks.on_data = [this, id](std::int32_t stream,
                                   std::string_view bytes) {
      this->connections[id].streams[stream].body.append(bytes);
    };
    callbacks.on_stream_end = [this, id](std::int32_t stream) {
      this->Deliver(id, stream);
    };
    callbacks.on_stream_close = [this, id](std::int32_t stream,
                                           std::uint32_t error) {
      this->OnStreamClose(id, stream, error);
    };
    callbacks.on_closed = [this, id] { this->OnConnectionClosed(id); };
    std::error_code gone;
    const auto remote = socket.remote_endpoint(gone);
    this->connections[id].peer = gone ? "" : remote.address().to_string();
    auto session = std::make_shared<Http2Session>(
        std::move(socket), Http2Session::Side::kServer, std::move(callbacks),
        this->counters);
    this->connections[id].session = session;
    session->Start();
  }

  void Deliver(std::uint64_t connection, std::int32_t stream) {
    Connection& owner = this->connections[connection];
    Incoming& incoming = owner.streams[stream];
    incoming.id = ++this->last_stream;
    incoming.delivered = true;
    this->stream_locations[incoming.id] = {connection, stream};
    this->open_streams = this->stream_locations.size();
    owner.session->StartResponse(stream);
    this->handlers.on_request(incoming.id, owner.session->PathOf(stream),
                              std::move(incoming.body));
  }

  /// A stream that closes before the server finished it was reset by the
  /// client. A finished stream that closes with an error was reset while bytes
  /// of its response were unsent; the handler's work is done, so this is only
  /// counted.
  void OnStreamClose(std::uint64_t connection, std::int32_t stream,
                     std::uint32_t error) {
    const auto owner = this->connections.find(connection);
    if (owner == this->connections.end()) {
      return;
    }
    const auto found = owner->second.streams.find(stream);
    if (found == owner->second.streams.end()) {
      return;
    }
    const Incoming incoming = std::move(found->second);
    owner->second.streams.erase(found);
    if (!incoming.delivered) {
      return;
    }
    const bool open = this->stream_locations.erase(incoming.id) > 0;
    if (open || error != NGHTTP2_NO_ERROR) {
      this->counters->CountCancelled(owner->second.session->PathOf(stream));
    }
    if (open) {
      this->open_streams = this->stream_locations.size();
      this->handlers.on_cancel(incoming.id);
    }
  }

  void OnConnectionClosed(std::uint64_t connection) {
    const auto owner = this->connections.find(connection);
    if (owner == this->connections.end()) {
      return;
    }
    const auto streams = std::move(owner->second.streams);
    const auto session = owner->second.session;
    // The session is still on the call stack; release it later.
    asio::post(this->context, [session] {});
    this->connections.erase(owner);
    for (const auto& [stream, incoming] : streams) {
      if (!incoming.delivered) {
        continue;
      }
      this->counters->CountCancelled(session->PathOf(stream));
      if (this->stream_locations.erase(incoming.id) > 0) {
        this->handlers.on_cancel(incoming.id);
      }
    }
    this->open_streams = this->stream_locations.size();
  }

  void Write(StreamId id, std::string bytes, bool last) {
    asio::post(this->context, [this, id, bytes = std::move(bytes), last,
                               alive = this->alive] {
      if (!*alive) {
        return;
      }
      const auto location = this->stream_locations.find(id);
      if (location == this->stream_locations.end()) {
        return;
      }
      const auto owner = this->connections.find(location->second.connection);
      if (owner == this->connections.end()) {
        return;
      }
      const auto session = owner->second.session;
      const std::int32_t stream = location->second.stream;
      if (last) {
        this->stream_locations.erase(location);
        this->open_streams = this->stream_locations.size();
      }
      session->AddBody(stream, bytes, last);
      session->Flush();
    });
  }

  PeerServerHandlers handlers;
  PeerServerOptions options;
  std::shared_ptr<TransportCounters> counters =
      std::make_shared<TransportCounters>();
  Loop loop;
  asio::io_context& context{loop.context()};
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer accept_pause;
  asio::steady_timer timer;
  std::uint16_t bound_port = 0;
  std::map<std::uint64_t, Connection> connections;
  std::map<StreamId, StreamLocation> stream_locations;
  std::atomic<std::size_t> open_streams = 0;
  std::uint64_t last_connection = 0;
  StreamId last_stream = 0;
  bool stopping = false;
  /// False after destruction, for completion handlers still queued on a shared
  /// loop.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

PeerServer::PeerServer(const Endpoint& listen, PeerServerHandlers handlers,
                       PeerServerOptions options)
    : impl(std::make_unique<Impl>(listen, std::move(handlers), options)) {}

PeerServer::PeerServer(asio::io_context& context, const Endpoint& listen,
                       PeerServerHandlers handlers, PeerServerOptions options)
    : impl(std::make_unique<Impl>(listen, std::move(handlers), options,
                                  context)) {}

PeerServer::~PeerServer() = default;

void PeerServer::Send(StreamId stream, std::string_view message) {
  this->impl->Write(stream, MessageSplitter::Frame(message), false);
}

void PeerServer::Finish(StreamId stream) {
  this->impl->Write(stream, {}, true);
}

std::uint16_t PeerServer::port() const { return this->impl->bound_port; }

void PeerServer::BeginLeave() {
  asio::post(this->impl->context, [impl = this->impl.get()] {
    impl->acceptor.close();
    for (auto& [id, connection] : impl->connections) {
      connection.session->SendGoaway();
    }
  });
}

std::size_t PeerServer::OpenStreams() const { return this->impl->open_streams; }

std::uint64_t PeerServer::UnsentBytes(std::string_view path) const {
  return this->impl->counters->paths.UnsentBytes(path);
}

TransportTotals PeerServer::Totals() const {
  return this->impl->counters->Totals();
}

}  // namespace papayarack::transport
