#include "transport/internal/http2session.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "global/resultcode.h"

namespace papayarack::transport {

namespace {
constexpr std::uint32_t kMaxStreams = 10000;
constexpr std::int32_t kStreamWindow = 4 << 20;
constexpr std::int32_t kConnectionWindow = 64 << 20;
constexpr std::size_t kWriteChunk = std::size_t{256} * 1024;

nghttp2_nv Header(std::string_view name, std::string_view value) {
  // nghttp2 copies both and modifies neither, but its type lacks const.
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}
}  // namespace

/// The C callbacks for nghttp2, which forward to the session.
struct Http2Hooks {
  static Http2Session& Self(void* user) {
    return *static_cast<Http2Session*>(user);
  }

  static int OnHeader(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_length,
                      const std::uint8_t* value, std::size_t value_length,
                      std::uint8_t /*flags*/, void* user) {
    const std::string_view key(reinterpret_cast<const char*>(name),
                               name_length);
    if (key == ":path") {
      Self(user).outgoing[frame->hd.stream_id].path.assign(
          reinterpret_cast<const char*>(value), value_length);
    }
    return 0;
  }

  static int OnFrame(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                     void* user) {
    Http2Session& self = Self(user);
    const std::int32_t stream = frame->hd.stream_id;
    if (frame->hd.type == NGHTTP2_HEADERS && self.callbacks.on_headers_end) {
      self.callbacks.on_headers_end(stream);
    }
    if (frame->hd.type == NGHTTP2_GOAWAY && self.callbacks.on_goaway) {
      self.callbacks.on_goaway(frame->goaway.last_stream_id);
    }
    const bool carries_end =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (carries_end && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      self.callbacks.on_stream_end(stream);
    }
    return 0;
  }

  static int OnData(nghttp2_session* /*session*/, std::uint8_t /*flags*/,
                    std::int32_t stream, const std::uint8_t* data,
                    std::size_t length, void* user) {
    Self(user).callbacks.on_data(stream,
                                 {reinterpret_cast<const char*>(data), length});
    return 0;
  }

  static int OnClose(nghttp2_session* /*session*/, std::int32_t stream,
                     std::uint32_t error, void* user) {
    Http2Session& self = Self(user);
    self.callbacks.on_stream_close(stream, error);
    const auto found = self.outgoing.find(stream);
    if (found != self.outgoing.end()) {
      self.CountDequeued(found->second,
                         found->second.bytes.size() - found->second.sent);
      self.outgoing.erase(found);
    }
    return 0;
  }

  static ssize_t OnBody(nghttp2_session* /*session*/, std::int32_t stream,
                        std::uint8_t* buffer, std::size_t length,
                        std::uint32_t* flags, nghttp2_data_source* /*source*/,
                        void* user) {
    Http2Session::Outgoing& out = Self(user).outgoing[stream];
    const std::size_t amount = std::min(length, out.bytes.size() - out.sent);
    std::copy_n(out.bytes.data() + out.sent, amount,
                reinterpret_cast<char*>(buffer));
    out.sent += amount;
    Self(user).CountDequeued(out, amount);
    if (out.sent == out.bytes.size()) {
      out.bytes.clear();
      out.sent = 0;
      if (out.last) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
      } else if (amount == 0) {
        return NGHTTP2_ERR_DEFERRED;
      }
    }
    return static_cast<ssize_t>(amount);
  }
};

