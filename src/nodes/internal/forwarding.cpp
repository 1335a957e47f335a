#include "nodes/forwarding.h"

#include "global/settings.h"

namespace papayarack::nodes {
namespace {

/// Whether the status tells the caller that the request did not run.
bool PromisesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

}  // namespace

bool IsEventStream(const http::HttpHead& head) {
  return head.headers.Get("Content-Type").starts_with("text/event-stream");
}

HeadVerdict JudgeHead(const http::HttpHead& head, const EngineHead& engine,
                      bool head_sent, bool can_repeat) {
  const bool success = head.status / 100 == 2;
  if (!success && (head_sent || can_repeat || PromisesNotRun(head.status))) {
    return HeadVerdict::kIgnore;
  }
  if (!success) {
    return HeadVerdict::kHoldWhole;
  }
  if (!engine.sealed) {
    return HeadVerdict::kBroken;
  }
  if (head_sent) {
    return HeadVerdict::kGoOn;
  }
  return IsEventStream(head) ? HeadVerdict::kHold : HeadVerdict::kForward;
}

http::HttpCall EngineCallOf(const http::HttpRequest& request,
                            const placement::EngineOption& engine,
                            const ForwardFields& fields, const std::string& id,
                            const Dialect& dialect) {
  http::HttpCall call;
  call.peer = ParseEndpoint(engine.address, "engine");
  call.method = request.method;
  call.target = request.target;
  call.headers = request.headers;
  http::RemoveConnectionFields(call.headers);
  call.headers.Remove("Content-Length");
  call.headers.Remove("Expect");
  call.headers.Remove("Accept-Encoding");
  dialect.write_forward(call.headers, fields);
  call.body = request.body;
  call.identity = dialect.identity(id);
  return call;
}

http::Headers CallerHeaders(const http::HttpHead& head, bool event_stream) {
  http::Headers headers = head.headers;
  http::RemoveConnectionFields(headers);
  if (event_stream) {
    headers.Remove("Content-Length");
  }
  return headers;
}

}  // namespace papayarack::nodes
