#ifndef PAPAYARACK_HTTP_INTERNAL_HEADPARSER_H_
#define PAPAYARACK_HTTP_INTERNAL_HEADPARSER_H_

#include <http_parser.h>

#include <functional>
#include <string>
#include <string_view>

#include "http/headers.h"
#include "http/internal/headlines.h"

namespace papayarack::http {

/// Wraps the incremental HTTP/1.1 parser http_parser and collects the header
/// fields before on_head. It stops after each message, so that the bytes of the
/// next one are never parsed as part of it. What http_parser accepts against
/// RFC 9110 and 9112 fails here: a status, field name, field value or version
/// that is none, a continued field, and a transfer coding other than chunked.
/// Trailers are checked and dropped. Thread safety: none.
class HeadParser {
 public:
  using Kind = HeadLines::Kind;

  /// Called for one message, in this order.
  struct Callbacks {
    std::function<void()> on_head;
    std::function<void(std::string_view bytes)> on_body;
    std::function<void()> on_complete;
  };

  HeadParser(Kind kind, std::size_t max_head_bytes, Callbacks callbacks);
  HeadParser(const HeadParser&) = delete;
  HeadParser& operator=(const HeadParser&) = delete;

  /// Parses bytes up to the end of the current message; returns how many were
  /// consumed. Check `failed` afterwards.
  std::size_t Parse(std::string_view bytes);
  /// Reports the end of the connection, which completes a message without
  /// length or chunks.
  void ParseEnd();
  /// Prepares for the next message of the connection.
  void Next();
  /// Of the message that begins. Precondition: nothing of it was parsed.
  void SetMaxHeadBytes(std::size_t bytes) { this->max_head_bytes = bytes; }
  /// The next response is to a HEAD request, which has no body whatever its
  /// fields say. Until Next.
  void ExpectNoBody() { this->no_body = true; }

  bool failed() const { return this->error || this->head_too_large; }
  bool TooLarge() const { return this->head_too_large; }
  bool MessageComplete() const { return this->complete; }
  /// True once the first byte of a message was parsed.
  bool Started() const { return this->started; }
  bool HeadComplete() const { return this->head_complete; }
  /// Whether the connection may carry another message after this one.
  bool KeepAlive() const { return this->keep_alive; }
  bool RunsToConnectionEnd() const { return this->to_end; }
  /// Memory of the target and the fields that were read, in bytes.
  std::size_t HeldBytes() const {
    return this->head_bytes + this->headers.fields().size() * sizeof(Header);
  }
  int status() const { return static_cast<int>(this->parser.status_code); }
  bool HttpOneZero() const {
    return this->parser.http_major == 1 && this->parser.http_minor == 0;
  }
  std::string_view method() const {
    return http_method_str(static_cast<http_method>(this->parser.method));
  }
  std::string target;
  Headers headers;

 private:
  friend struct ParserHooks;
  void FinishField();
  /// Bytes that a field counts beside its name and value. A response of many
  /// tiny fields would otherwise take a hundred times the limit in memory.
  std::size_t FieldOverhead() const;
  /// Whether the message whose head is complete ends with it.
  bool HasNoBody() const;
  /// Whether the version and the transfer coding are known.
  bool HasKnownFraming() const;

  Kind kind;
  std::size_t max_head_bytes;
  Callbacks callbacks;
  HeadLines lines;
  http_parser parser{};
  std::size_t head_bytes = 0;
  std::string field_name;
  std::string field_value;
  bool in_value = false;
  bool started = false;
  bool head_complete = false;
  bool complete = false;
  bool keep_alive = false;
  bool to_end = false;
  bool error = false;
  bool head_too_large = false;
  bool no_body = false;  ///< Of the response, as its request asked for none.
};

}  // namespace papayarack::http

#endif  // PAPAYARACK_HTTP_INTERNAL_HEADPARSER_H_
