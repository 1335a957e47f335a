#ifndef PAPAYARACK_HTTP_INTERNAL_SERVERCONNECTION_H_
#define PAPAYARACK_HTTP_INTERNAL_SERVERCONNECTION_H_

#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "global/timepoint.h"
#include "http/connectionstate.h"
#include "http/exchangeledger.h"
#include "http/internal/headparser.h"
#include "http/requestmemory.h"

namespace papayarack::http {

/// A complete response whose last bytes may not have been sent yet.
struct QueuedResponse {
  ExchangeId exchange = 0;
  ExchangeOutcome outcome = ExchangeOutcome::kAnswered;  ///< Once it is sent.
  std::uint64_t end = 0;  ///< Bytes of the connection up to its last one.
};

/// Reads how many bytes of a socket the peer has not acknowledged.
class UnacknowledgedQuery {
 public:
  static int name() { return TIOCOUTQ; }
  void* data() { return &this->bytes; }
  std::size_t Bytes() const { return static_cast<std::size_t>(this->bytes); }

 private:
  int bytes = 0;
};

/// One connection of the server. Thread safety: none.
struct ServerConnection {
  using Phase = ConnectionPhase;
  static constexpr std::size_t kReadChunk = 4096;
  static constexpr int kFirstRefusal = 400;

  ServerConnection(asio::ip::tcp::socket accepted, std::size_t max_head)
      : socket(std::move(accepted)),
        parser(HeadParser::Kind::kRequest, max_head,
               {[this] { this->head_done = true; },
                [this](std::string_view bytes) { this->AppendBody(bytes); },
                [] {}}) {}

  asio::ip::tcp::socket socket;
  HeadParser parser;
  std::string body;
  std::size_t max_body = 0;     ///< Of the request being read.
  bool body_too_large = false;  ///< The same; not all of it is kept.
  MemoryHolderId memory = 0;    ///< In the RequestMemory of the server.
  std::size_t lingered = 0;     ///< Bytes read after the last response.
  bool spared = false;          ///< Expired, but with bytes to be read.
  bool head_done = false;
  std::array<char, kReadChunk> chunk{};
  std::string unparsed;  ///< Read, not parsed yet.
  std::string outgoing;  ///< Queued behind the current write.
  std::string writing;
  bool write_under_way = false;
  bool write_failed = false;
  bool read_under_way = false;
  Phase phase = Phase::kReading;
  ExchangeId exchange = 0;
  int status = 0;  ///< Of the response under way.
  bool chunked = false;
  bool has_body = true;  ///< Of the response under way.
  bool keep_alive = false;
  bool head_begun = false;  ///< The head says whether it is kept alive.
  bool close_after_write = false;
  std::size_t unacknowledged = 0;  ///< When it was looked at last.
  std::deque<QueuedResponse> responses;
  std::uint64_t taken = 0;  ///< Bytes of earlier writes, taken by the kernel.
  /// How unanswered requests end; set once the connection is closed.
  std::optional<ExchangeOutcome> closed_as;
  /// For how long the client was told it may be idle; zero: nothing.
  Duration promised_idle{};
  Time since{};         ///< Start of the wait that a timeout limits.
  Time last_written{};  ///< When the client last took bytes.

  /// Grows the body from a power of two, so that one of the largest size takes
  /// no more memory than its bytes.
  void AppendBody(std::string_view bytes) {
    this->body_too_large = this->body_too_large ||
                           this->body.size() + bytes.size() > this->max_body;
    if (this->body_too_large) {
      return;
    }
    if (this->body.empty()) {
      this->body.reserve(std::min(kReadChunk, this->max_body));
    }
    this->body.append(bytes);
  }
  /// Memory of the request being read, in bytes.
  std::size_t HeldBytes() const {
    return this->body.capacity() + this->parser.HeldBytes();
  }
  /// Memory of the same request while it is served: it is kept until its
  /// response is complete, and copied to be sent on.
  std::size_t ServedBytes() const { return 2 * this->HeldBytes(); }
  /// Gives back the memory of the request that was read.
  void ForgetRequest() {
    this->unparsed = {};
    this->body = {};
    this->parser.Next();
  }

  /// Whether the response to the request just read may have a body.
  bool WantsBody() const { return this->parser.method() != "HEAD"; }
  bool AllSent() const {
    return !this->write_under_way && this->outgoing.empty();
  }
  /// Response bytes held in memory.
  std::size_t Unsent() const {
    return this->outgoing.size() + this->writing.size();
  }
  /// For how long the client has taken nothing of what is held for it.
  Duration Stalled(Time now) const {
    return this->write_under_way ? now - this->last_written : Duration::zero();
  }
  /// For how long it has waited for a request; zero unless it does.
  Duration Idle(Time now) const {
    const bool waits = this->phase == Phase::kReading &&
                       !this->parser.Started() && this->unparsed.empty() &&
                       this->AllSent();
    return waits ? now - std::max(this->since, this->last_written)
                 : Duration::zero();
  }
  /// True if the loop has not read yet what its client sent in time.
  bool HasUnread() const {
    std::error_code ignored;
    return this->phase == Phase::kReading && this->AllSent() &&
           this->socket.available(ignored) > 0;
  }
  /// Bytes that the kernel took and the client's has not acknowledged; nothing
  /// where the system doesn't tell.
  std::optional<std::size_t> Unacknowledged() {
    UnacknowledgedQuery query;
    std::error_code error;
    this->socket.io_control(query, error);
    return error ? std::nullopt : std::optional(query.Bytes());
  }
  /// Whether the client has taken bytes from the kernel since the last call.
  bool AcknowledgedMore() {
    const std::size_t now = this->Unacknowledged().value_or(0);
    return now < std::exchange(this->unacknowledged, now);
  }
  /// Whether bytes of its client were read.
  bool Used() const {
    return this->exchange != 0 || this->last_written != Time{} ||
           this->parser.Started() || !this->unparsed.empty();
  }
  ConnectionState State(Time now) {
    std::error_code ignored;
    return {this->phase, this->Unsent(), this->Unacknowledged(),
            this->socket.available(ignored),
            this->last_written == Time{}
                ? std::nullopt
                : std::optional(now - this->last_written)};
  }
  /// All bytes of the response to `ended` are queued.
  void QueueEnd(ExchangeId ended) {
    const ExchangeOutcome outcome = this->status >= kFirstRefusal
                                        ? ExchangeOutcome::kRefused
                                        : ExchangeOutcome::kAnswered;
    this->responses.push_back(
        {ended, outcome,
         this->taken + this->writing.size() + this->outgoing.size()});
  }
};

}  // namespace papayarack::http

#endif  // PAPAYARACK_HTTP_INTERNAL_SERVERCONNECTION_H_
