#include "entry/internal/callercontext.h"

#include <charconv>

#include "global/hash.h"
#include "global/resultcode.h"

namespace papayarack::entry {
namespace {

constexpr std::size_t kMaxHeaderValueBytes = 256;
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;

std::string ReadHeader(const httplib::Request& request, const char* name) {
  std::string value = request.get_header_value(name);
  if (value.size() > kMaxHeaderValueBytes) {
    throw ResultError(ResultCode::kBadInput,
                      std::string("header ") + name + ": too long");
  }
  return value;
}

std::int64_t ParseDeadline(const std::string& text) {
  std::int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
      value <= 0 || value > kMaxDeadlineMs) {
    throw ResultError(ResultCode::kBadInput,
                      std::string("header ") + header::kDeadline +
                          ": expected milliseconds above zero");
  }
  return value;
}

}  // namespace

CallerContext ReadCaller(const httplib::Request& request) {
  CallerContext caller;
  caller.request_id = ReadHeader(request, header::kRequestId);
  // An id sent by the caller is only used as a prefix, because two callers may
  // send the same one.
  caller.request_id =
      NewId(caller.request_id.empty() ? "req-" : caller.request_id + "-");
  caller.team = ReadHeader(request, header::kTeam);
  caller.team = caller.team.empty() ? "default" : caller.team;
  caller.work = ReadHeader(request, header::kWork);
  caller.idempotency_key = ReadHeader(request, header::kIdempotencyKey);
  const std::string deadline = ReadHeader(request, header::kDeadline);
  if (!deadline.empty()) {
    caller.deadline_ms = ParseDeadline(deadline);
  }
  const std::string repeatable = ReadHeader(request, header::kRepeatable);
  if (!repeatable.empty() && repeatable != "true" && repeatable != "false") {
    throw ResultError(ResultCode::kBadInput, std::string("header ") +
                                                 header::kRepeatable +
                                                 ": expected true or false");
  }
  if (!repeatable.empty()) {
    caller.repeatable = repeatable == "true";
  }
  return caller;
}

}  // namespace papayarack::entry