Http2Session::Http2Session(asio::ip::tcp::socket socket, Side side,
                           Callbacks callbacks,
                           std::shared_ptr<TransportCounters> counters)
    : socket(std::move(socket)),
      callbacks(std::move(callbacks)),
      counters(std::move(counters)),
      last_heard(MonotonicNow()) {
  Increase(this->counters->connections);
  nghttp2_session_callbacks* hooks = nullptr;
  nghttp2_session_callbacks_new(&hooks);
  nghttp2_session_callbacks_set_on_header_callback(hooks, Http2Hooks::OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(hooks,
                                                       Http2Hooks::OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(hooks,
                                                            Http2Hooks::OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(hooks,
                                                         Http2Hooks::OnClose);
  if (side == Side::kServer) {
    nghttp2_session_server_new(&this->session, hooks, this);
  } else {
    nghttp2_session_client_new(&this->session, hooks, this);
  }
  nghttp2_session_callbacks_del(hooks);
  const std::array<nghttp2_settings_entry, 2> settings = {
      nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                             kMaxStreams},
      nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                             kStreamWindow}};
  nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindow);
  std::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

Http2Session::~Http2Session() {
  this->ReleaseCounters();
  nghttp2_session_del(this->session);
}

void Http2Session::CountMessage(Outgoing& out, std::string_view path,
                                std::size_t bytes) {
  if (this->counters == nullptr) {
    return;
  }
  if (out.counters == nullptr) {
    out.counters = &this->counters->paths.Of(path);
  }
  Increase(out.counters->messages);
  Increase(out.counters->bytes, bytes);
  Increase(out.counters->unsent_bytes, bytes);
  Increase(this->counters->unsent_bytes, bytes);
  this->unsent_bytes += bytes;
}

void Http2Session::CountDequeued(const Outgoing& out, std::size_t bytes) {
  if (this->counters == nullptr || out.counters == nullptr) {
    return;
  }
  Decrease(out.counters->unsent_bytes, bytes);
  Decrease(this->counters->unsent_bytes, bytes);
  this->unsent_bytes -= bytes;
}

void Http2Session::ReleaseCounters() {
  if (this->counters == nullptr) {
    return;
  }
  for (const auto& [stream, out] : this->outgoing) {
    this->CountDequeued(out, out.bytes.size() - out.sent);
  }
  // What remains of this connection's share is the write buffer.
  Decrease(this->counters->unsent_bytes, this->unsent_bytes);
  Decrease(this->counters->connections);
  this->unsent_bytes = 0;
  this->counters.reset();
}

void Http2Session::Start() {
  this->Read();
  this->Flush();
}

std::int32_t Http2Session::OpenRequest(std::string_view path,
                                       std::string body) {
  const std::array<nghttp2_nv, 4> headers = {
      Header(":method", "POST"), Header(":scheme", "http"),
      Header(":authority", "peer"), Header(":path", path)};
  nghttp2_data_provider provider{};
  provider.read_callback = Http2Hooks::OnBody;
  const std::int32_t stream =
      nghttp2_submit_request(this->session, nullptr, headers.data(),
                             headers.size(), &provider, nullptr);
  if (stream > 0) {
    Outgoing& out = this->outgoing[stream];
    out.bytes = std::move(body);
    out.last = true;
    this->CountMessage(out, path, out.bytes.size());
  }
  return stream;
}

void Http2Session::StartResponse(std::int32_t stream) {
  const std::array<nghttp2_nv, 1> headers = {Header(":status", "200")};
  nghttp2_data_provider provider{};
  provider.read_callback = Http2Hooks::OnBody;
  nghttp2_submit_response(this->session, stream, headers.data(), headers.size(),
                          &provider);
}

void Http2Session::AddBody(std::int32_t stream, std::string_view bytes,
                           bool last) {
  const auto found = this->outgoing.find(stream);
  if (found == this->outgoing.end()) {
    return;
  }
  if (!bytes.empty()) {
    this->CountMessage(found->second, found->second.path, bytes.size());
  }
  found->second.bytes.append(bytes);
  found->second.last = found->second.last || last;
  nghttp2_session_resume_data(this->session, stream);
}

void Http2Session::ResetStream(std::int32_t stream, std::uint32_t error) {
  nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, stream, error);
}

void Http2Session::SendPing() {
  nghttp2_submit_ping(this->session, NGHTTP2_FLAG_NONE, nullptr);
  this->Flush();
}

void Http2Session::SendGoaway() {
  nghttp2_submit_goaway(this->session, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(this->session),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  this->Flush();
}

std::string_view Http2Session::PathOf(std::int32_t stream) const {
  const auto found = this->outgoing.find(stream);
  if (found == this->outgoing.end()) {
    return {};
  }
  return found->second.path;
}

void Http2Session::Flush() {
  if (!this->writing && !this->closed) {
    this->Write();
  }
}

std::string Http2Session::CollectOutput() {
  std::string output;
  while (output.size() < kWriteChunk) {
    const std::uint8_t* data = nullptr;
    const ssize_t length = nghttp2_session_mem_send(this->session, &data);
    if (length <= 0) {
      break;
    }
    output.append(reinterpret_cast<const char*>(data),
                  static_cast<std::size_t>(length));
  }
  return output;
}

void Http2Session::Write() {
  this->write_buffer = this->CollectOutput();
  if (this->write_buffer.empty()) {
    if (nghttp2_session_want_read(this->session) == 0 &&
        nghttp2_session_want_write(this->session) == 0) {
      this->Close();
    }
    return;
  }
  this->writing = true;
  const std::size_t length = this->write_buffer.size();
  if (this->counters != nullptr) {
    Increase(this->counters->unsent_bytes, length);
    this->unsent_bytes += length;
  }
  asio::async_write(this->socket, asio::buffer(this->write_buffer),
                    [self = this->shared_from_this(), length](
                        std::error_code error, std::size_t sent) {
                      self->writing = false;
                      if (self->counters != nullptr) {
                        Increase(self->counters->sent_bytes, sent);
                        Decrease(self->counters->unsent_bytes, length);
                        self->unsent_bytes -= length;
                      }
                      if (error) {
                        self->Close();
                        return;
                      }
                      self->Flush();
                    });
}

void Http2Session::Read() {
  this->socket.async_read_some(
      asio::buffer(this->read_buffer),
      [self = this->shared_from_this()](std::error_code error,
                                        std::size_t length) {
        if (error || self->closed) {
          self->Close();
          return;
        }
        self->last_heard = MonotonicNow();
        Increase(self->counters->received_bytes, length);
        const ssize_t used = nghttp2_session_mem_recv(
            self->session,
            reinterpret_cast<const std::uint8_t*>(self->read_buffer.data()),
            length);
        if (used < 0) {
          self->Close();
          return;
        }
        self->Flush();
        if (!self->closed) {
          self->Read();
        }
      });
}

void Http2Session::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->ReleaseCounters();
  std::error_code ignored;
  this->socket.close(ignored);
  if (this->callbacks.on_closed) {
    this->callbacks.on_closed();
  }
}

}  // namespace papayarack::transport
