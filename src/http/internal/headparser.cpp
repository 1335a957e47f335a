#include "http/internal/headparser.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "http/internal/wire.h"

namespace papayarack::http {

/// Callbacks of http_parser; each returns 0 to continue.
struct ParserHooks {
  /// Returned after a head: the message ends there.
  static constexpr int kSkipBody = 1;
  /// Returned after a head or a part of it: the message is malformed.
  static constexpr int kMalformed = -1;
  static HeadParser& Owner(http_parser* parser) {
    return *static_cast<HeadParser*>(parser->data);
  }
  static int OnBegin(http_parser* parser) {
    Owner(parser).started = true;
    return 0;
  }
  static int OnTarget(http_parser* parser, const char* at, std::size_t size) {
    Owner(parser).target.append(at, size);
    return Count(parser, size);
  }
  static int OnName(http_parser* parser, const char* at, std::size_t size) {
    HeadParser& owner = Owner(parser);
    if (size > 0 && !IsFieldName({at, size})) {
      return kMalformed;
    }
    if (owner.in_value) {
      owner.FinishField();
    }
    const bool begins = owner.field_name.empty();
    owner.field_name.append(at, size);
    return Count(parser, size + (begins ? owner.FieldOverhead() : 0));
  }
  static int OnValue(http_parser* parser, const char* at, std::size_t size) {
    HeadParser& owner = Owner(parser);
    if (!IsFieldValue({at, size})) {
      return kMalformed;
    }
    owner.in_value = true;
    owner.field_value.append(at, size);
    return Count(parser, size);
  }
  static int OnHead(http_parser* parser) {
    HeadParser& owner = Owner(parser);
    if (!owner.field_name.empty()) {
      owner.FinishField();
    }
    if (!owner.HasKnownFraming()) {
      return kMalformed;
    }
    owner.head_complete = true;
    owner.to_end = owner.kind == HeadParser::Kind::kResponse &&
                   !owner.HasNoBody() && http_message_needs_eof(parser) != 0;
    owner.keep_alive = http_should_keep_alive(parser) != 0;
    owner.callbacks.on_head();
    return owner.HasNoBody() ? kSkipBody : 0;
  }
  static int OnBody(http_parser* parser, const char* at, std::size_t size) {
    Owner(parser).callbacks.on_body({at, size});
    return 0;
  }
  static int OnComplete(http_parser* parser) {
    HeadParser& owner = Owner(parser);
    owner.complete = true;
    owner.keep_alive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
  }
  static int Count(http_parser* parser, std::size_t size) {
    HeadParser& owner = Owner(parser);
    owner.head_bytes += size;
    owner.head_too_large = owner.head_bytes > owner.max_head_bytes;
    return owner.head_too_large ? 1 : 0;
  }
  /// Whether a body has neither length nor chunks and so ends with its
  /// connection; http_parser does not export its own function for this.
  static int http_message_needs_eof(const http_parser* parser) {
    constexpr std::uint64_t kNoLength = UINT64_MAX;
    const bool has_length =
        (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0 ||
        parser->content_length != kNoLength;
    return has_length ? 0 : 1;
  }
  static const http_parser_settings& Settings() {
    static const http_parser_settings kSettings = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_message_begin = OnBegin;
      settings.on_url = OnTarget;
      settings.on_header_field = OnName;
      settings.on_header_value = OnValue;
      settings.on_headers_complete = OnHead;
      settings.on_body = OnBody;
      settings.on_message_complete = OnComplete;
      return settings;
    }();
    return kSettings;
  }
};

HeadParser::HeadParser(Kind kind, std::size_t max_head_bytes,
                       Callbacks callbacks)
    : kind(kind),
      max_head_bytes(max_head_bytes),
      callbacks(std::move(callbacks)),
      lines(kind) {
  this->Next();
}

void HeadParser::Next() {
  http_parser_init(&this->parser,
                   this->kind == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  this->parser.data = this;
  this->lines.Next();
  this->target.clear();
  this->headers = {};
  this->head_bytes = 0;
  this->field_name.clear();
  this->field_value.clear();
  this->in_value = false;
  this->started = false;
  this->head_complete = false;
  this->complete = false;
  this->keep_alive = false;
  this->to_end = false;
  this->no_body = false;
}

void HeadParser::FinishField() {
  // A trailer may not stand for a field of the head (RFC 9110, section 6.5.1).
  if (!this->head_complete) {
    this->headers.Add(this->field_name, this->field_value);
  }
  this->field_name.clear();
  this->field_value.clear();
  this->in_value = false;
}

std::size_t HeadParser::FieldOverhead() const {
  return this->kind == Kind::kResponse ? sizeof(Header) : 0;
}

bool HeadParser::HasNoBody() const {
  return this->kind == Kind::kResponse &&
         (this->no_body || ForbidsBody(this->status()));
}

bool HeadParser::HasKnownFraming() const {
  const auto codings =
      std::ranges::count_if(this->headers.fields(), [](const Header& field) {
        return SameName(field.name, "Transfer-Encoding");
      });
  const bool chunked =
      SameName(this->headers.Get("Transfer-Encoding"), "chunked");
  return this->parser.http_major == 1 &&
         (codings == 0 || (codings == 1 && chunked));
}

std::size_t HeadParser::Parse(std::string_view bytes) {
  if (this->complete || this->failed()) {
    return 0;
  }
  if (!this->head_complete && !this->lines.Accept(bytes)) {
    this->error = true;
    return 0;
  }
  const std::size_t used = http_parser_execute(
      &this->parser, &ParserHooks::Settings(), bytes.data(), bytes.size());
  const auto code = HTTP_PARSER_ERRNO(&this->parser);
  this->error = code != HPE_OK && code != HPE_PAUSED;
  // A request to switch protocols is refused; the bytes after it are not HTTP.
  this->error = this->error || this->parser.upgrade != 0;
  if (this->complete && !this->failed()) {
    this->callbacks.on_complete();
  }
  return used;
}

void HeadParser::ParseEnd() {
  if (this->complete || this->failed()) {
    return;
  }
  http_parser_execute(&this->parser, &ParserHooks::Settings(), nullptr, 0);
  const auto code = HTTP_PARSER_ERRNO(&this->parser);
  this->error = code != HPE_OK && code != HPE_PAUSED;
  if (this->complete && !this->failed()) {
    this->callbacks.on_complete();
  }
}

}  // namespace papayarack::http
