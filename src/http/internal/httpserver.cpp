#include "http/httpserver.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio.hpp>
#include <deque>
#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "global/listen.h"
#include "global/timepoint.h"
#include "http/internal/serverconnection.h"
#include "http/internal/wire.h"

namespace papayarack::http {
namespace {

using ConnectionId = std::uint64_t;

/// Bytes of pipelined requests that a client may send before its response.
constexpr std::size_t kMaxPipelinedBytes = 16U << 10U;
/// Interval of timeout checks; timeouts are seconds long.
constexpr std::chrono::milliseconds kSweepInterval{250};
/// How long to wait for a refused client to close the connection: closing with
/// unread bytes resets it, and the client would not receive the response.
constexpr std::chrono::milliseconds kLinger{1000};
/// Bytes of such a client that are read meanwhile.
constexpr std::size_t kMaxLingerBytes = 4U << 20U;
constexpr int kServiceUnavailable = 503;
/// How long a client may take nothing of a response that is complete but not
/// sent; independent of the limits, which may change meanwhile.
constexpr std::chrono::milliseconds kWriteStall{15000};
constexpr std::size_t kWriteChunk = 64U << 10U;
/// Memory that a connection keeps between writes.
constexpr std::size_t kMaxSpareBytes = 16U << 10U;
/// Connections idle for less time make no room for others: a new one is about
/// to send its request.
constexpr std::chrono::milliseconds kMinIdle{1000};
/// One of so many connections is closed at once to make room.
constexpr std::size_t kIdleParts = 64;
/// Pause after a connection could not be accepted.
constexpr std::chrono::milliseconds kAcceptPause{50};
/// Pause after a search for idle connections that found none.
constexpr std::chrono::milliseconds kSearchPause{20};

}  // namespace

std::string_view NameOf(ConnectionPhase phase) {
  switch (phase) {
    case ConnectionPhase::kReading:
      return "reading";
    case ConnectionPhase::kServing:
      return "serving";
    case ConnectionPhase::kLingering:
      return "lingering";
  }
  return "unknown";
}

std::string_view HttpRequest::Path() const {
  const std::string_view whole = this->target;
  return whole.substr(0, whole.find('?'));
}

std::string_view HttpRequest::Query() const {
  const std::string_view whole = this->target;
  const std::size_t mark = whole.find('?');
  return mark == std::string_view::npos ? std::string_view()
                                        : whole.substr(mark + 1);
}

struct HttpServer::Impl {
  using Phase = ServerConnection::Phase;
  using Connection = ServerConnection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  Impl(asio::io_context& context, const Endpoint& listen,
       HttpServerLimits limits, HttpServerHandlers handlers,
       RequestMemory* shared)
      : context(context),
        memory(shared != nullptr ? *shared : this->own_memory),
        limits(limits),
        handlers(std::move(handlers)),
        ledger(this->handlers.on_cut),
        acceptor(context),
        accept_pause(context),
        sweep(context) {
    ListenOn(this->acceptor, listen);
    this->Accept();
    this->Sweep();
  }

  ~Impl() {
    *this->alive = false;
    this->ledger.EndAll(ExchangeOutcome::kServerEnded, MonotonicNow());
    for (auto& [id, connection] : this->connections) {
      std::error_code ignored;
      connection->socket.close(ignored);
      this->memory.Remove(connection->memory);
    }
  }

  void Accept() {
    this->acceptor.async_accept(
        [this, alive = this->alive](std::error_code error,
                                    asio::ip::tcp::socket socket) {
          if (!*alive) {
            return;
          }
          // The acceptor may have been closed since it accepted this one.
          if (!error && this->HasRoom()) {
            this->AddConnection(std::move(socket));
          }
          if (!this->acceptor.is_open()) {
            return;
          }
          if (error) {
            this->AcceptLater();
          } else {
            this->Accept();
          }
        });
  }

  /// Accepting fails at once as long as no descriptor is free; without a pause
  /// the loop does nothing else.
  void AcceptLater() {
    this->accept_pause.expires_after(kAcceptPause);
    this->accept_pause.async_wait(
        [this, alive = this->alive](std::error_code error) {
          if (!error && *alive && this->acceptor.is_open()) {
            this->Accept();
          }
        });
  }

