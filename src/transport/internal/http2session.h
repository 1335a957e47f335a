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
#include "transport/internal/transporttally.h"

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
        on_stream_end;  ///< The peer sent its last byte.
    std::function<void(std::int32_t stream, std::uint32_t error)>
        on_stream_close;
    std::function<void()> on_closed;  ///< The connection is gone; called once.
    std::function<void(std::int32_t last_stream)> on_goaway;
  };

  /// `tally` gets what this connection moves.
  Http2Session(asio::ip::tcp::socket socket, Side side, Callbacks callbacks,
               std::shared_ptr<TransportTally> tally);
  ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  /// Begins reading; call once, after construction in a shared_ptr.
  void Start();
  /// Client: opens a request stream. Negative when the session takes no more.
  std::int32_t OpenRequest(std::string_view path, std::string body);
  /// Server: opens the answer on a stream.
  void StartResponse(std::int32_t stream);
  /// Server: adds answer bytes; with `last` the stream ends after them.
  void AddBody(std::int32_t stream, std::string_view bytes, bool last);
  void ResetStream(std::int32_t stream, std::uint32_t error);
  void SendPing();
  void SendGoaway();
  /// Path of a request stream (server side).
  std::string_view PathOf(std::int32_t stream) const;
  /// Sends what is queued; call after a group of the methods above.
  void Flush();
  /// Drops the connection.
  void Close();
  Time LastHeard() const { return this->last_heard; }
  bool Closed() const { return this->closed; }

 private:
  /// Bytes that one stream still has to send.
  struct Outgoing {
    std::string bytes;
    std::size_t sent = 0;
    bool last = false;
    std::string path;
    PathTally* tally = nullptr;  ///< Null until there was a message.
  };
  friend struct Http2Hooks;

  void Read();
  void Write();
  std::string CollectOutput();
  /// A whole message begins to wait on the stream.
  void CountMessage(Outgoing& out, std::string_view path, std::size_t bytes);
  /// Message bytes of the stream wait no more: they went into the write buffer
  /// or were dropped.
  void CountTaken(const Outgoing& out, std::size_t bytes);
  /// Nothing waits any more: the connection is gone.
  void LeaveTally();

  asio::ip::tcp::socket socket;
  Callbacks callbacks;
  nghttp2_session* session = nullptr;
  std::map<std::int32_t, Outgoing> outgoing;
  /// Small, as each of some hundred connections holds one.
  std::array<char, std::size_t{16} * 1024> read_buffer{};
  std::string write_buffer;
  /// Null once the connection is gone.
  std::shared_ptr<TransportTally> tally;
  /// Of this connection in the tally: message bytes and the write buffer.
  std::uint64_t unsent_bytes = 0;
  bool writing = false;
  bool closed = false;
  Time last_heard;
};

}  // namespace papayarack::transport

#endif  // PAPAYARACK_TRANSPORT_INTERNAL_HTTP2SESSION_H_
