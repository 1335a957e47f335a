#ifndef PAPAYARACK_HTTP_HEADERS_H_
#define PAPAYARACK_HTTP_HEADERS_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayarack::http {

/// One header field.
struct Header {
  std::string name;
  std::string value;
};

/// The header fields of one message, in wire order. Names are case-insensitive.
/// Thread safety: none.
class Headers {
 public:
  Headers() = default;
  Headers(std::initializer_list<Header> fields) : list(fields) {}

  void Add(std::string_view name, std::string_view value);
  /// Replaces all fields of that name by one.
  void Set(std::string_view name, std::string_view value);
  void Remove(std::string_view name);
  /// The first value; nothing if there is none.
  std::optional<std::string_view> Find(std::string_view name) const;
  /// The first value, or an empty string.
  std::string_view Get(std::string_view name) const;
  bool Has(std::string_view name) const { return this->Find(name).has_value(); }
  /// True when the comma-separated value of `name` lists `token`.
  bool ListsToken(std::string_view name, std::string_view token) const;
  std::span<const Header> fields() const { return this->list; }

 private:
  std::vector<Header> list;
};

/// Compares two header names case-insensitively. Thread safety: any thread.
bool SameName(std::string_view one, std::string_view other);

/// Removes the hop-by-hop fields (RFC 9110, section 7.6.1), including those
/// listed in `Connection`.
void RemoveConnectionFields(Headers& headers);

/// Whether texts can stand in a message's head as they are; a line break in one
/// would begin another field, or another message. Thread safety of these
/// functions: any thread.
bool IsFieldName(std::string_view text);
bool IsFieldValue(std::string_view text);
bool IsRequestTarget(std::string_view text);

/// Parses an unsigned integer of a header or query value; nothing if it is not
/// one.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

}  // namespace papayarack::http

#endif  // PAPAYARACK_HTTP_HEADERS_H_
