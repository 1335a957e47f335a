#include <algorithm>
#include <catch2/catch.hpp>
#include <queue>
#include <vector>

#include "nodes/listpolling.h"

namespace papayarack::nodes {
namespace {

using std::chrono::milliseconds;

Time At(int ms) { return Time(milliseconds(ms)); }

/// The platform's rate-limited list; the calls allowed in `burst_s` seconds may
/// come at once.
struct LimitedList {
  double rate = 0;
  double burst_s = 1;
  double left = 0;
  Time filled{};

  bool Takes(Time now) {
    this->left =
        std::min(this->rate * this->burst_s,
                 this->left + this->rate * ToSeconds(now - this->filled));
    this->filled = now;
    if (this->left < 1) {
      return false;
    }
    this->left -= 1;
    return true;
  }
};

/// How readers behave. kRestart: a refused page ends the read, and another
/// starts a fixed time after its start. kPaced: according to ListPollSchedule
/// and PageRetry.
enum class Strategy { kRestart, kPaced };

struct Reader {
  explicit Reader(std::uint64_t seed) : pace(seed), random(seed + 1) {}

  ListPollSchedule pace;
  std::minstd_rand random;
  std::optional<PageRetry> retry;
  Time begun{};
  bool has_begun = false;
  std::size_t pages = 0;
  std::size_t refused = 0;
  Time seen{};
  std::size_t lists = 0;
};

struct Fleet {
  Strategy strategy = Strategy::kPaced;
  std::size_t readers = 0;
  std::size_t replicas = 0;
  std::size_t pages = 0;
  double rate = 0;
  bool leader = false;  ///< A leader that they do not hear also reads.
  double burst_s = 1;
};

struct Outcome {
  std::size_t lists = 0;         ///< Complete reads.
  std::size_t with_list = 0;     ///< Readers with at least one list.
  std::size_t leader_lists = 0;  ///< Complete reads of the leader.
  std::size_t refused = 0;
  double oldest_s = 0;  ///< At the end.
};

/// Simulates readers that receive no list after time 0, when theirs is fresh.
class Simulation {
 public:
  explicit Simulation(const Fleet& fleet)
      : fleet(fleet),
        list{fleet.rate, fleet.burst_s, fleet.rate * fleet.burst_s, {}} {
    for (std::size_t i = 0; i <= fleet.readers; ++i) {
      this->readers.emplace_back(i + 1);
      // Checks are spread over a tick, like the start times of the processes.
      this->Plan(At(static_cast<int>(i * 7 % 200)), i, false);
    }
  }

  Outcome Until(Time end) {
    while (!this->steps.empty() && this->steps.top().at <= end) {
      const Step step = this->steps.top();
      this->steps.pop();
      if (step.page) {
        this->Ask(step.at, step.reader);
      } else {
        this->Look(step.at, step.reader);
      }
    }
    Outcome outcome;
    for (std::size_t i = 0; i < this->fleet.readers; ++i) {
      const Reader& reader = this->readers[i];
      outcome.lists += reader.lists;
      outcome.with_list += reader.lists > 0 ? 1 : 0;
      outcome.oldest_s =
          std::max(outcome.oldest_s, ToSeconds(end - reader.seen));
    }
    outcome.leader_lists = this->readers.back().lists;
    outcome.refused = this->refused;
    return outcome;
  }

 private:
  struct Step {
    Time at;
    std::size_t order = 0;
    std::size_t reader = 0;
    bool page = false;
    bool operator<(const Step& other) const {
      return std::pair(this->at, this->order) >
             std::pair(other.at, other.order);
    }
  };

  bool IsLeader(std::size_t i) const { return i == this->fleet.readers; }
  ListLoad Load() const {
    return {this->fleet.rate, EstimateReaders(3, this->fleet.replicas),
            this->fleet.pages};
  }
  void Plan(Time at, std::size_t reader, bool page) {
    this->steps.push({at, this->order++, reader, page});
  }

  bool Due(Reader& reader, Time now, bool leader) {
    if (leader) {
      const milliseconds least =
          this->fleet.strategy == Strategy::kRestart
              ? milliseconds(500)
              : std::max(
                    milliseconds(500),
                    LeaderListInterval(this->fleet.rate, this->fleet.pages));
      return this->fleet.leader &&
             (!reader.has_begun || now - reader.begun >= least);
    }
    const milliseconds too_old = this->fleet.strategy == Strategy::kRestart
                                     ? kMaxListAge
                                     : MaxListAge(this->Load());
    if (now - reader.seen <= too_old) {
      return false;
    }
    return this->fleet.strategy == Strategy::kRestart
               ? !reader.has_begun || now - reader.begun > milliseconds(1000)
               : reader.pace.Due(this->Load(), now);
  }

  void Look(Time now, std::size_t i) {
    Reader& reader = this->readers[i];
    if (!reader.retry.has_value() &&
        this->Due(reader, now, this->IsLeader(i))) {
      reader.retry.emplace(now);
      reader.begun = now;
      reader.has_begun = true;
      reader.pages = 0;
      reader.refused = 0;
      this->Ask(now, i);
    }
    this->Plan(now + milliseconds(this->IsLeader(i) ? 50 : 200), i, false);
  }

