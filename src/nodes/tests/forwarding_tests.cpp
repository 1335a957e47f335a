#include <catch2/catch.hpp>
#include <string>

#include "nodes/forwarding.h"

namespace papayarack::nodes {
namespace {

HeadVerdict Judge(int status, bool head_sent, bool can_repeat) {
  http::HttpHead head{status, {}};
  EngineHead engine;
  engine.sealed = true;
  return JudgeHead(head, engine, head_sent, can_repeat);
}

}  // namespace

// Guards against callers that are told "did not run" about a request that may
// have run, and against failures that reach a caller although another engine
// could answer.
TEST_CASE("which heads of engines a caller gets") {
  SECTION("a failure once no further attempt is possible") {
    CHECK(Judge(500, false, true) == HeadVerdict::kIgnore);
    CHECK(Judge(500, false, false) == HeadVerdict::kHoldWhole);
    CHECK(Judge(400, false, false) == HeadVerdict::kHoldWhole);
  }
  SECTION("no failure that says that the request did not run") {
    for (const int status : {408, 421, 429, 503}) {
      CHECK(Judge(status, false, false) == HeadVerdict::kIgnore);
    }
  }
  SECTION("no second one") {
    CHECK(Judge(200, true, false) == HeadVerdict::kGoOn);
    CHECK(Judge(500, true, false) == HeadVerdict::kIgnore);
  }
  SECTION("a success, of an event stream with its first event") {
    CHECK(Judge(200, false, true) == HeadVerdict::kForward);
    http::HttpHead stream{200, {}};
    stream.headers.Set("Content-Type", "text/event-stream; charset=utf-8");
    EngineHead engine;
    engine.sealed = true;
    CHECK(JudgeHead(stream, engine, false, true) == HeadVerdict::kHold);
  }
  SECTION("no success without the engine's mark") {
    CHECK(JudgeHead({200, {}}, {}, false, false) == HeadVerdict::kBroken);
    CHECK(JudgeHead({200, {}}, {}, true, false) == HeadVerdict::kBroken);
    CHECK(JudgeHead({500, {}}, {}, false, false) == HeadVerdict::kHoldWhole);
  }
}

// Guards against fields of one connection that are sent on another, where they
// describe a body or a connection that differs.
TEST_CASE("what an engine and a caller get") {
  Dialect dialect;
  dialect.write_forward = [](http::Headers& headers,
                             const ForwardFields& fields) {
    headers.Set("Meant-For", fields.engine_id);
  };
  dialect.identity = [](const std::string& id) {
    return http::Header{"Id", id};
  };
  http::HttpRequest request{"POST", "/v1?a=b", {}, "text"};
  for (const char* name : {"Connection", "Expect", "Content-Length",
                           "Accept-Encoding", "X-Other"}) {
    request.headers.Set(name, "1");
  }
  placement::EngineOption engine;
  engine.address = "10.0.0.1:80";
  ForwardFields fields;
  fields.engine_id = "e1";
  const http::HttpCall call =
      EngineCallOf(request, engine, fields, "r1", dialect);
  CHECK(call.peer.port == 80);
  CHECK(call.method == "POST");
  CHECK(call.target == "/v1?a=b");
  CHECK(call.body == "text");
  CHECK(call.headers.Get("Meant-For") == "e1");
  CHECK(call.headers.Has("X-Other"));
  for (const char* name :
       {"Connection", "Expect", "Content-Length", "Accept-Encoding"}) {
    CHECK_FALSE(call.headers.Has(name));
  }

  http::HttpHead head{200, {}};
  head.headers.Set("Connection", "close");
  head.headers.Set("Content-Length", "4");
  CHECK_FALSE(CallerHeaders(head, false).Has("Connection"));
  CHECK(CallerHeaders(head, false).Has("Content-Length"));
  CHECK_FALSE(CallerHeaders(head, true).Has("Content-Length"));
}

}  // namespace papayarack::nodes
