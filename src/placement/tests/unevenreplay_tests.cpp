#include <array>
#include <catch2/catch.hpp>
#include <iostream>
#include <queue>
#include <random>

#include "placement/slotsearch.h"

namespace papayarack::placement {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kSlots = 8;
constexpr int kReplicas = 38;
constexpr int kEntries = 6;
constexpr milliseconds kFastHold{500};
constexpr milliseconds kSlowHold{1200};
constexpr double kPerSecond = 214;

struct Outcome {
  int requests = 0;
  int refused = 0;
  int asks = 0;
  int slow = 0;  ///< Ran at a slow replica.
  double hold_s = 0;

  void Add(const Outcome& other) {
    this->requests += other.requests;
    this->refused += other.refused;
    this->asks += other.asks;
    this->slow += other.slow;
    this->hold_s += other.hold_s;
  }
};

/// Entries and gates of a fleet, without a network: a request asks gates for a
/// free slot until it gets one or its search ends.
class Replay {
 public:
  /// `slow` of the replicas are slow; `learns`: gates state their speeds.
  Replay(int slow, bool learns, std::uint64_t seed)
      : slow(slow), learns(learns), random(seed) {
    std::vector<EngineOption> options;
    for (int i = 0; i < kReplicas; ++i) {
      const std::string number = std::to_string(i);
      options.push_back({number, "id" + number, "g" + number, "z", kSlots});
    }
    for (int i = 0; i < kEntries; ++i) {
      this->entries.emplace_back(static_cast<std::uint64_t>(i) + 1);
      this->entries.back().SetOptions("llm", options);
    }
  }

  /// A square wave: 2.4 s at 1.85 times `per_second`, 3.3 s at 0.38 times.
  Outcome Run(double per_second) {
    constexpr Duration kPeak = milliseconds(2400);
    constexpr Duration kPeriod = milliseconds(5700);
    const Time start{std::chrono::seconds(100)};
    for (Time now = start; now < start + std::chrono::seconds(60);) {
      const bool peak = (now - start) % kPeriod < kPeak;
      std::exponential_distribution<double> gap(per_second *
                                                (peak ? 1.85 : 0.38));
      now += Duration(static_cast<std::int64_t>(gap(this->random) * 1e6) + 1);
      this->EndUntil(now);
      this->Request(now);
    }
    return this->outcome;
  }

 private:
  struct End {
    Time at{};
    int entry = 0;
    int replica = 0;
    bool operator<(const End& other) const { return this->at > other.at; }
  };

  Duration HoldOf(int replica) const {
    return replica < this->slow ? kSlowHold : kFastHold;
  }

  void EndUntil(Time now) {
    while (!this->ends.empty() && this->ends.top().at <= now) {
      const End end = this->ends.top();
      this->ends.pop();
      --this->used[end.replica];
      this->entries[end.entry].Ended(std::to_string(end.replica));
    }
  }

  void Request(Time now) {
    ++this->outcome.requests;
    const int index = this->outcome.requests % kEntries;
    EngineChooser& entry = this->entries[index];
    SlotSearch search("llm", "z");
    while (true) {
      const SearchStep step = search.Next(entry, milliseconds(0), now);
      const auto* ask = std::get_if<AskGate>(&step);
      if (ask == nullptr || ask->longest_wait > milliseconds(0)) {
        ++this->outcome.refused;
        return;
      }
      ++this->outcome.asks;
      const int replica = std::stoi(ask->engine.address);
      if (this->learns) {
        entry.LearnSpeed("llm", ask->engine.address,
                         {this->HoldOf(replica), Duration(0), 0}, now);
      }
      const bool granted = this->used[replica] < kSlots;
      this->used[replica] += granted ? 1 : 0;
      entry.Reported(ask->engine.address, {this->used[replica]}, now);
      if (granted) {
        this->Start(index, replica, now);
        return;
      }
      search.Busy(milliseconds(100));
    }
  }

  void Start(int entry, int replica, Time now) {
    this->entries[entry].Started(std::to_string(replica));
    this->ends.push({now + this->HoldOf(replica), entry, replica});
    this->outcome.slow += replica < this->slow ? 1 : 0;
    this->outcome.hold_s += ToSeconds(this->HoldOf(replica));
  }

  int slow;
  bool learns;
  std::vector<EngineChooser> entries;
  std::mt19937_64 random;
  std::array<std::uint32_t, kReplicas> used{};
  std::priority_queue<End> ends;
  Outcome outcome;
};

void Print(const char* name, const Outcome& outcome) {
  std::cout << name << ": requests " << outcome.requests << ", refused "
            << outcome.refused << ", asks " << outcome.asks << ", at slow "
            << outcome.slow << ", mean hold s "
            << outcome.hold_s / (outcome.requests - outcome.refused) << "\n";
}

}  // namespace

// Load: 12 replicas of 38 take 2.4 times as long, and the load is a square wave
// with peaks of 0.8 of what the fleet can run. Guards against speeds that fill
// the fast replicas so that requests are refused which load alone would place.
// Has a ctest entry of its own, uneven_refusals.
TEST_CASE("known speeds refuse no request that load alone would place",
          "[.uneven-refusals]") {
  const Outcome by_load = Replay(12, false, 5).Run(kPerSecond);
  const Outcome by_speed = Replay(12, true, 5).Run(kPerSecond);
  Print("by load", by_load);
  Print("by speed", by_speed);
  CHECK(by_speed.refused <= by_load.refused);
}

TEST_CASE("the same arrivals with and without known speeds") {
  SECTION("slow replicas run fewer requests, and fewer are refused") {
    Outcome by_load;
    Outcome by_speed;
    for (std::uint64_t seed = 10; seed < 20; ++seed) {
      by_load.Add(Replay(12, false, seed).Run(kPerSecond));
      by_speed.Add(Replay(12, true, seed).Run(kPerSecond));
    }
    Print("by load, ten runs", by_load);
    Print("by speed, ten runs", by_speed);
    CHECK(by_speed.refused <= by_load.refused);
    CHECK(by_speed.slow < by_load.slow);
  }
  SECTION("even replicas: no difference") {
    const Outcome even = Replay(0, false, 5).Run(kPerSecond);
    const Outcome even_known = Replay(0, true, 5).Run(kPerSecond);
    CHECK(even.asks == even_known.asks);
    CHECK(even.refused == even_known.refused);
  }
}

}  // namespace papayarack::placement