  void Ask(Time now, std::size_t i) {
    constexpr milliseconds kAnswerTime{5};
    Reader& reader = this->readers[i];
    if (this->list.Takes(now)) {
      reader.retry->PageRead();
      if (++reader.pages < this->fleet.pages) {
        this->Plan(now + kAnswerTime, i, true);
      } else {
        ++reader.lists;
        reader.seen = now;
        this->End(reader, true, now);
      }
      return;
    }
    ++this->refused;
    ++reader.refused;
    std::optional<milliseconds> pause;
    if (this->fleet.strategy == Strategy::kPaced) {
      pause = reader.retry->Again(
          now, std::uniform_real_distribution<double>(0, 1)(reader.random));
    }
    if (pause.has_value()) {
      this->Plan(now + *pause, i, true);
    } else {
      this->End(reader, false, now);
    }
  }

  void End(Reader& reader, bool whole, Time now) {
    reader.retry.reset();
    reader.pace.Ended(this->Load(), whole, reader.refused, now);
  }

  Fleet fleet;
  LimitedList list;
  std::vector<Reader> readers;
  std::priority_queue<Step> steps;
  std::size_t order = 0;
  std::size_t refused = 0;
};

Outcome Simulate(Fleet fleet, Strategy strategy, int seconds) {
  fleet.strategy = strategy;
  const Outcome outcome = Simulation(fleet).Until(At(seconds * 1000));
  UNSCOPED_INFO(
      "readers " << fleet.readers << " pages " << fleet.pages << " rate "
                 << fleet.rate << " paced " << (strategy == Strategy::kPaced)
                 << " s " << seconds << ": lists " << outcome.lists
                 << " with_list " << outcome.with_list << " leader "
                 << outcome.leader_lists << " refused " << outcome.refused
                 << " oldest_s " << outcome.oldest_s);
  return outcome;
}

}  // namespace

// Guards against draining replicas that stay in use by every entry while no
// leader is heard: all entries miss it at the same moment and read the list of
// several pages, which exceeds the platform's rate; each is refused a page,
// drops those before it and starts over a second later.
TEST_CASE("processes without a leader get lists") {
  SECTION("100 of them, 800 replicas") {
    const Fleet fleet{{}, 100, 800, 16, 105};
    const Outcome anew = Simulate(fleet, Strategy::kRestart, 10);
    CHECK(anew.lists == 0);
    CHECK(anew.oldest_s == 10);
    CHECK(Simulate(fleet, Strategy::kRestart, 60).lists == 0);
    CHECK(Simulate(fleet, Strategy::kPaced, 10).lists >= 40);
    // A round of all readers is 1,600 calls at four fifths of 105 a second, 19
    // s, and an interval is up to a quarter longer.
    const Outcome later = Simulate(fleet, Strategy::kPaced, 60);
    CHECK(later.with_list == 100);
    CHECK(later.oldest_s < 25);
  }
  SECTION("100 of them, 3000 replicas") {
    const Fleet fleet{{}, 100, 3000, 60, 210};
    const std::size_t anew = Simulate(fleet, Strategy::kRestart, 10).lists;
    CHECK(Simulate(fleet, Strategy::kPaced, 10).lists >= 2 * anew);
    const Outcome late = Simulate(fleet, Strategy::kRestart, 60);
    const Outcome paced = Simulate(fleet, Strategy::kPaced, 60);
    CHECK(late.with_list < 60);
    CHECK(paced.with_list == 100);
    CHECK(paced.refused * 10 < late.refused);
  }
  SECTION("24 of them, 200 replicas") {
    // Platforms differ in whether the calls of a second may come at once.
    const double burst_s = GENERATE(1.0, 0.1);
    const Fleet fleet{{}, 24, 200, 4, 47, false, burst_s};
    for (const int seconds : {10, 60}) {
      const Outcome paced = Simulate(fleet, Strategy::kPaced, seconds);
      CHECK(paced.with_list == 24);
      CHECK(paced.oldest_s < 3.5);
    }
    CHECK(Simulate(fleet, Strategy::kRestart, 60).oldest_s > 20);
  }
  SECTION("a few of them as often as without pacing") {
    const Fleet fleet{{}, 3, 10, 1, 47};
    const Outcome anew = Simulate(fleet, Strategy::kRestart, 10);
    const Outcome paced = Simulate(fleet, Strategy::kPaced, 10);
    CHECK(paced.lists >= anew.lists);
    CHECK(paced.refused == 0);
    CHECK(paced.oldest_s <= 2.2);
  }
}

// Guards against a leader's list that is too old for all its readers: processes
// that do not hear the leader use up the rate.
TEST_CASE("a leader gets lists while processes that do not hear it read too") {
  const Fleet fleet = GENERATE(Fleet{{}, 24, 200, 4, 47, true},
                               Fleet{{}, 100, 800, 16, 105, true},
                               Fleet{{}, 100, 3000, 60, 210, true});
  const Outcome anew = Simulate(fleet, Strategy::kRestart, 60);
  const Outcome paced = Simulate(fleet, Strategy::kPaced, 60);
  CHECK(paced.leader_lists > anew.leader_lists);
  CHECK(paced.with_list >= anew.with_list);
}

TEST_CASE("direct reads stay within their share of the rate") {
  const ListLoad load{100, 20, 10};
  SECTION("with intervals that differ") {
    std::vector<milliseconds> first;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      ListPollSchedule pace(seed);
      int ms = 0;
      while (!pace.Due(load, At(ms))) {
        ++ms;
      }
      first.emplace_back(ms);
      // 200 calls at 80 a second.
      CHECK(ms <= 2500);
      pace.Ended(load, true, 0, At(ms));
      CHECK_FALSE(pace.Due(load, At(ms + 2499)));
      CHECK(pace.Due(load, At(ms + 3125)));
    }
    std::ranges::sort(first);
    CHECK(first.front() < milliseconds(500));
    CHECK(first.back() > milliseconds(2000));
    CHECK(std::ranges::adjacent_find(first) == first.end());
  }
  SECTION("at most one a second") {
    const ListLoad small{100, 1, 1};
    ListPollSchedule pace(1);
    pace.Ended(small, true, 0, At(100));
    CHECK_FALSE(pace.Due(small, At(1099)));
    CHECK(pace.Due(small, At(1350)));
  }
  SECTION(
      "slower when there are more readers than estimated, then recovering") {
    ListPollSchedule pace(1);
    pace.Ended(load, false, 3, At(0));
    CHECK_FALSE(pace.Due(load, At(4999)));
    for (int i = 0; i < 9; ++i) {
      pace.Ended(load, false, 3, At(0));
    }
    CHECK_FALSE(pace.Due(load, At(19999)));
    CHECK((pace.Due(load, At(22500)) || pace.Due(load, At(25000))));
    for (int i = 0; i < 6; ++i) {
      pace.Ended(load, true, 3, At(0));
    }
    CHECK(pace.Due(load, At(3125)));
  }
  SECTION("not slower when the list is unreachable") {
    ListPollSchedule pace(1);
    pace.Ended(load, false, 0, At(0));
    CHECK(pace.Due(load, At(3125)));
  }
}

