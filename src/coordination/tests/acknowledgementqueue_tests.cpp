#include <catch2/catch.hpp>
#include <vector>

#include "coordination/acknowledgementqueue.h"
#include "global/transfertime.h"

namespace papayarack::coordination {
namespace {

using std::chrono::milliseconds;
using Streams = std::vector<transport::StreamId>;

constexpr std::size_t kSmallBytes = 100;
constexpr transport::StreamId kFirst = 11;
constexpr transport::StreamId kSecond = 12;

Streams StreamsOf(
    const std::vector<AcknowledgementQueue::Acknowledgement>& released) {
  Streams streams;
  for (const AcknowledgementQueue::Acknowledgement& one : released) {
    streams.push_back(one.stream);
  }
  return streams;
}

}  // namespace

// Guards against entries that serve by an older configuration after a newer one
// was acknowledged. If the leader or its link fails right after the
// acknowledgement, entries get nothing further, so the acknowledgement waits
// for them, up to a bound.
TEST_CASE("an acknowledgement waits until entries have applied the version") {
  AcknowledgementQueue queue;
  const Time start = Time(std::chrono::hours(1));
  queue.Clear(start);
  queue.OnReport("a", 4, start + milliseconds(900));
  queue.OnReport("b", 4, start + milliseconds(1200));
  const Time now = start + AcknowledgementQueue::kReportTimeout;

  SECTION("while one of them has not") {
    queue.Add(kFirst, 6, kSmallBytes, now);
    queue.OnReport("a", 6, now + milliseconds(20));
    CHECK(queue.TakeDue(now + milliseconds(40)).empty());
    queue.OnReport("b", 7, now + milliseconds(50));
    CHECK(StreamsOf(queue.TakeDue(now + milliseconds(60))) == Streams{kFirst});
    CHECK(queue.TakeDue(now + milliseconds(80)).empty());
  }
  SECTION("each acknowledgement for its own version") {
    queue.Add(kFirst, 8, kSmallBytes, now);
    queue.Add(kSecond, 6, kSmallBytes, now);
    queue.OnReport("a", 6, now);
    queue.OnReport("b", 6, now);
    CHECK(StreamsOf(queue.TakeDue(now)) == Streams{kSecond});
  }
  SECTION("no longer than the bound") {
    queue.Add(kFirst, 6, kSmallBytes, now);
    const Time bound = now + AcknowledgementQueue::kMaxDelay;
    queue.OnReport("a", 4, now + milliseconds(200));
    queue.OnReport("b", 6, now + milliseconds(200));
    CHECK(queue.TakeDue(bound - milliseconds(1)).empty());
    const auto released = queue.TakeDue(bound);
    CHECK(StreamsOf(released) == Streams{kFirst});
    CHECK(released.front().version == 6);
    CHECK(released.front().lagging == 1);
    CHECK(released.front().first_lagging == "a");
    CHECK(released.front().delay == AcknowledgementQueue::kMaxDelay);
  }
  SECTION("with the bound counted from the first submission") {
    queue.Add(kFirst, 6, kSmallBytes, now);
    const Time bound = now + AcknowledgementQueue::kMaxDelay;
    queue.OnReport("a", 4, now + milliseconds(250));
    queue.OnReport("b", 4, now + milliseconds(250));
    queue.Add(kSecond, 6, kSmallBytes, now + milliseconds(250));
    CHECK(StreamsOf(queue.TakeDue(bound)) == Streams{kFirst, kSecond});
    SECTION("an older version does not wait again") {
      queue.Add(kFirst, 5, kSmallBytes, bound + milliseconds(10));
      CHECK(StreamsOf(queue.TakeDue(bound + milliseconds(10))) ==
            Streams{kFirst});
    }
    SECTION("a newer version waits again") {
      queue.Add(kFirst, 7, kSmallBytes, bound + milliseconds(10));
      CHECK(queue.TakeDue(bound + milliseconds(10)).empty());
    }
  }
  SECTION("with a longer bound for a large text") {
    constexpr std::size_t kLargeBytes = 900'000;
    queue.Add(kFirst, 6, kLargeBytes, now);
    const Time bound =
        now + AcknowledgementQueue::kMaxDelay + TransferTime(kLargeBytes);
    for (Time at = now; at < bound; at += milliseconds(100)) {
      queue.OnReport("a", 4, at);
      queue.OnReport("b", 6, at);
      CHECK(queue.TakeDue(at).empty());
    }
    CHECK(StreamsOf(queue.TakeDue(bound)) == Streams{kFirst});
  }
  SECTION("but not for an entry that has stopped reporting") {
    const Time gone =
        start + milliseconds(900) + AcknowledgementQueue::kReportTimeout;
    queue.Add(kFirst, 6, kSmallBytes, gone);
    queue.OnReport("b", 6, gone);
    CHECK(queue.TakeDue(gone).empty());
    CHECK(StreamsOf(queue.TakeDue(gone + milliseconds(1))) == Streams{kFirst});
  }
  SECTION("for the whole bound at a new leader, which lacks reports") {
    queue.Clear(now);
    queue.OnReport("a", 6, now);
    queue.Add(kFirst, 6, kSmallBytes, now);
    CHECK(queue.TakeDue(now + milliseconds(100)).empty());
    CHECK(StreamsOf(queue.TakeDue(now + AcknowledgementQueue::kMaxDelay)) ==
          Streams{kFirst});
  }
  SECTION("only while this member leads") {
    queue.Add(kFirst, 6, kSmallBytes, now);
    queue.Add(kSecond, 6, kSmallBytes, now);
    CHECK(StreamsOf(queue.TakeAll(now)) == Streams{kFirst, kSecond});
    CHECK(queue.TakeDue(now + AcknowledgementQueue::kMaxDelay).empty());
  }
  SECTION("but not if no entry is known") {
    AcknowledgementQueue alone;
    alone.Clear(start);
    alone.Add(kFirst, 6, kSmallBytes, now);
    CHECK(StreamsOf(alone.TakeDue(now)) == Streams{kFirst});
  }
}

}  // namespace papayarack::coordination
