#ifndef PAPAYARACK_HTTP_HTTPCLIENT_H_
#define PAPAYARACK_HTTP_HTTPCLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "global/settings.h"
#include "http/headers.h"

namespace asio {
class io_context;
}

namespace papayarack::http {

/// Identifies one call of a client.
using HttpCallId = std::uint64_t;

/// One request to send.
struct HttpCall {
  Endpoint peer;
  std::string method = "GET";
  std::string target;
  Headers headers;  ///< Content-Length is added.
  std::string body;
  /// Name and value of the header that identifies the response to this call; a
  /// response with another value is skipped. A pooled connection that has
  /// carried a call with the same value is not used. Empty: not checked; uses
  /// other connections than calls that have one.
  Header identity;
  /// Whether a pooled connection may be used. The peer may already have closed
  /// it, so the outcome of a failure on one is unknown.
  bool reuse = true;
  /// A response with a longer body ends as kMalformed, so that a faulty peer
  /// cannot fill the memory of a caller that collects the body.
  std::size_t max_body_bytes = std::numeric_limits<std::size_t>::max();
};

/// Status and header fields of a response.
struct HttpHead {
  int status = 0;
  Headers headers;
};

/// How a call ended.
enum class HttpEnd {
  kComplete,  ///< The complete response arrived.
  kNotSent,   ///< No byte of the request was sent: it did not run.
  kBroken,    ///< The connection ended or was reset; the request may have run.
  /// The response is malformed or exceeds a limit; the request may have run.
  kMalformed,
};

/// Called on the event loop, in this order; they must not block. on_end is
/// called once, and not at all after Cancel.
struct HttpCallHandlers {
  std::function<void(const HttpHead&)> on_head;
  std::function<void(std::string_view bytes)> on_body;
  std::function<void(HttpEnd)> on_end;
};

struct HttpClientOptions {
  std::chrono::milliseconds connect_timeout{500};
  /// Idle connections are closed before the peer would close them.
  std::chrono::milliseconds max_idle{3000};
  std::size_t max_idle_per_peer = 16;
  /// Names and values of a response's fields and trailers, and sizeof(Header)
  /// for each; also bytes of all interim responses.
  std::size_t max_head_bytes = 32U << 10U;
  /// Bytes of responses to earlier calls that are skipped for one call. More
  /// means that the peer is faulty, so the call is malformed.
  std::size_t max_skipped_bytes = 1U << 20U;
};

/// An event-driven HTTP/1.1 client with pooled connections. Thread safety:
/// none, the loop's thread.
class HttpClient {
 public:
  /// Precondition: `context` outlives the client.
  explicit HttpClient(asio::io_context& context,
                      HttpClientOptions options = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call. No handler is called before this returns.
  HttpCallId Call(HttpCall call, HttpCallHandlers handlers);
  /// Cancels a call by closing its connection, which notifies the peer. No
  /// handler is called any more.
  void Cancel(HttpCallId call);
  /// Stops reading the response, so that TCP slows down the peer. At most one
  /// read that is in progress is still passed on. An end of the connection is
  /// noticed only after Resume. Ignored when the call has ended.
  void Pause(HttpCallId call);
  /// Continues reading; ignored when the call has ended or is not paused.
  void Resume(HttpCallId call);
  /// Closes the idle connections to `peer`, for a peer that is known to have
  /// restarted. Otherwise the next request would be sent on a connection that
  /// the peer no longer knows and break without a response; it might have run,
  /// so it could not be retried.
  void CloseIdle(const Endpoint& peer);
  std::uint64_t ConnectionsMade() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace papayarack::http

#endif  // PAPAYARACK_HTTP_HTTPCLIENT_H_
