#ifndef PAPAYARACK_HTTP_INTERNAL_HEADLINES_H_
#define PAPAYARACK_HTTP_INTERNAL_HEADLINES_H_

#include <cstddef>
#include <string_view>

namespace papayarack::http {

/// Checks the lines of a message's head for what http_parser accepts and RFC
/// 9112 does not: a status that is not three digits or not from 100 to 599
/// (section 4), and a line that continues the field before it (section 5.2).
/// Thread safety: none.
class HeadLines {
 public:
  enum class Kind { kRequest, kResponse };

  explicit HeadLines(Kind kind) : kind(kind) {}

  /// Takes the next bytes of the message; those after the head are ignored.
  /// False once the head is malformed.
  bool Accept(std::string_view bytes);
  /// Prepares for the next message of the connection.
  void Next();

 private:
  bool AcceptByte(char byte);
  bool AcceptLineEnd();
  bool AcceptStatusLineByte(char byte) const;

  Kind kind;
  std::size_t column = 0;  ///< Bytes of the line so far, but for carriage
                           ///< returns.
  bool start_line = true;
  bool done = false;
  bool malformed = false;
};

}  // namespace papayarack::http

#endif  // PAPAYARACK_HTTP_INTERNAL_HEADLINES_H_