TEST_CASE("the leader's interval grows with the list") {
  CHECK(LeaderListInterval(40, 1) == milliseconds(50));
  CHECK(LeaderListInterval(40, 60) == milliseconds(3000));
  CHECK(LeaderListInterval(ListRate(0), 1) == milliseconds(50));
  CHECK(ListRate(47) == 47);
  CHECK(ListRate(-1) == kDefaultListRate);
}

TEST_CASE("the maximum list age covers the leader's interval") {
  CHECK(MaxListAge({47, 25, 4}) == milliseconds(1700));
  CHECK(MaxListAge({40, 100, 60}) == milliseconds(4200));
}

TEST_CASE("the number of readers is estimated from the replicas") {
  CHECK(EstimateReaders(0, 0) == 1);
  CHECK(EstimateReaders(5, 10) == 5);
  CHECK(EstimateReaders(3, 200) == 25);
  CHECK(EstimateReaders(3, 3000) == 100);
}

TEST_CASE("a page is retried a few times, in bounded time") {
  SECTION("with growing pauses") {
    PageRetry retry(At(0));
    const std::vector<int> longest = {100, 200, 400, 800, 800, 800};
    for (const int ms : longest) {
      CHECK(retry.Again(At(0), 1.0) == milliseconds(ms));
    }
    CHECK_FALSE(retry.Again(At(0), 1.0).has_value());
    retry.PageRead();
    CHECK(retry.Again(At(0), 0.0) == milliseconds(50));
  }
  SECTION("not when the earlier pages would be too old") {
    PageRetry retry(At(0));
    CHECK(retry.Again(At(2800), 1.0).has_value());
    CHECK_FALSE(retry.Again(At(2900), 1.0).has_value());
  }
}

// Guards against entries that get no list while they hear no leader, because
// thousands of gates each search the whole list every few seconds.
TEST_CASE("many searches use little of the rate") {
  SearchBackoff pace(7);
  CHECK(pace.Pages() == 1);
  for (int i = 0; i < 10; ++i) {
    pace.Ended(true);
  }
  CHECK(pace.Pages() == SearchBackoff::kMaxPages);
  CHECK(pace.Next() <= milliseconds(5000));
  for (int i = 0; i < 10; ++i) {
    pace.Ended(false);
  }
  CHECK(pace.Pages() == 1);
  CHECK(pace.Next() >= milliseconds(48000));
  CHECK(pace.Next() != pace.Next());
  pace.Found();
  CHECK(pace.Next() <= milliseconds(5000));
}

}  // namespace papayarack::nodes
