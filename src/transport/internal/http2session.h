#ifndef PAPAYARACK_TRANSPORT_INTERNAL_HTTP2SESSION_H_
#define PAPAYARACK_TRANSPORT_INTERNAL_HTTP2SESSION_H_

#include <nghttp2/nghttp2.h>

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "global/timepoint.h"
#include "transport/internal/transportcounters.h"

namespace papayarack::transport {

/// One nghttp2 connection over a connected socket. Every method runs on the I/O
/// thread.
class Http2Session : public std::enable_shared_from_this<Http2Session> {
 public:
  enum class Side { kServer, kClient };

  struct Callbacks {
    std::function<void(std::int32_t stream)> on_headers_end;
    std::function<void(std::int32_t stream, std::string_view bytes)> on_data;
    std::function<void(std::int32_t stream)>
        on_stream_end;  ///< The peer sent END_STREAM.
    std::function<void(std::int32_t stream, std::uint32_t error)>
        on_stream_close;
    std::function<void()> on_closed;  ///< The connection closed; called once.
    std::function<void(std::int32_t last_stream)> on_goaway;
  };

  /// `counters` records the traffic of this connection.
  Http2Session(asio::ip::tcp::socket socket, Side side, Callbacks callbacks,
               std::shared_ptr<TransportCounters> counters);
  ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  /// Starts reading; call once, after construction in a shared_ptr.
  void Start();
  /// Client: opens a request stream. Returns its id, which is not positive if
  /// the session accepts no more streams.
  std::int32_t OpenRequest(std::string_view path, std::string body);
  /// Server: starts the response on a stream.
  void StartResponse(std::int32_t stream);
  /// Server: appends response bytes; with `last` the stream ends after them.
  void AddBody(std::int32_t stream, std::string_view bytes, bool last);
  void ResetStream(std::int32_t stream, std::uint32_t error);
  void SendPing();
  void SendGoaway();
  /// Path of a request stream (server side).
  std::string_view PathOf(std::int32_t stream) const;
  /// Sends queued frames; call after a group of the methods above.
  void Flush();
  /// Closes the connection.
  void Close();
  Time LastHeard() const { return this->last_heard; }
  bool Closed() const { return this->closed; }

 private:
  /// Unsent bytes of one stream.
  struct Outgoing {
    std::string bytes;
    std::size_t sent = 0;
    bool last = false;
    std::string path;
    PathCounters* counters = nullptr;  ///< Null before the first message.
  };
  friend struct Http2Hooks;

  void Read();
  void Write();
  std::string CollectOutput();
  /// Counts a message queued on the stream.
  void CountMessage(Outgoing& out, std::string_view path, std::size_t bytes);
  /// Counts message bytes that left the stream's queue: copied to the write
  /// buffer or discarded.
  void CountDequeued(const Outgoing& out, std::size_t bytes);
  /// Subtracts this connection from the counters when it closes.
  void ReleaseCounters();

  asio::ip::tcp::socket socket;
  Callbacks callbacks;
  nghttp2_session* session = nullptr;
  std::map<std::int32_t, Outgoing> outgoing;
  /// Small, as each of several hundred connections has one.
  std::array<char, std::size_t{16} * 1024> read_buffer{};
  std::string write_buffer;
  /// Null after the connection closed.
  std::shared_ptr<TransportCounters> counters;
  /// This connection's share of the counter: queued message bytes and the write
  /// buffer.
  std::uint64_t unsent_bytes = 0;
  bool writing = false;
  bool closed = false;
  Time last_heard;
};

}  // namespace papayarack::transport

#endif  // PAPAYARACK_TRANSPORT_INTERNAL_HTTP2SESSION_H_
