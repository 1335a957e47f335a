#ifndef PAPAYARACK_HTTP_HTTPCLIENT_H_
#define PAPAYARACK_HTTP_HTTPCLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "global/settings.h"
#include "http/headers.h"

namespace asio {
class io_context;
}

namespace papayarack::http {

/// Names one call of one client.
using HttpCallId = std::uint64_t;

/// One request to send.
struct HttpCall {
  Endpoint peer;
  std::string method = "GET";
  std::string target;
  Headers headers;  ///< Content-Length is added.
  std::string body;
  /// Name and value of the header by which an answer is known to be this
  /// call's; an answer that names another is skipped. Empty: not checked.
  Header identity;
  /// Whether a kept connection may carry it. A kept connection can have been
  /// forgotten by the peer, so the outcome of a failure on one is unknown.
  bool reuse = true;
};

/// The head of an answer.
struct HttpHead {
  int status = 0;
  Headers headers;
};

/// How a call ended.
enum class HttpEnd {
  kComplete,   ///< The whole answer arrived.
  kNotSent,    ///< No byte of the request left: it did not run.
  kBroken,     ///< The connection ended or was reset; it may have run.
  kMalformed,  ///< What arrived is not an answer; it may have run.
};

/// Called on the loop, in this order; they must not wait. on_end is called
/// once, and not at all after Cancel.
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
  std::size_t max_head_bytes = 32U << 10U;
};

/// An event-driven HTTP/1.1 client with kept connections. Thread safety: none,
/// the loop's thread.
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
  /// Gives up: the connection is closed, which is how the peer learns of it. No
  /// handler is called any more.
  void Cancel(HttpCallId call);
  /// Closes the kept connections to `peer` that carry no call: for a peer that
  /// is known to have started again. Symptom guarded against: a request may
  /// have run and cannot be repeated. It was sent on a connection that its peer
  /// had forgotten, and broke without an answer.
  void CloseIdle(const Endpoint& peer);
  std::uint64_t ConnectionsMade() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace papayarack::http

#endif  // PAPAYARACK_HTTP_HTTPCLIENT_H_
