#ifndef PAPAYARACK_ENTRY_INTERNAL_CALLERCONTEXT_H_
#define PAPAYARACK_ENTRY_INTERNAL_CALLERCONTEXT_H_

#include <httplib.h>

#include <cstdint>
#include <optional>
#include <string>

namespace papayarack::entry {

/// HTTP headers that papayarack reads or sets.
namespace header {
inline constexpr const char* kTeam = "X-Papayarack-Team";
inline constexpr const char* kWork = "X-Papayarack-Work";
inline constexpr const char* kDeadline = "X-Papayarack-Deadline-Ms";
inline constexpr const char* kRepeatable = "X-Papayarack-Repeatable";
inline constexpr const char* kRequestId = "X-Request-Id";
inline constexpr const char* kIdempotencyKey = "Idempotency-Key";
inline constexpr const char* kNotRun = "X-Papayarack-Not-Run";
}  // namespace header

/// The request headers, parsed.
struct CallerContext {
  std::string request_id;
  std::string team;
  std::string work;
  std::string idempotency_key;
  std::optional<std::int64_t> deadline_ms;
  std::optional<bool> repeatable;
};

/// Parses the headers. Throws ResultError(kBadInput) that names an invalid
/// header.
CallerContext ReadCaller(const httplib::Request& request);

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_INTERNAL_CALLERCONTEXT_H_