  /// Accepts what the kernel has accepted: closing the acceptor resets it.
  void AcceptWaiting() {
    std::error_code error;
    this->acceptor.non_blocking(true, error);
    // Without this option a connection that its client has left blocks accept.
    this->acceptor.set_option(
        asio::socket_base::enable_connection_aborted(true), error);
    while (!error && this->HasRoom()) {
      asio::ip::tcp::socket socket(this->context);
      this->acceptor.accept(socket, error);
      if (!error) {
        this->AddConnection(std::move(socket));
      } else if (error == asio::error::connection_aborted) {
        error.clear();
      }
    }
  }

  bool HasRoom() {
    const auto full = [this] {
      return this->connections.size() >= this->limits.max_connections;
    };
    const Time now = MonotonicNow();
    if (full() && now >= this->next_search) {
      this->DropLongestIdle(now);
      if (full()) {
        this->next_search = now + kSearchPause;
      }
    }
    return !full();
  }

  /// Makes room for clients that have a request, unless all others may have
  /// one: nothing of a request must have arrived, read or unread. Drops several
  /// at once, as the search takes long.
  void DropLongestIdle(Time now) {
    std::vector<std::pair<Duration, ConnectionId>> idle;
    for (const auto& [id, connection] : this->connections) {
      const Duration waited = connection->Idle(now);
      if (waited > kMinIdle) {
        idle.emplace_back(waited, id);
      }
    }
    const std::size_t count =
        std::min(idle.size(), this->limits.max_connections / kIdleParts + 1);
    std::ranges::partial_sort(idle,
                              idle.begin() + static_cast<std::ptrdiff_t>(count),
                              std::greater<>());
    idle.resize(count);
    for (const auto& [waited, id] : idle) {
      if (!this->connections.at(id)->HasUnread()) {
        this->Drop(id, ExchangeOutcome::kStalled);
      }
    }
  }

  void AddConnection(asio::ip::tcp::socket socket) {
    std::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const ConnectionId id = ++this->last_connection;
    auto connection = std::make_shared<Connection>(
        std::move(socket), this->limits.max_header_bytes);
    connection->since = MonotonicNow();
    connection->memory =
        this->memory.Add([this, id] { this->RefuseForMemory(id); });
    this->connections.emplace(id, connection);
    this->Read(id, connection);
  }

  void Read(ConnectionId id, const ConnectionPtr& connection) {
    if (connection->read_under_way) {
      return;
    }
    connection->read_under_way = true;
    connection->socket.async_read_some(
        asio::buffer(connection->chunk),
        [this, id, connection, alive = this->alive](std::error_code error,
                                                    std::size_t length) {
          if (!*alive) {
            return;
          }
          connection->read_under_way = false;
          if (this->connections.count(id) == 0) {
            return;
          }
          if (error) {
            this->Drop(id, ExchangeOutcome::kLeft);
            return;
          }
          this->OnBytes(id, connection, {connection->chunk.data(), length});
        });
  }

  void OnBytes(ConnectionId id, const ConnectionPtr& connection,
               std::string_view bytes) {
    if (connection->phase != Phase::kLingering) {
      connection->unparsed.append(bytes);
    } else {
      connection->lingered += bytes.size();
      if (connection->lingered > kMaxLingerBytes) {
        this->Drop(id, ExchangeOutcome::kLeft);
        return;
      }
    }
    this->Parse(id, connection);
    const auto still = this->connections.find(id);
    if (still == this->connections.end()) {
      return;
    }
    // A read stays pending while a response is being sent, to detect that the
    // client disconnected. Reading pauses when a client pipelines too many
    // bytes.
    if (connection->unparsed.size() < kMaxPipelinedBytes) {
      this->Read(id, connection);
    }
  }

  void Parse(ConnectionId id, const ConnectionPtr& connection) {
    if (connection->phase != Phase::kReading || connection->unparsed.empty()) {
      return;
    }
    const bool fresh = !connection->parser.Started();
    if (fresh) {
      connection->parser.SetMaxHeadBytes(this->limits.max_header_bytes);
      connection->max_body = this->limits.max_body_bytes;
      connection->body_too_large = false;
      connection->spared = false;
    }
    const std::size_t used = connection->parser.Parse(connection->unparsed);
    connection->unparsed.erase(0, used);
    if (connection->parser.failed()) {
      this->Refuse(connection, connection->parser.TooLarge() ? 431 : 400);
      return;
    }
    if (fresh && connection->parser.Started()) {
      connection->since = MonotonicNow();
    }
    if (connection->body_too_large) {
      this->Refuse(connection, 413);
      return;
    }
    if (std::exchange(connection->head_done, false)) {
      connection->since = MonotonicNow();
      this->OnHead(connection);
    }
    if (connection->phase == Phase::kReading && connection->parser.Started()) {
      this->KeepOrDeliver(id, connection);
    }
  }

