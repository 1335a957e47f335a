#ifndef PAPAYARACK_HTTP_INTERNAL_WIRE_H_
#define PAPAYARACK_HTTP_INTERNAL_WIRE_H_

#include <http_parser.h>

#include <string>
#include <string_view>

#include "http/headers.h"

namespace papayarack::http {

/// The reason phrase of a status code.
inline std::string_view ReasonFor(int status) {
  return http_status_str(static_cast<http_status>(status));
}

/// A response with this status has no length (RFC 9110, section 8.6).
inline constexpr int kNoContentStatus = 204;
inline constexpr int kNotModifiedStatus = 304;

/// Whether a response has no body, whatever its fields say (RFC 9110, section
/// 6.4.1).
constexpr bool ForbidsBody(int status) {
  return status / 100 == 1 || status == kNoContentStatus ||
         status == kNotModifiedStatus;
}

/// Appends the fields in wire format.
inline void AppendFields(std::string& head, const Headers& headers) {
  for (const Header& field : headers.fields()) {
    head += field.name;
    head += ": ";
    head += field.value;
    head += "\r\n";
  }
}

}  // namespace papayarack::http

#endif  // PAPAYARACK_HTTP_INTERNAL_WIRE_H_
