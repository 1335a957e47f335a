#include "http/internal/headlines.h"

#include <cctype>

namespace papayarack::http {
namespace {

/// Columns of a status line, `HTTP/1.1 200 OK`.
constexpr std::size_t kBeforeStatus = 8;
constexpr std::size_t kFirstDigit = 9;
constexpr std::size_t kAfterStatus = 12;

bool IsDigit(char byte) {
  return std::isdigit(static_cast<unsigned char>(byte)) != 0;
}

}  // namespace

bool HeadLines::Accept(std::string_view bytes) {
  for (const char byte : bytes) {
    if (this->done || this->malformed) {
      break;
    }
    this->malformed = !this->AcceptByte(byte);
  }
  return !this->malformed;
}

void HeadLines::Next() {
  this->column = 0;
  this->start_line = true;
  this->done = false;
  this->malformed = false;
}

bool HeadLines::AcceptByte(char byte) {
  if (byte == '\r') {
    return true;  // http_parser accepts it only before a line feed.
  }
  if (byte == '\n') {
    return this->AcceptLineEnd();
  }
  const bool continues =
      !this->start_line && this->column == 0 && (byte == ' ' || byte == '\t');
  if (continues) {
    return false;
  }
  const bool accepted = this->kind == Kind::kRequest || !this->start_line ||
                        this->AcceptStatusLineByte(byte);
  ++this->column;
  return accepted;
}

bool HeadLines::AcceptLineEnd() {
  if (this->column == 0) {
    // Empty lines may come before a message; a later one ends its head.
    this->done = !this->start_line;
    return true;
  }
  const bool short_status = this->kind == Kind::kResponse && this->start_line &&
                            this->column < kAfterStatus;
  this->start_line = false;
  this->column = 0;
  return !short_status;
}

/// http_parser checks what is before the status.
bool HeadLines::AcceptStatusLineByte(char byte) const {
  if (this->column < kBeforeStatus) {
    return true;
  }
  if (this->column == kBeforeStatus || this->column == kAfterStatus) {
    return byte == ' ';
  }
  if (this->column == kFirstDigit) {
    return byte >= '1' && byte <= '5';
  }
  return this->column > kAfterStatus || IsDigit(byte);
}

}  // namespace papayarack::http
