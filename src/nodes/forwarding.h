#ifndef PAPAYARACK_NODES_FORWARDING_H_
#define PAPAYARACK_NODES_FORWARDING_H_

#include <cstdint>
#include <string>

#include "http/httpclient.h"
#include "http/httpserver.h"
#include "nodes/dialect.h"
#include "placement/enginechooser.h"

/// What of a request an engine gets, and what of an engine's response its
/// caller gets. Thread safety of these functions: any thread.
namespace papayarack::nodes {

/// What happens to a response that an engine begins.
enum class HeadVerdict : std::uint8_t {
  kForward,  ///< The caller gets the head now.
  kHold,  ///< An event stream: the caller gets the head with its first event.
  kHoldWhole,  ///< A failure: the caller gets it once it is complete.
  kGoOn,       ///< The caller has a head; the body continues what it has.
  kIgnore,     ///< A failure that the caller does not get.
  kBroken,     ///< A success without the mark of a complete engine's response.
};

/// Whether the head belongs to an event stream.
bool IsEventStream(const http::HttpHead& head);

/// Decides about the response of an engine that may have run the request.
/// `head_sent`: the caller has the head of an earlier attempt. `can_repeat`:
/// another attempt is possible. A failure is passed on when no further attempt
/// is possible, unless its status would tell the caller that the request did
/// not run. It is held until it is complete: the caller of one that breaks off
/// or has no end gets another response in its place.
HeadVerdict JudgeHead(const http::HttpHead& head, const EngineHead& engine,
                      bool head_sent, bool can_repeat);

/// The call that sends `request` to `engine`. `id` is the caller's id of the
/// request.
http::HttpCall EngineCallOf(const http::HttpRequest& request,
                            const placement::EngineOption& engine,
                            const ForwardFields& fields, const std::string& id,
                            const Dialect& dialect);

/// The header fields of an engine's head that its caller gets.
http::Headers CallerHeaders(const http::HttpHead& head, bool event_stream);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_FORWARDING_H_
