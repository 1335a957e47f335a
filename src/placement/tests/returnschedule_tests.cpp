#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "placement/admission.h"
#include "placement/returnschedule.h"

namespace papayarack::placement {
namespace {

using std::chrono::milliseconds;

Time At(std::int64_t ms) { return Time(milliseconds(1000000 + ms)); }

constexpr std::int64_t kWaveMs = 6000;
constexpr std::int64_t kPeakMs = 2500;
constexpr milliseconds kDeadline{5000};

struct Totals {
  int sent = 0;
  int rejected = 0;
  int rejected_twice = 0;
  std::int64_t longest_delay_ms = 0;
};

/// One entry in eight waves: 26 requests per second at a peak and 5 in a
/// trough, where 20 get a slot. Callers retry once; the last six waves count.
class Waves {
 public:
  explicit Waves(bool learns) : learns(learns) {}

  Totals Run(std::uint32_t seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> draw(0, 1);
    for (std::int64_t ms = 0; ms < 8 * kWaveMs; ++ms) {
      this->room = std::min(2.0, this->room + 0.020);
      const bool peak = ms % kWaveMs < kPeakMs;
      if (draw(random) < (peak ? 0.026 : 0.005)) {
        this->Arrive(ms, draw(random));
      }
      for (; this->returns.count(ms) > 0;
           this->returns.erase(this->returns.find(ms))) {
        this->Return(ms, draw(random));
      }
    }
    return this->totals;
  }

 private:
  bool Serve(std::int64_t ms) {
    if (this->room < 1) {
      return false;
    }
    this->room -= 1;
    this->schedule.Served(At(ms));
    return true;
  }

  void Arrive(std::int64_t ms, double draw) {
    const bool counts = ms >= 2 * kWaveMs;
    this->totals.sent += counts ? 1 : 0;
    if (this->Serve(ms)) {
      return;
    }
    this->totals.rejected += counts ? 1 : 0;
    const milliseconds usual = RetryAfter({}, draw);
    const milliseconds delay =
        this->learns ? this->schedule.Rejected(usual, kDeadline, At(ms)).delay
                     : usual;
    this->totals.longest_delay_ms =
        std::max<std::int64_t>(this->totals.longest_delay_ms, delay.count());
    this->returns.insert(ms + std::max<std::int64_t>(1, delay.count()));
  }

  void Return(std::int64_t ms, double draw) {
    if (this->Serve(ms)) {
      return;
    }
    this->totals.rejected_twice += ms >= 2 * kWaveMs ? 1 : 0;
    if (this->learns) {
      this->schedule.Rejected(RetryAfter({}, draw), milliseconds(3300), At(ms));
    }
  }

  bool learns;
  ReturnSchedule schedule;
  double room = 0;
  std::multiset<std::int64_t> returns;
  Totals totals;
};

}  // namespace

// Load: a square wave whose peaks exceed what the slots serve. Guards against
// callers who are told to return into the same peak, and rejected again.
TEST_CASE("callers rejected at a peak return when there are slots") {
  Totals usual;
  Totals learned;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    const Totals one = Waves(false).Run(seed);
    const Totals other = Waves(true).Run(seed);
    usual.rejected += one.rejected;
    usual.rejected_twice += one.rejected_twice;
    learned.rejected += other.rejected;
    learned.rejected_twice += other.rejected_twice;
    CHECK(other.longest_delay_ms <= kDeadline.count() / 3);
  }
  INFO("usual: " << usual.rejected << ", twice " << usual.rejected_twice
                 << "; learned: " << learned.rejected << ", twice "
                 << learned.rejected_twice);
  CHECK(learned.rejected_twice * usual.rejected <
        usual.rejected_twice * learned.rejected);
}

TEST_CASE("the delay of a rejected caller") {
  ReturnSchedule schedule;
  SECTION("is the usual one until a peak is known") {
    const ReturnTime first =
        schedule.Rejected(milliseconds(1300), kDeadline, At(0));
    CHECK(first.delay == milliseconds(1300));
    CHECK_FALSE(first.learned);
    CHECK_FALSE(schedule.ServedPerSecond().has_value());
  }
  SECTION("is never longer than the caller waits") {
    CHECK(
        schedule.Rejected(milliseconds(1300), milliseconds(900), At(0)).delay ==
        milliseconds(300));
    CHECK(
        schedule.Rejected(milliseconds(1300), milliseconds(-5), At(0)).delay ==
        milliseconds(0));
  }
  SECTION("leads past the end of a peak, spread by what is served") {
    const auto peak = [&schedule](std::int64_t begin, std::int64_t end) {
      ReturnTime last;
      for (std::int64_t ms = begin; ms < end; ms += 50) {
        schedule.Served(At(ms));
        last = schedule.Rejected(milliseconds(1300), kDeadline, At(ms));
      }
      return last;
    };
    peak(0, 2000);
    peak(5000, 7000);
    REQUIRE(schedule.PeakLength().has_value());
    CHECK(*schedule.PeakLength() == milliseconds(1950));
    CHECK(*schedule.ServedPerSecond() == Approx(20).epsilon(0.1));
    peak(10000, 11000);
    const ReturnTime late =
        schedule.Rejected(milliseconds(900), kDeadline, At(11000));
    CHECK(late.learned);
    CHECK(late.delay >= milliseconds(900));
    CHECK(late.at_once <= 2);
  }
  SECTION("leads past the end of a peak at a small entry, too") {
    const auto peak = [&schedule](std::int64_t begin, std::int64_t end) {
      for (std::int64_t ms = begin; ms < end; ms += 200) {
        schedule.Served(At(ms));
        schedule.Rejected(milliseconds(1300), kDeadline, At(ms));
      }
    };
    peak(0, 2100);
    peak(5000, 7100);
    peak(10000, 11500);
    const ReturnTime late =
        schedule.Rejected(milliseconds(900), kDeadline, At(11500));
    CHECK(*schedule.ServedPerSecond() == Approx(5).epsilon(0.15));
    CHECK(late.learned);
    CHECK(late.at_once == 1);
    CHECK(late.delay >= milliseconds(500));
  }
  SECTION("survives a pause of hours") {
    for (std::int64_t ms = 0; ms < 2000; ms += 50) {
      schedule.Rejected(milliseconds(1300), kDeadline, At(ms));
    }
    const ReturnTime after =
        schedule.Rejected(milliseconds(1300), kDeadline, At(36000000));
    CHECK(after.delay <= kDeadline / 3);
  }
}

}  // namespace papayarack::placement
