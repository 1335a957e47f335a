#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "nodes/engineresponse.h"
#include "nodes/responselimits.h"

namespace papayarack::nodes {
namespace {

using std::chrono::milliseconds;
using Fault = EngineResponse::BodyFault;

Time At(int ms) { return Time(std::chrono::seconds(100) + milliseconds(ms)); }

std::string EventOf(std::uint64_t id) {
  return "id: " + std::to_string(id) + "\ndata: a\n\n";
}

/// A response whose forwarded bytes are collected.
struct Forwarded {
  explicit Forwarded(bool events, int status = 200) {
    this->response.BeginAttempt(0, At(0));
    this->response.HeadArrived(status, At(0));
    this->response.SetEvents(events);
  }
  Fault Add(std::string_view bytes, int ms) {
    return this->response.AddBody(bytes, At(ms), [this](std::string_view part) {
      this->bytes.append(part);
    });
  }

  EngineResponse response;
  std::string bytes;
};

}  // namespace

// Guards against callers that get a torn event, an event twice, or text with a
// gap, after a stream went on at another engine.
TEST_CASE("events of several attempts form one stream") {
  Forwarded stream(true);
  CHECK(stream.Add(EventOf(1) + "id: 2\nda", 5) == Fault::kNone);
  CHECK(stream.bytes == EventOf(1));
  CHECK(stream.response.EndedInsideEvent());
  stream.response.BeginAttempt(7, At(20));
  CHECK_FALSE(stream.response.EndedInsideEvent());

  SECTION("the next attempt goes on after the last whole event") {
    CHECK(stream.Add(EventOf(2) + EventOf(3), 30) == Fault::kNone);
    CHECK(stream.bytes == EventOf(1) + EventOf(2) + EventOf(3));
    CHECK(stream.response.LastEvent() == 3);
    CHECK(stream.response.FirstEvent() == At(5));
    CHECK(stream.response.run().events == 2);
    CHECK(stream.response.run().first_event == At(30));
    CHECK(stream.response.run().bytes == 7 + 2 * EventOf(2).size());
  }
  SECTION("a repetition is not forwarded") {
    CHECK(stream.Add(EventOf(2) + EventOf(2), 30) == Fault::kOutOfOrder);
    CHECK(stream.bytes == EventOf(1) + EventOf(2));
  }
  SECTION("neither is a gap") {
    CHECK(stream.Add(EventOf(3), 30) == Fault::kOutOfOrder);
    CHECK(stream.bytes == EventOf(1));
  }
  SECTION("an event of an earlier request of the caller counts, too") {
    stream.response.ContinueAfter(8);
    CHECK(stream.Add(EventOf(9), 30) == Fault::kNone);
    CHECK(stream.Add(EventOf(3), 31) == Fault::kOutOfOrder);
  }
}

// Guards against an entry that passes on, or keeps, what a faulty replica sends
// without end.
TEST_CASE("bytes without end are bounded") {
  SECTION("an event that does not end") {
    Forwarded stream(true);
    CHECK(stream.Add(EventOf(1), 0) == Fault::kNone);
    CHECK(stream.Add(std::string(kMaxUnframedBytes, 'x'), 1) == Fault::kNone);
    CHECK(stream.Add("x", 2) == Fault::kUnframed);
    CHECK(stream.bytes == EventOf(1));
  }
  SECTION("comments that arrive slowly, more than keep-alives take") {
    Forwarded stream(true);
    const std::string comments = ":" + std::string(kMinUnframedBytes, 'x');
    CHECK(stream.Add(comments + "\n\n", 100) == Fault::kNone);
    CHECK(stream.Add(":\n\n", 101) == Fault::kUnframed);
  }
  SECTION("a success may be long, a failure may not") {
    const std::string longest(kMaxFailureBytes, 'x');
    Forwarded success(false);
    CHECK(success.Add(longest + "x", 0) == Fault::kNone);
    CHECK(success.bytes.size() == kMaxFailureBytes + 1);
    Forwarded failure(false, 400);
    CHECK(failure.Add(longest, 0) == Fault::kNone);
    CHECK(failure.Add("x", 1) == Fault::kEndlessFailure);
    CHECK(failure.bytes.empty());
    CHECK(failure.response.FailureBody() == longest);
  }
  SECTION("a failure that is not passed on, in bytes and in time") {
    Forwarded failure(false, 500);
    CHECK(failure.response.AddIgnored(kMaxIgnoredBytes));
    CHECK_FALSE(failure.response.AddIgnored(1));
    CHECK_FALSE(failure.response.IgnoredTooLong(At(100)));
    CHECK(failure.response.IgnoredTooLong(At(101)));
    failure.response.BeginAttempt(0, At(200));
    CHECK(failure.response.AddIgnored(kMaxIgnoredBytes));
  }
}

// Guards against a stream that stays at a silent engine, and against leaving an
// engine for a silence of this process or of the caller.
TEST_CASE("the silence of an engine is bounded") {
  Forwarded stream(true);
  CHECK_FALSE(stream.response.SilentTooLong(At(700)));
  CHECK(stream.response.SilentTooLong(At(701)));

  SECTION("keep-alive comments end it, part of an event does not") {
    stream.Add(":\n\n", 100);
    stream.Add("id: 1\nda", 600);
    CHECK_FALSE(stream.response.SilentTooLong(At(800)));
    CHECK(stream.response.SilentTooLong(At(801)));
  }
  SECTION("it may be longer between two events") {
    stream.Add(EventOf(1), 100);
    CHECK_FALSE(stream.response.SilentTooLong(At(1000)));
    CHECK(stream.response.SilentTooLong(At(1001)));
  }
  SECTION("time in which this process read nothing is left out") {
    stream.response.Excuse(milliseconds(300), At(650));
    CHECK_FALSE(stream.response.SilentTooLong(At(1000)));
    CHECK(stream.response.SilentTooLong(At(1001)));
    stream.response.Excuse(milliseconds(5000), At(1001));
    CHECK(stream.response.SilentTooLong(At(1702)));
  }
  SECTION("so is the time of a pause") {
    CHECK(stream.response.Pause(kPauseReadingBytes + 1));
    CHECK(stream.response.Resume(0, At(5000)));
    CHECK_FALSE(stream.response.SilentTooLong(At(5700)));
    CHECK(stream.response.SilentTooLong(At(5701)));
  }
}

// Guards against memory that grows with the response of a slow caller, and
// against pausing and resuming with every read.
TEST_CASE("reading pauses while a caller is slow") {
  Forwarded stream(true);
  CHECK_FALSE(stream.response.Pause(kPauseReadingBytes));
  CHECK_FALSE(stream.response.Resume(0, At(0)));
  CHECK(stream.response.Pause(kPauseReadingBytes + 1));
  CHECK_FALSE(stream.response.Pause(kPauseReadingBytes + 1));
  CHECK_FALSE(stream.response.Resume(kResumeReadingBytes, At(1)));
  CHECK(stream.response.Paused());
  CHECK(stream.response.Resume(kResumeReadingBytes - 1, At(2)));
  CHECK_FALSE(stream.response.Paused());
  SECTION("another attempt begins without a pause") {
    CHECK(stream.response.Pause(kPauseReadingBytes + 1));
    stream.response.BeginAttempt(0, At(3));
    CHECK_FALSE(stream.response.Paused());
  }
}

// Guards against a survival that is noted although this process stood still and
// reads late what came before a crash.
TEST_CASE("an engine that answers for long enough has survived") {
  Forwarded stream(true);
  stream.Add(EventOf(1), 0);
  SECTION("bytes arrive all the time") {
    for (std::uint64_t id = 2; id < 200; ++id) {
      stream.Add(EventOf(id), static_cast<int>(id) * 50);
    }
    CHECK(stream.response.run().survived);
    stream.response.BeginAttempt(0, At(10000));
    CHECK_FALSE(stream.response.run().survived);
  }
  SECTION("the last ones arrive late") {
    stream.Add(EventOf(2), 10000);
    CHECK_FALSE(stream.response.run().survived);
  }
}

}  // namespace papayarack::nodes
