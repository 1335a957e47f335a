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

/// One caller's request on its way to an upstream.
struct OnlineRequest {
  std::uint32_t version = kMessageVersion;
  std::string id;
  std::uint32_t attempt = 0;
  std::string caller;  ///< Team of the caller's token; fairness is by caller.
  std::string service;
  std::string work;
  std::int64_t deadline_ms = 0;  ///< Time left when it was sent.
  std::uint64_t revision =
      0;  ///< Document revision that the entry decided under.
  std::string method;
  std::string target;  ///< Path and query at the upstream.
  std::string content_type;
  std::string body;
  std::uint32_t prompt_tokens = 0;  ///< Estimate, for pacing.
  bool stream = false;              ///< The caller wants server-sent events.
  std::uint32_t have_messages =
      0;  ///< Taking up a stream: messages that did arrive.
  /// Only take up what is known under this id and attempt; never run it anew. A
  /// gate that was restarted meanwhile knows nothing of it, while the upstream
  /// may have run it.
  bool take_up = false;
  MSGPACK_DEFINE(version, id, attempt, caller, service, work, deadline_ms,
                 revision, method, target, content_type, body, prompt_tokens,
                 stream, have_messages, take_up)
};

/// The caller is gone: stop the work.
struct CancelRequest {
  std::string id;
  std::uint32_t attempt = 0;
  MSGPACK_DEFINE(id, attempt)
};

/// Refused; certainly not run.
struct Refused {
  int code = 0;
  std::string text;
  std::int64_t retry_after_ms = 0;
  std::uint64_t revision = 0;  ///< The gate's own.
  MSGPACK_DEFINE(code, text, retry_after_ms, revision)
};
/// The upstream has begun to answer.
struct AnswerHead {
  int status = 0;
  std::string content_type;
  MSGPACK_DEFINE(status, content_type)
};
struct AnswerBytes {
  std::string bytes;
  MSGPACK_DEFINE(bytes)
};
/// The end. Only with kOk is the answer whole; without this message it never
/// is.
struct AnswerEnd {
  int code = 0;
  std::string text;
  MSGPACK_DEFINE(code, text)
};

/// Alternatives are only added at the end.
using GateMessage = std::variant<Refused, AnswerHead, AnswerBytes, AnswerEnd>;

}  // namespace papayarack::gate

#endif  // PAPAYARACK_GATE_GATEPROTOCOL_H_
