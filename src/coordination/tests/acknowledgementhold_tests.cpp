#include <catch2/catch.hpp>
#include <vector>

#include "coordination/acknowledgementhold.h"
#include "global/transfertime.h"

namespace papayarack::coordination {
namespace {

using std::chrono::milliseconds;
using Streams = std::vector<transport::StreamId>;

constexpr std::size_t kSmallBytes = 100;
constexpr transport::StreamId kFirst = 11;
constexpr transport::StreamId kSecond = 12;

Streams StreamsOf(const std::vector<AcknowledgementHold::Released>& released) {
  Streams streams;
  for (const AcknowledgementHold::Released& one : released) {
    streams.push_back(one.stream);
  }
  return streams;
}

}  // namespace

// A large configuration is confirmed, and the leader or its link fails right
// after: what entries obey then is what they had obeyed when it was
// acknowledged, so the acknowledgement waits for them, within bounds.
TEST_CASE("an acknowledgement is held until the entries obey") {
  AcknowledgementHold hold;
  const Time start = Time(std::chrono::hours(1));
  hold.Clear(start);
  hold.Heard("a", 4, start + milliseconds(900));
  hold.Heard("b", 4, start + milliseconds(1200));
  const Time now = start + AcknowledgementHold::kInTouch;

  SECTION("as long as one of them does not") {
    hold.Hold(kFirst, 6, kSmallBytes, now);
    hold.Heard("a", 6, now + milliseconds(20));
    CHECK(hold.Release(now + milliseconds(40)).empty());
    hold.Heard("b", 7, now + milliseconds(50));
    CHECK(StreamsOf(hold.Release(now + milliseconds(60))) == Streams{kFirst});
    CHECK(hold.Release(now + milliseconds(80)).empty());
  }
  SECTION("each for its own version") {
    hold.Hold(kFirst, 8, kSmallBytes, now);
    hold.Hold(kSecond, 6, kSmallBytes, now);
    hold.Heard("a", 6, now);
    hold.Heard("b", 6, now);
    CHECK(StreamsOf(hold.Release(now)) == Streams{kSecond});
  }
  SECTION("at most for its bound") {
    hold.Hold(kFirst, 6, kSmallBytes, now);
    const Time bound = now + AcknowledgementHold::kLongest;
    hold.Heard("a", 4, now + milliseconds(200));
    hold.Heard("b", 6, now + milliseconds(200));
    CHECK(hold.Release(bound - milliseconds(1)).empty());
    const auto released = hold.Release(bound);
    CHECK(StreamsOf(released) == Streams{kFirst});
    CHECK(released.front().version == 6);
    CHECK(released.front().lagging == 1);
    CHECK(released.front().first_lagging == "a");
    CHECK(released.front().held_for == AcknowledgementHold::kLongest);
  }
  SECTION("counted from the first of those who sent it") {
    hold.Hold(kFirst, 6, kSmallBytes, now);
    const Time bound = now + AcknowledgementHold::kLongest;
    hold.Heard("a", 4, now + milliseconds(250));
    hold.Heard("b", 4, now + milliseconds(250));
    hold.Hold(kSecond, 6, kSmallBytes, now + milliseconds(250));
    CHECK(StreamsOf(hold.Release(bound)) == Streams{kFirst, kSecond});
    SECTION("so that nobody waits again for what was acknowledged") {
      hold.Hold(kFirst, 5, kSmallBytes, bound + milliseconds(10));
      CHECK(StreamsOf(hold.Release(bound + milliseconds(10))) ==
            Streams{kFirst});
    }
    SECTION("but for a newer one") {
      hold.Hold(kFirst, 7, kSmallBytes, bound + milliseconds(10));
      CHECK(hold.Release(bound + milliseconds(10)).empty());
    }
  }
  SECTION("which is longer for a large text") {
    constexpr std::size_t kLargeBytes = 900'000;
    hold.Hold(kFirst, 6, kLargeBytes, now);
    const Time bound =
        now + AcknowledgementHold::kLongest + TransferTime(kLargeBytes);
    for (Time at = now; at < bound; at += milliseconds(100)) {
      hold.Heard("a", 4, at);
      hold.Heard("b", 6, at);
      CHECK(hold.Release(at).empty());
    }
    CHECK(StreamsOf(hold.Release(bound)) == Streams{kFirst});
  }
  SECTION("not for one that is gone") {
    const Time gone = start + milliseconds(900) + AcknowledgementHold::kInTouch;
    hold.Hold(kFirst, 6, kSmallBytes, gone);
    hold.Heard("b", 6, gone);
    CHECK(hold.Release(gone).empty());
    CHECK(StreamsOf(hold.Release(gone + milliseconds(1))) == Streams{kFirst});
  }
  SECTION("by a new leader for the bound, as it does not know them all yet") {
    hold.Clear(now);
    hold.Heard("a", 6, now);
    hold.Hold(kFirst, 6, kSmallBytes, now);
    CHECK(hold.Release(now + milliseconds(100)).empty());
    CHECK(StreamsOf(hold.Release(now + AcknowledgementHold::kLongest)) ==
          Streams{kFirst});
  }
  SECTION("no longer than this member leads, as it was confirmed") {
    hold.Hold(kFirst, 6, kSmallBytes, now);
    hold.Hold(kSecond, 6, kSmallBytes, now);
    CHECK(StreamsOf(hold.ReleaseAll(now)) == Streams{kFirst, kSecond});
    CHECK(hold.Release(now + AcknowledgementHold::kLongest).empty());
  }
  SECTION("and not at all where no entry is known") {
    AcknowledgementHold alone;
    alone.Clear(start);
    alone.Hold(kFirst, 6, kSmallBytes, now);
    CHECK(StreamsOf(alone.Release(now)) == Streams{kFirst});
  }
}

}  // namespace papayarack::coordination