  /// Refuses a request for which there is no memory: it did not run.
  void KeepOrDeliver(ConnectionId id, const ConnectionPtr& connection) {
    const Time now = MonotonicNow();
    const bool complete = connection->parser.MessageComplete();
    const bool fits = complete
                          ? this->memory.Serve(connection->memory,
                                               connection->ServedBytes(), now)
                          : this->memory.Hold(connection->memory,
                                              connection->HeldBytes(), now);
    if (!fits) {
      this->Refuse(connection, kServiceUnavailable);
    } else if (complete) {
      this->Deliver(id, connection);
    }
  }

  /// Makes room for the requests of others.
  void RefuseForMemory(ConnectionId id) {
    const auto found = this->connections.find(id);
    if (found != this->connections.end() &&
        found->second->phase == Phase::kReading) {
      this->Refuse(found->second, kServiceUnavailable);
    }
  }

  void OnHead(const ConnectionPtr& connection) {
    const auto length =
        ParseNumber(connection->parser.headers.Get("Content-Length"));
    if (length.value_or(0) > connection->max_body) {
      this->Refuse(connection, 413);
      return;
    }
    const bool expects_continue =
        connection->parser.headers.ListsToken("Expect", "100-continue");
    if (expects_continue && !connection->parser.MessageComplete()) {
      this->Send(connection, "HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  void Deliver(ConnectionId id, const ConnectionPtr& connection) {
    connection->phase = Phase::kServing;
    connection->keep_alive = connection->parser.KeepAlive() && !this->leaving;
    connection->head_begun = false;
    connection->exchange = ++this->last_exchange;
    this->exchanges[connection->exchange] = id;
    this->ledger.Begin(connection->exchange, connection->parser.target,
                       MonotonicNow());
    HttpRequest request;
    request.method = connection->parser.method();
    request.target = std::move(connection->parser.target);
    request.headers = std::move(connection->parser.headers);
    request.body = std::exchange(connection->body, {});
    this->handlers.on_request(connection->exchange, std::move(request));
  }

  /// Answers a request that is not read whole; the rest of its bytes is
  /// discarded.
  void Refuse(const ConnectionPtr& connection, int status) {
    std::string head =
        fmt::format("HTTP/1.1 {} {}\r\n", status, ReasonFor(status));
    if (status == kServiceUnavailable) {
      head += "Retry-After: 1\r\n";
    }
    this->Send(connection,
               head + "Content-Length: 0\r\nConnection: close\r\n\r\n");
    this->Linger(connection);
  }

  void Linger(const ConnectionPtr& connection) {
    connection->phase = Phase::kLingering;
    connection->since = MonotonicNow();
    connection->ForgetRequest();
    this->memory.Release(connection->memory);
    connection->close_after_write = true;
    this->ShutdownAfterWrites(connection);
  }

  void Queue(const ConnectionPtr& connection, std::string_view bytes) {
    connection->outgoing.append(bytes);
    this->unsent += bytes.size();
    if (this->unsent > this->limits.max_unsent_bytes && !this->trim_posted) {
      this->trim_posted = true;
      // Deferred, as the owner is still sending a response.
      asio::post(this->context, [this, alive = this->alive] {
        if (*alive) {
          this->trim_posted = false;
          this->TrimUnsent();
        }
      });
    }
  }

  void Send(const ConnectionPtr& connection, std::string_view bytes) {
    this->Queue(connection, bytes);
    this->StartWrite(connection);
  }

  /// Closes the connections of the slowest clients until the others' bytes are
  /// within the limit.
  void TrimUnsent() {
    const Time now = MonotonicNow();
    std::vector<std::pair<Duration, ConnectionId>> slow;
    for (const auto& [id, connection] : this->connections) {
      if (connection->Unsent() > 0) {
        slow.emplace_back(connection->Stalled(now), id);
      }
    }
    std::ranges::sort(slow, std::greater<>());
    for (std::size_t i = 0;
         i + 1 < slow.size() && this->unsent > this->limits.max_unsent_bytes;
         ++i) {
      ++this->closed_for_memory;
      this->Drop(slow[i].second, ExchangeOutcome::kStalled);
    }
  }

  void StartWrite(const ConnectionPtr& connection) {
    if (connection->write_under_way || connection->outgoing.empty() ||
        !connection->socket.is_open()) {
      return;
    }
    connection->write_under_way = true;
    connection->writing = std::exchange(connection->outgoing, {});
    asio::async_write(
        connection->socket, asio::buffer(connection->writing),
        [connection](std::error_code error, std::size_t) {
          connection->last_written = MonotonicNow();
          return error ? 0 : kWriteChunk;
        },
        [this, connection, alive = this->alive](std::error_code error,
                                                std::size_t length) {
          if (!*alive) {
            return;
          }
          connection->write_under_way = false;
          if (!connection->closed_as.has_value()) {
            this->unsent -= connection->writing.size();
          }
          connection->writing.clear();
          if (connection->writing.capacity() > kMaxSpareBytes) {
            connection->writing.shrink_to_fit();
          }
          connection->taken += length;
          this->SettleSent(connection);
          if (error) {
            // The read fails as well and notifies the owner.
            connection->write_failed = true;
            return;
          }
          this->StartWrite(connection);
          this->ShutdownAfterWrites(connection);
        });
  }

  /// Records the responses that were sent whole and, once the connection is
  /// closed, those that were not.
  void SettleSent(const ConnectionPtr& connection) {
    const Time now = MonotonicNow();
    std::deque<QueuedResponse>& queued = connection->responses;
    while (!queued.empty() && queued.front().end <= connection->taken) {
      this->ledger.End(queued.front().exchange, queued.front().outcome, now);
      queued.pop_front();
    }
    if (!connection->closed_as.has_value() || connection->write_under_way) {
      return;
    }
    for (const QueuedResponse& unsent : std::exchange(queued, {})) {
      this->ledger.End(unsent.exchange,
                       connection->write_failed ? ExchangeOutcome::kLeft
                                                : *connection->closed_as,
                       now);
    }
  }

  void ShutdownAfterWrites(const ConnectionPtr& connection) {
    if (connection->close_after_write && connection->AllSent() &&
        connection->socket.is_open()) {
      std::error_code ignored;
      connection->socket.shutdown(asio::ip::tcp::socket::shutdown_send,
                                  ignored);
    }
  }

  ConnectionPtr Serving(ExchangeId exchange) const {
    const auto found = this->exchanges.find(exchange);
    if (found == this->exchanges.end()) {
      return nullptr;
    }
    return this->connections.at(found->second);
  }

  /// The response is queued to its last byte.
  void Finish(ExchangeId exchange) {
    const auto found = this->exchanges.find(exchange);
    const ConnectionId id = found->second;
    const ConnectionPtr connection = this->connections.at(id);
    this->exchanges.erase(found);
    connection->QueueEnd(exchange);
    this->SettleSent(connection);
    if (!connection->keep_alive) {
      this->Linger(connection);
      // Reading paused if the client has sent much more. Closing with unread
      // bytes resets the connection, and the response is lost.
      this->Read(id, connection);
      return;
    }
    this->memory.Release(connection->memory);
    connection->phase = Phase::kReading;
    connection->exchange = 0;
    connection->since = MonotonicNow();
    connection->parser.Next();
    if (!connection->unparsed.empty()) {
      // Deferred, as the owner is still sending a response.
      asio::post(this->context, [this, id, connection, alive = this->alive] {
        if (*alive && this->connections.count(id) > 0) {
          this->Parse(id, connection);
          this->Read(id, connection);
        }
      });
    }
  }

  /// Closes a connection; what was read from it and not answered ends as
  /// `outcome`.
  void Drop(ConnectionId id, ExchangeOutcome outcome) {
    const auto found = this->connections.find(id);
    if (found == this->connections.end()) {
      return;
    }
    const ConnectionPtr connection = found->second;
    this->connections.erase(found);
    this->memory.Remove(connection->memory);
    std::error_code ignored;
    connection->socket.close(ignored);
    this->unsent -= connection->Unsent();
    connection->outgoing.clear();
    connection->closed_as = outcome;
    this->SettleSent(connection);
    if (this->exchanges.erase(connection->exchange) > 0) {
      this->ledger.End(connection->exchange, outcome, MonotonicNow());
      this->handlers.on_gone(connection->exchange);
    }
  }

  void AbortAs(ExchangeId exchange, ExchangeOutcome outcome) {
    const auto found = this->exchanges.find(exchange);
    if (found == this->exchanges.end()) {
      return;
    }
    const ConnectionId id = found->second;
    this->exchanges.erase(found);
    this->ledger.End(exchange, outcome, MonotonicNow());
    this->Drop(id, outcome);
  }

  std::string Head(Connection& connection, int status,
                   const Headers& headers) const {
    std::string head =
        fmt::format("HTTP/1.1 {} {}\r\n", status, ReasonFor(status));
    if (status == kNoContentStatus && headers.Has("Content-Length")) {
      Headers fields = headers;
      fields.Remove("Content-Length");
      AppendFields(head, fields);
    } else {
      AppendFields(head, headers);
    }
    if (connection.keep_alive) {
      const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
          this->limits.idle_timeout);
      connection.promised_idle = this->limits.idle_timeout;
      head += fmt::format("Keep-Alive: timeout={}\r\n", seconds.count());
    } else {
      head += "Connection: close\r\n";
    }
    return head;
  }

  void Sweep() {
    this->sweep.expires_after(kSweepInterval);
    this->sweep.async_wait([this, alive = this->alive](std::error_code error) {
      if (!error && *alive) {
        this->DropExpired();
        this->Sweep();
      }
    });
  }

  bool Expired(const Connection& connection, Time now) const {
    if (connection.phase == Phase::kServing) {
      return false;
    }
    if (!connection.AllSent()) {
      return now - connection.last_written > kWriteStall;
    }
    const Duration waited =
        now - std::max(connection.since, connection.last_written);
    if (connection.phase == Phase::kLingering) {
      return waited > kLinger;
    }
    if (connection.parser.HeadComplete()) {
      return waited > this->limits.body_timeout;
    }
    if (connection.parser.Started()) {
      return waited > this->limits.header_timeout;
    }
    return waited > (this->leaving
                         ? Duration(kLinger)
                         : std::max<Duration>(connection.promised_idle,
                                              this->limits.idle_timeout));
  }

  void DropExpired() {
    const Time now = MonotonicNow();
    std::vector<ConnectionId> expired;
    for (const auto& [id, connection] : this->connections) {
      if (this->leaving && connection->phase == Phase::kLingering &&
          connection->AcknowledgedMore()) {
        connection->since = now;
      }
      // What was sent in time is read first; a client that goes on sending is
      // not spared again.
      const bool expires =
          this->Expired(*connection, now) &&
          (!connection->HasUnread() || std::exchange(connection->spared, true));
      if (expires) {
        expired.push_back(id);
      }
    }
    for (const ConnectionId id : expired) {
      const ConnectionPtr connection = this->connections.at(id);
      const bool half_read =
          connection->phase == Phase::kReading && connection->parser.Started();
      if (half_read) {
        this->Refuse(connection, 408);
      } else {
        this->Drop(id, ExchangeOutcome::kStalled);
      }
    }
  }

  asio::io_context& context;
  RequestMemory own_memory;
  RequestMemory& memory;  ///< The owner's, or `own_memory`.
  HttpServerLimits limits;
  HttpServerHandlers handlers;
  ExchangeLedger ledger;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer accept_pause;
  asio::steady_timer sweep;
  std::unordered_map<ConnectionId, ConnectionPtr> connections;
  std::unordered_map<ExchangeId, ConnectionId> exchanges;
  ConnectionId last_connection = 0;
  ExchangeId last_exchange = 0;
  bool leaving = false;
  std::size_t unsent = 0;  ///< Response bytes of all connections.
  bool trim_posted = false;
  std::uint64_t closed_for_memory = 0;
  Time next_search{};  ///< For idle connections.
  /// False after destruction, for completion handlers still queued on the loop.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

HttpServer::HttpServer(asio::io_context& context, const Endpoint& listen,
                       HttpServerLimits limits, HttpServerHandlers handlers,
                       RequestMemory* memory)
    : impl(std::make_unique<Impl>(context, listen, limits, std::move(handlers),
                                  memory)) {}

HttpServer::~HttpServer() = default;

void HttpServer::Respond(ExchangeId exchange, const HttpResponse& response) {
  const auto connection = this->impl->Serving(exchange);
  if (connection == nullptr) {
    return;
  }
  connection->status = response.status;
  std::string bytes =
      this->impl->Head(*connection, response.status, response.headers);
  if (ForbidsBody(response.status)) {
    bytes += "\r\n";
  } else {
    bytes += fmt::format("Content-Length: {}\r\n\r\n", response.body.size());
    bytes += connection->WantsBody() ? response.body : "";
  }
  this->impl->Send(connection, bytes);
  this->impl->Finish(exchange);
}

void HttpServer::BeginStream(ExchangeId exchange, int status,
                             const Headers& headers) {
  const auto connection = this->impl->Serving(exchange);
  if (connection == nullptr) {
    return;
  }
  connection->status = status;
  connection->has_body = connection->WantsBody() && !ForbidsBody(status);
  connection->chunked = connection->has_body && !headers.Has("Content-Length");
  std::string head = this->impl->Head(*connection, status, headers);
  if (connection->chunked) {
    head += "Transfer-Encoding: chunked\r\n";
  }
  head += "\r\n";
  // The head is sent with the first bytes of the body: one write instead of
  // two.
  this->impl->Queue(connection, head);
  connection->head_begun = true;
}

void HttpServer::Write(ExchangeId exchange, std::string_view bytes) {
  const auto connection = this->impl->Serving(exchange);
  if (connection == nullptr || bytes.empty() || !connection->has_body) {
    return;
  }
  if (connection->chunked) {
    this->impl->Queue(connection, fmt::format("{:x}\r\n", bytes.size()));
    this->impl->Queue(connection, bytes);
    this->impl->Queue(connection, "\r\n");
  } else {
    this->impl->Queue(connection, bytes);
  }
  this->impl->StartWrite(connection);
}

void HttpServer::EndStream(ExchangeId exchange) {
  const auto connection = this->impl->Serving(exchange);
  if (connection == nullptr) {
    return;
  }
  this->impl->Send(connection, connection->chunked ? "0\r\n\r\n" : "");
  this->impl->Finish(exchange);
}

void HttpServer::Abort(ExchangeId exchange) {
  this->impl->AbortAs(exchange, ExchangeOutcome::kAborted);
}

void HttpServer::AbortStalled(ExchangeId exchange) {
  this->impl->AbortAs(exchange, ExchangeOutcome::kStalled);
}

std::size_t HttpServer::Unsent(ExchangeId exchange) const {
  const auto connection = this->impl->Serving(exchange);
  return connection == nullptr ? 0 : connection->Unsent();
}

std::size_t HttpServer::UnsentTotal() const { return this->impl->unsent; }

Duration HttpServer::Stalled(ExchangeId exchange) const {
  const auto connection = this->impl->Serving(exchange);
  return connection == nullptr ? Duration::zero()
                               : connection->Stalled(MonotonicNow());
}

std::uint64_t HttpServer::ClosedForMemory() const {
  return this->impl->closed_for_memory;
}

void HttpServer::SetLimits(const HttpServerLimits& limits) {
  this->impl->limits = limits;
}

void HttpServer::BeginLeave() {
  this->impl->leaving = true;
  for (auto& [id, connection] : this->impl->connections) {
    // A client that was told that its connection is kept may send the next
    // request at once, which is answered.
    connection->keep_alive = connection->keep_alive && connection->head_begun;
  }
}

void HttpServer::StopAccepting() {
  this->impl->AcceptWaiting();
  std::error_code ignored;
  this->impl->acceptor.close(ignored);
}

std::size_t HttpServer::OpenExchanges() const {
  const auto unsent =
      std::ranges::count_if(this->impl->connections, [](const auto& entry) {
        const Impl::Connection& connection = *entry.second;
        return connection.phase != Impl::Phase::kServing &&
               !connection.AllSent();
      });
  return this->impl->exchanges.size() + static_cast<std::size_t>(unsent);
}

std::size_t HttpServer::OpenConnections() const {
  return this->impl->connections.size();
}

void HttpServer::RefuseUnread() {
  constexpr int kRequestTimeout = 408;
  for (auto& [id, connection] : this->impl->connections) {
    const bool half_read = connection->phase == Impl::Phase::kReading &&
                           connection->parser.Started();
    if (half_read) {
      this->impl->Refuse(connection, kRequestTimeout);
    }
  }
}

std::vector<ConnectionState> HttpServer::UsedConnections() const {
  const Time now = MonotonicNow();
  std::vector<ConnectionState> used;
  for (const auto& [id, connection] : this->impl->connections) {
    const ConnectionState state = connection->State(now);
    if (connection->Used() || state.unread > 0) {
      used.push_back(state);
    }
  }
  return used;
}

const ExchangeLedger& HttpServer::ledger() const { return this->impl->ledger; }

std::uint16_t HttpServer::port() const {
  return this->impl->acceptor.local_endpoint().port();
}

}  // namespace papayarack::http
