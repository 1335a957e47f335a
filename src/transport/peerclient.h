#ifndef PAPAYARACK_TRANSPORT_PEERCLIENT_H_
#define PAPAYARACK_TRANSPORT_PEERCLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "global/resultcode.h"
#include "global/settings.h"
#include "transport/transporttotals.h"

namespace asio {
class io_context;
}

namespace papayarack::transport {

/// Identifies one call of a client.
using CallId = std::uint64_t;

/// How a call ended.
enum class CallEnd {
  kFinished,  ///< The peer completed the stream.
  kNotSent,   ///< No byte of the request reached the peer's application, so it
              ///< did not run.
  kLost,  ///< The connection or stream broke after the peer may have received
          ///< the request.
};

/// Callbacks of one call; both run on the client's I/O thread and must not
/// block. on_end is called exactly once, after the last on_message.
struct CallHandlers {
  std::function<void(std::string message)> on_message;
  std::function<void(CallEnd)> on_end;
};

/// Timeouts that detect silent connections and failed connection attempts.
struct PeerClientOptions {
  /// For the first attempt at an address; doubled by each attempt that times
  /// out, up to max_connect_timeout. If the SYN packet is lost, the kernel
  /// retransmits it only after a second, whereas a new attempt sends one at
  /// once. 200 ms is ten times the round trip between regions of one continent.
  std::chrono::milliseconds connect_timeout{200};
  std::chrono::milliseconds max_connect_timeout{1000};
  std::chrono::milliseconds ping_after{
      1000};  ///< Send PING when nothing was received for this long.
  std::chrono::milliseconds silent_after{
      2000};  ///< Close the connection when nothing was received.
};

/// Calls other papayarack processes over HTTP/2, with one connection for each
/// address, on one I/O thread. Thread safety: every method, any thread.
class PeerClient {
 public:
  /// Runs on its own I/O thread.
  explicit PeerClient(PeerClientOptions options = {});
  /// Runs on the owner's event loop, which also runs the handlers, so no call
  /// switches threads. Precondition: `context` outlives the client, which is
  /// constructed and destroyed on that loop's thread (or while it does not
  /// run).
  explicit PeerClient(asio::io_context& context,
                      PeerClientOptions options = {});
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// Starts a call. on_end is always called, even if no connection can be
  /// established.
  CallId Call(const Endpoint& peer, std::string_view path, std::string body,
              CallHandlers handlers);
  /// Cancels a call: resets the stream and calls on_end(kLost), or
  /// on_end(kNotSent) if no stream was opened, unless the call already ended.
  void Cancel(CallId call);

  /// Makes a call and waits for its first message. Throws
  /// ResultError(kConnectionLost) when none arrives within `timeout`, or
  /// kNoUpstream when the call was never sent.
  std::string CallAndWait(const Endpoint& peer, std::string_view path,
                          std::string body, std::chrono::milliseconds timeout);
  /// Bytes, connections and requests by path since the start. Each value is
  /// exact, but they are not read atomically together. Calls on a connection
  /// that is still being established are not included.
  TransportTotals Totals() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace papayarack::transport

#endif  // PAPAYARACK_TRANSPORT_PEERCLIENT_H_
