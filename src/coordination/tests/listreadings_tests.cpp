#include <algorithm>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <vector>

#include "groupmembers.h"

namespace papayarack::coordination {

// Guards against a list that looks new because its reply waited: in a cut
// connection, or in the socket of a process that stood still.
TEST_CASE("the age of a list counts from when it was asked for") {
  constexpr milliseconds kLate{600};
  constexpr milliseconds kReadBefore{100};
  asio::io_context context;
  Host leader(context);
  asio::steady_timer timer(context);
  WatchReply reply;
  reply.term = 1;
  reply.config_version = 7;
  reply.config = "seven";
  reply.has_engines = true;
  const bool states_it = GENERATE(true, false);
  reply.has_engines_read = states_it;
  reply.engines_read_after_ms = states_it ? -kReadBefore.count() : 0;
  int asked = 0;
  leader.dispatch.On("/coordination/watch",
                     [&](transport::StreamId stream, const std::string&) {
                       // The next reply waits for changes that do not come.
                       if (++asked == 1) {
                         timer.expires_after(kLate);
                         timer.async_wait([&, stream](std::error_code error) {
                           if (!error) {
                             leader.Answer(stream, EncodeMessage(reply));
                           }
                         });
                       }
                     });
  Host process(context);
  FleetWatch watch(context, process.peers, Report("p", process.Address()),
                   {leader.Address()}, [](const FleetChange&) {});
  const Time sent = MonotonicNow();
  watch.Start();
  const Time started = MonotonicNow();
  RunUntil(
      context, [&] { return watch.knowledge().config_version == 7; }, kInForce);
  REQUIRE(watch.knowledge().config_version == 7);
  const Time read_after = watch.knowledge().engines_read_after;

  if (states_it) {
    CHECK(read_after >= sent - kReadBefore);
    CHECK(read_after <= started - kReadBefore);
  } else {
    // A leader of an earlier release does not tell it.
    CHECK(read_after == Time{});
  }
  SECTION("and an own reading counts from its begin") {
    const Time begun = MonotonicNow();
    watch.TakeEngines({}, begun);
    CHECK(watch.knowledge().engines_read_after == begun);
    watch.TakeEngines({}, sent);
    CHECK(watch.knowledge().engines_read_after == begun);
  }
}

// Guards against streams that are refused because the reading of the list that
// they need is made, but told a second later.
TEST_CASE("a leader tells a reading that a process waits for at once") {
  constexpr milliseconds kLag{800};
  // A reading in 0.5 s, and a margin for a loaded machine.
  constexpr milliseconds kInTime{600};
  asio::io_context context;
  Member member(context, 1);
  int readings = 0;
  member.Found(context, {{{1, member.host.Address(), true}}},
               [&readings](const auto& done) {
                 ++readings;
                 done(std::vector<EngineInstance>{});
               });
  Host process(context);
  std::vector<Time> wanted;
  std::unique_ptr<FleetWatch> watch;
  const auto want_next = [&] {
    std::erase_if(wanted, [&](Time time) {
      return watch->knowledge().engines_read_after >= time;
    });
    if (!wanted.empty()) {
      watch->WantEngines(wanted.front());
    }
  };
  watch = std::make_unique<FleetWatch>(
      context, process.peers, Report("p", process.Address()),
      std::vector<std::string>{member.host.Address()},
      [&](const FleetChange&) { want_next(); });
  watch->Start();
  RunUntil(
      context, [&] { return watch->knowledge().engines_read_after != Time{}; },
      kElected);
  const int before = readings;
  const Time first = MonotonicNow();
  for (int i = 0; i < 3; ++i) {
    wanted.push_back(MonotonicNow() + kLag);
    want_next();
    RunFor(context, milliseconds(100));
  }
  RunUntil(
      context, [&] { return wanted.size() < 3; }, kElected);
  CHECK(MonotonicNow() < first + kLag + kInTime);
  RunUntil(
      context, [&] { return wanted.empty(); }, kElected);
  CHECK(MonotonicNow() < first + milliseconds(200) + kLag + kInTime);
  SECTION("also one that is wanted sooner than another") {
    const Time now = MonotonicNow();
    watch->WantEngines(now + milliseconds(5000));
    wanted.push_back(now + milliseconds(100));
    want_next();
    RunUntil(
        context, [&] { return wanted.empty(); }, kElected);
    CHECK(MonotonicNow() < now + milliseconds(100) + kInTime);
  }
  SECTION("and reads as often as without a wish, each 0.5 s") {
    CHECK(readings - before <= 4);
  }
}

// Guards against streams that are refused because they arrived just after a
// reading began: the next one came too late for them.
TEST_CASE("a reading comes in time for each process that waits for it") {
  constexpr milliseconds kLag{800};
  constexpr milliseconds kListTakes{100};
  // What a stream waits beyond the platform's lag.
  constexpr milliseconds kInTime{700};
  constexpr int kWanted = 120;
  constexpr milliseconds kBetween{5};
  asio::io_context context;
  Member member(context, 1);
  asio::steady_timer list(context);
  member.Found(context, {{{1, member.host.Address(), true}}},
               [&](const auto& done) {
                 list.expires_after(kListTakes);
                 list.async_wait([done](std::error_code error) {
                   if (!error) {
                     done(std::vector<EngineInstance>{});
                   }
                 });
               });
  Host process(context);
  std::vector<Time> wanted;
  Duration longest{};
  std::unique_ptr<FleetWatch> watch;
  const auto want_next = [&] {
    std::erase_if(wanted, [&](Time time) {
      const bool read = watch->knowledge().engines_read_after >= time;
      longest = read ? std::max(longest, MonotonicNow() - time) : longest;
      return read;
    });
    if (!wanted.empty()) {
      watch->WantEngines(wanted.front());
    }
  };
  watch = std::make_unique<FleetWatch>(
      context, process.peers, Report("p", process.Address()),
      std::vector<std::string>{member.host.Address()},
      [&](const FleetChange&) { want_next(); });
  watch->Start();
  RunUntil(
      context, [&] { return watch->knowledge().engines_read_after != Time{}; },
      kElected);
  const Time first = MonotonicNow() + kLag;
  for (int i = 0; i < kWanted; ++i) {
    wanted.push_back(first + i * kBetween);
  }
  want_next();
  RunUntil(
      context, [&] { return wanted.empty(); }, kElected);
  CHECK(wanted.empty());
  CHECK(longest < kInTime);
}

}  // namespace papayarack::coordination
