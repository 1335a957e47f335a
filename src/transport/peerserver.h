#ifndef PAPAYARACK_TRANSPORT_PEERSERVER_H_
#define PAPAYARACK_TRANSPORT_PEERSERVER_H_

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

/// Names one request stream of one connection for the life of the server.
using StreamId = std::uint64_t;

/// What a server tells its owner; all three run on the server's own I/O thread
/// and must not wait for anything.
struct PeerServerHandlers {
  /// A whole request arrived. Answer it with Send and Finish, in any order
  /// among streams.
  std::function<void(StreamId, std::string_view path, std::string body)>
      on_request;
  /// The requester reset the stream or its connection is gone: stop the work.
  std::function<void(StreamId)> on_cancel;
};

struct PeerServerOptions {
  /// A connection without a byte for this long is dropped, which cancels its
  /// requests. A client that lives sends a PING after each second without one
  /// (PeerClientOptions). Symptom guarded against: an entry's VM loses power;
  /// nothing says so to the gates, whose slots stay taken by its requests until
  /// it is back.
  std::chrono::milliseconds silent_after{2500};
};

/// Accepts nghttp2 connections of other papayarack processes on one I/O thread.
/// Thread safety: every method, any thread.
class PeerServer {
 public:
  /// Binds at once. Throws ResultError(kBadInput) when the address cannot be
  /// bound.
  PeerServer(const Endpoint& listen, PeerServerHandlers handlers,
             PeerServerOptions options = {});
  /// The same on the owner's loop, with no thread of its own. Precondition:
  /// `context` outlives the server, which is made and destroyed on that loop's
  /// thread (or while it does not run).
  PeerServer(asio::io_context& context, const Endpoint& listen,
             PeerServerHandlers handlers, PeerServerOptions options = {});
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Sends one message on the stream; ignored when the stream is gone.
  void Send(StreamId stream, std::string_view message);
  /// Ends the stream after all that was sent.
  void Finish(StreamId stream);
  /// Port in use; useful when the settings asked for port 0.
  std::uint16_t port() const;
  /// Stops accepting and tells every peer that the connection takes no new
  /// streams; streams that are open go on.
  void BeginLeave();
  /// Number of open streams.
  std::size_t OpenStreams() const;
  /// Bytes, connections and answers by path since the start; each figure is
  /// exact, but they are read one after the other.
  TransportTotals Totals() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace papayarack::transport

#endif  // PAPAYARACK_TRANSPORT_PEERSERVER_H_
