#ifndef PAPAYARACK_GATE_GATEPROTOCOL_H_
#define PAPAYARACK_GATE_GATEPROTOCOL_H_

#include <cstdint>
#include <string>
#include <variant>

#include "global/messagecodec.h"

namespace papayarack::gate {

namespace path {
inline constexpr const char* kOnline =
    "/online";  ///< OnlineRequest; a stream of GateMessage.
inline constexpr const char* kCancel =
    "/cancel";  ///< CancelRequest; no answer.
}  // namespace path

/// A caller's request to be run at an upstream.
struct OnlineRequest {
  std::uint32_t version = kMessageVersion;
  std::string id;
  std::uint32_t attempt = 0;
  std::string
      caller;  ///< Team of the caller's token; the unit of fair queueing.
  std::string service;
  std::string work;
  std::int64_t deadline_ms = 0;  ///< Time left when sent.
  std::uint64_t revision = 0;    ///< Document revision that the entry used.
  std::string method;
  std::string target;  ///< Path and query at the upstream.
  std::string content_type;
  std::string body;
  std::uint32_t prompt_tokens = 0;  ///< Estimate, for pacing.
  bool stream = false;              ///< The caller wants server-sent events.
  std::uint32_t received_messages =
      0;  ///< When resuming a stream: messages received so far.
  /// Only resume a request known by this id and attempt, never run it again. A
  /// gate that has restarted since does not know it, although the upstream may
  /// have run it.
  bool resume_only = false;
  MSGPACK_DEFINE(version, id, attempt, caller, service, work, deadline_ms,
                 revision, method, target, content_type, body, prompt_tokens,
                 stream, received_messages, resume_only)
};

/// Cancels the work of a caller that disconnected.
struct CancelRequest {
  std::string id;
  std::uint32_t attempt = 0;
  MSGPACK_DEFINE(id, attempt)
};

/// The request was refused and has not run.
struct Refused {
  int code = 0;
  std::string text;
  std::int64_t retry_after_ms = 0;
  std::uint64_t revision = 0;  ///< The gate's revision.
  MSGPACK_DEFINE(code, text, retry_after_ms, revision)
};
/// Status and headers of the upstream's answer.
struct AnswerHead {
  int status = 0;
  std::string content_type;
  MSGPACK_DEFINE(status, content_type)
};
struct AnswerBytes {
  std::string bytes;
  MSGPACK_DEFINE(bytes)
};
/// End of the answer. It is complete only if this message arrives with kOk.
struct AnswerEnd {
  int code = 0;
  std::string text;
  MSGPACK_DEFINE(code, text)
};

/// New alternatives must be added at the end.
using GateMessage = std::variant<Refused, AnswerHead, AnswerBytes, AnswerEnd>;

}  // namespace papayarack::gate

#endif  // PAPAYARACK_GATE_GATEPROTOCOL_H_
