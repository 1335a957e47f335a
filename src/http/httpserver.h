#ifndef PAPAYARACK_HTTP_HTTPSERVER_H_
#define PAPAYARACK_HTTP_HTTPSERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "global/settings.h"
#include "http/connectionstate.h"
#include "http/exchangeledger.h"
#include "http/headers.h"
#include "http/requestmemory.h"

namespace asio {
class io_context;
}

namespace papayarack::http {

/// A complete request.
struct HttpRequest {
  std::string method;
  std::string target;  ///< Path and query, as on the wire.
  Headers headers;
  std::string body;

  std::string_view Path() const;
  std::string_view Query() const;
};

/// A complete response.
struct HttpResponse {
  int status = 200;
  Headers headers;
  std::string body;
};

/// Limits on the size and duration of requests.
struct HttpServerLimits {
  std::size_t max_header_bytes = 16U << 10U;
  std::size_t max_body_bytes = 4U << 20U;
  std::chrono::milliseconds header_timeout{3000};  ///< From the first byte.
  std::chrono::milliseconds body_timeout{10000};  ///< From the end of the head.
  std::chrono::milliseconds idle_timeout{15000};  ///< Between two requests.
  /// Beyond it the connections that have been idle longest are closed, if any
  /// has been for a second, otherwise the new one.
  std::size_t max_connections = 3000;
  /// Response bytes held for all clients together. Beyond it the connections
  /// whose clients have taken nothing for longest are closed, but not the only
  /// one with bytes to send. A quarter of the memory of the smallest supported
  /// entry, 120 MB.
  std::size_t max_unsent_bytes = 30U << 20U;
};

/// Called on the event loop; they must not block.
struct HttpServerHandlers {
  /// A complete request arrived; answer it with the server's methods.
  std::function<void(ExchangeId, HttpRequest)> on_request;
  /// The client closed its connection before the response was complete: stop
  /// the work. Not called after Respond, EndStream or Abort.
  std::function<void(ExchangeId)> on_gone;
  /// A request was cut: it ended without a complete response, and not by its
  /// client. May be empty; called before on_gone, and must not call the server.
  ExchangeLedger::OnCut on_cut = {};
};

/// An event-driven HTTP/1.1 server. It answers malformed requests with 400, 413
/// or 431, requests that arrive too slowly with 408 and those for which there
/// is no memory with 503, and closes their connection; they never reach the
/// owner. Thread safety: none, the loop's thread.
class HttpServer {
 public:
  /// Binds immediately. `memory` is shared with other servers of the process;
  /// null: the server has its own. Precondition: `context` and `memory` outlive
  /// the server. Throws ResultError(kBadInput) when the address cannot be
  /// bound.
  HttpServer(asio::io_context& context, const Endpoint& listen,
             HttpServerLimits limits, HttpServerHandlers handlers,
             RequestMemory* memory = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Sends a complete response. Ignored, as are the methods below, when the
  /// exchange is over.
  void Respond(ExchangeId exchange, const HttpResponse& response);
  /// Sends the head of a response whose body follows; without a Content-Length
  /// in `headers` the body is sent in chunks.
  void BeginStream(ExchangeId exchange, int status, const Headers& headers);
  void Write(ExchangeId exchange, std::string_view bytes);
  /// Completes the body.
  void EndStream(ExchangeId exchange);
  /// Closes the connection, so that a partial response does not look complete.
  void Abort(ExchangeId exchange);
  /// The same for a client that does not read; it counts as kStalled.
  void AbortStalled(ExchangeId exchange);
  /// Response bytes queued or in the write in progress.
  std::size_t Unsent(ExchangeId exchange) const;
  /// The same of all connections, also of responses that are complete.
  std::size_t UnsentTotal() const;
  /// For how long the client has taken no byte although some are held for it;
  /// zero if none are.
  Duration Stalled(ExchangeId exchange) const;
  /// Connections closed as all clients together held too many bytes.
  std::uint64_t ClosedForMemory() const;

  /// A request of which bytes were read keeps to the limits on sizes that were
  /// in force when it began.
  void SetLimits(const HttpServerLimits& limits);
  /// Closes idle connections, and every other connection after its response,
  /// or after a time without a request if the response announced that it is
  /// kept. A connection whose client was told that it is closed stays open
  /// until the client has closed it, or has taken nothing for a second. New
  /// connections are still accepted, as the load balancer notices the shutdown
  /// late.
  void BeginLeave();
  /// Accepts no further connections; open ones continue.
  void StopAccepting();
  /// Number of requests being answered, with those whose response is complete
  /// but not sent.
  std::size_t OpenExchanges() const;
  /// Connections that are open, also those that wait for a request or for
  /// their client's close. After StopAccepting they only become fewer, and
  /// after BeginLeave each is closed once its client has its last response.
  std::size_t OpenConnections() const;
  /// Refuses the requests that are not read whole yet: they get no answer
  /// otherwise when the process ends.
  void RefuseUnread();
  /// Connections of which bytes were read or written.
  std::vector<ConnectionState> UsedConnections() const;
  /// What became of the requests that were read whole.
  const ExchangeLedger& ledger() const;
  std::uint16_t port() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace papayarack::http

#endif  // PAPAYARACK_HTTP_HTTPSERVER_H_
