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

/// Identifies one request stream; unique for the lifetime of the server.
using StreamId = std::uint64_t;

/// Callbacks of a server; they run on its I/O thread and must not block.
struct PeerServerHandlers {
  /// A complete request arrived. Answer it with Send and Finish; streams may be
  /// answered in any order.
  std::function<void(StreamId, std::string_view path, std::string body)>
      on_request;
  /// The client reset the stream or its connection closed: stop the work.
  std::function<void(StreamId)> on_cancel;
};

struct PeerServerOptions {
  /// A connection that receives no byte for this long is closed, which cancels
  /// its requests. A live client sends a PING after each second without traffic
  /// (PeerClientOptions). Without this timeout, requests of an entry whose VM
  /// lost power would keep their slots at the gates until it is back, as
  /// nothing reports the loss.
  std::chrono::milliseconds silent_after{2500};
};

/// Accepts HTTP/2 connections of other papayarack processes on one I/O thread.
/// Thread safety: every method, any thread.
class PeerServer {
 public:
  /// Binds immediately. Throws ResultError(kBadInput) when the address cannot
  /// be bound.
  PeerServer(const Endpoint& listen, PeerServerHandlers handlers,
             PeerServerOptions options = {});
  /// Runs on the owner's event loop instead of its own thread. Precondition:
  /// `context` outlives the server, which is constructed and destroyed on that
  /// loop's thread (or while it does not run).
  PeerServer(asio::io_context& context, const Endpoint& listen,
             PeerServerHandlers handlers, PeerServerOptions options = {});
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Sends one message on the stream; ignored when the stream is closed.
  void Send(StreamId stream, std::string_view message);
  /// Ends the stream after all messages were sent.
  void Finish(StreamId stream);
  /// The bound port; useful when the settings specify port 0.
  std::uint16_t port() const;
  /// Stops accepting connections and sends GOAWAY on the open ones; open
  /// streams continue.
  void BeginLeave();
  /// Number of open streams.
  std::size_t OpenStreams() const;
  /// Bytes of responses on `path` that are not passed to a write yet. Cheaper
  /// than Totals.
  std::uint64_t UnsentBytes(std::string_view path) const;
  /// Bytes, connections and responses by path since the start. Each value is
  /// exact, but they are not read atomically together.
  TransportTotals Totals() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace papayarack::transport

#endif  // PAPAYARACK_TRANSPORT_PEERSERVER_H_
