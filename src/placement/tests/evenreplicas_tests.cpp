#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "placement/enginechooser.h"

namespace papayarack::placement {
namespace {

using std::chrono::milliseconds;

constexpr int kReplicas = 36;
constexpr std::uint32_t kSlots = 8;

struct Replica {
  EngineOption option;
  ReportedLoad load;
  std::uint32_t own = 0;
  std::uint32_t own_at_report = 0;
  Time reported{};
};

Time At(int milliseconds_since) {
  return Time(std::chrono::seconds(100) + milliseconds(milliseconds_since));
}

std::vector<Replica> Fleet() {
  std::vector<Replica> fleet(kReplicas);
  for (int i = 0; i < kReplicas; ++i) {
    const std::string number = std::to_string(i);
    fleet[i].option = {"e" + number, "id" + number, "g" + number,
                       "z" + std::to_string(i % 3), kSlots};
  }
  return fleet;
}

/// The choice by load and zone alone, which even replicas must keep.
const Replica& ChooseByLoad(const std::vector<Replica>& fleet,
                            const std::string& own_zone,
                            std::mt19937_64& random, Time now) {
  std::vector<double> costs;
  for (const Replica& replica : fleet) {
    const double age = ToSeconds(now - replica.reported);
    const double weight = 1 / (1 + age / 0.25);
    const double since = static_cast<double>(replica.own) -
                         static_cast<double>(replica.own_at_report);
    const double reported = replica.load.online + replica.load.waiting +
                            0.5 * replica.load.batch + std::max(0.0, since);
    const double used = reported * weight + (replica.own + 1.0) * (1 - weight);
    std::uniform_real_distribution<double> noise(0, 0.8);
    costs.push_back((used + noise(random)) / kSlots +
                    (replica.option.zone != own_zone ? 1.0 / kSlots : 0));
  }
  return fleet[std::ranges::min_element(costs) - costs.begin()];
}

}  // namespace

// Guards against a choice among equal replicas that changes with chance
// differences of measured times, as concurrent runs make them.
TEST_CASE("even replicas are chosen by load and zone alone") {
  constexpr std::uint64_t kSeed = 7;
  EngineChooser chooser(kSeed);
  std::mt19937_64 reference_random(kSeed);
  std::mt19937_64 events(11);
  std::vector<Replica> fleet = Fleet();
  std::vector<EngineOption> options;
  options.reserve(fleet.size());
  for (const Replica& replica : fleet) {
    options.push_back(replica.option);
  }
  chooser.SetOptions("llm", options);
  const auto draw = [&events](int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(events);
  };
  const EngineQuery query{
      "llm", {}, {milliseconds(300), milliseconds(300), milliseconds(5000)}};
  for (int i = 0; i < 3000; ++i) {
    const Time now = At(i * 5);
    Replica& heard = fleet[draw(0, kReplicas - 1)];
    const std::string& address = heard.option.address;
    heard.load = {static_cast<std::uint32_t>(draw(0, 6)),
                  static_cast<std::uint32_t>(draw(0, 1)),
                  static_cast<std::uint32_t>(draw(0, 2))};
    heard.reported = now;
    heard.own_at_report = heard.own;
    chooser.Reported(address, heard.load, now);
    const auto pace = static_cast<std::uint32_t>(draw(0, 130));
    chooser.LearnSpeed(
        "llm", address,
        {milliseconds(draw(500, 640)), milliseconds(draw(0, 500)), pace}, now);
    chooser.LearnStream(
        "llm", address,
        {milliseconds(draw(13, 16)), milliseconds(draw(17, 22))}, 10'000, now);
    const Replica& expected = ChooseByLoad(fleet, "z1", reference_random, now);
    const auto chosen = chooser.Choose(query, "z1", {}, now);
    REQUIRE(chosen.has_value());
    REQUIRE(chosen->address == expected.option.address);
    const std::size_t index = &expected - fleet.data();
    chooser.Started(chosen->address);
    ++fleet[index].own;
    Replica& ended = fleet[draw(0, kReplicas - 1)];
    if (ended.own > 0) {
      chooser.Ended(ended.option.address);
      --ended.own;
      ended.own_at_report = std::min(ended.own_at_report, ended.own);
    }
  }
}

}  // namespace papayarack::placement
