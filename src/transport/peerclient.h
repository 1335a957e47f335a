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

/// Names one call of one client.
using CallId = std::uint64_t;

/// How a call ended.
enum class CallEnd {
  kFinished,  ///< The peer ended the stream as whole.
  kNotSent,   ///< No byte of the request reached the peer's application: it was
              ///< not run.
  kLost,  ///< The connection or stream broke after the request may have been
          ///< seen.
};

/// What a client tells the maker of one call; both run on the client's I/O
/// thread and must not wait for anything. on_end is called exactly once, after
/// the last on_message.
struct CallHandlers {
  std::function<void(std::string message)> on_message;
  std::function<void(CallEnd)> on_end;
};

/// Timings of the guards against connections that fall silent or are never
/// made.
struct PeerClientOptions {
  /// For the first attempt at an address; doubled by each attempt that times
  /// out, up to the longest. Symptom guarded against: a call takes a second
  /// more than its peer needs. Its opening packet was lost, and the kernel
  /// sends it again only after a second; a fresh attempt sends one at once. Ten
  /// times the round trip between regions of one continent is 200 ms.
  std::chrono::milliseconds connect_timeout{200};
  std::chrono::milliseconds longest_connect_timeout{1000};
  std::chrono::milliseconds ping_after{
      1000};  ///< Quiet for this long: send PING.
  std::chrono::milliseconds silent_after{
      2000};  ///< Still quiet: drop the connection.
};

/// Calls other papayarack processes over nghttp2, one connection for each
/// address, on one I/O thread. Thread safety: every method, any thread.
class PeerClient {
 public:
  /// Runs on an I/O thread of its own.
  explicit PeerClient(PeerClientOptions options = {});
  /// Runs on the owner's loop: handlers are called there, and there is no
  /// thread hop. Precondition: `context` outlives the client, which is made and
  /// destroyed on that loop's thread (or while it does not run).
  explicit PeerClient(asio::io_context& context,
                      PeerClientOptions options = {});
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// Starts a call. Its end is always reported, also when no connection can be
  /// made.
  CallId Call(const Endpoint& peer, std::string_view path, std::string body,
              CallHandlers handlers);
  /// Gives up on a call: the stream is reset and on_end(kLost) follows unless
  /// it already ended.
  void Cancel(CallId call);

  /// Makes a call and waits for its first message. Throws
  /// ResultError(kConnectionLost) when there is none within `timeout`, or
  /// kNoUpstream when it was never sent.
  std::string CallAndWait(const Endpoint& peer, std::string_view path,
                          std::string body, std::chrono::milliseconds timeout);
  /// Bytes, connections and requests by path since the start; each figure is
  /// exact, but they are read one after the other. A call whose connection is
  /// still being made is not in them.
  TransportTotals Totals() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace papayarack::transport

#endif  // PAPAYARACK_TRANSPORT_PEERCLIENT_H_
