#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "placement/enginehosts.h"

namespace papayarack::placement {
namespace {

std::string ZoneOf(std::size_t number, std::size_t zones) {
  return "zone-" + std::to_string(number % zones);
}

std::vector<HostedEngine> MakeEngines(std::size_t count, std::size_t zones) {
  std::vector<HostedEngine> engines;
  for (std::size_t i = 0; i < count; ++i) {
    engines.push_back(
        {"10.1.0." + std::to_string(i) + ":8080", ZoneOf(i, zones)});
  }
  return engines;
}

std::vector<HostOption> MakeHosts(std::size_t count, std::size_t zones) {
  std::vector<HostOption> hosts;
  for (std::size_t i = 0; i < count; ++i) {
    hosts.push_back(
        {"10.2.0." + std::to_string(i) + ":7720", ZoneOf(i, zones)});
  }
  return hosts;
}

/// The owner of each engine by its address.
std::map<std::string, std::string> OwnersOf(
    const std::vector<HostedEngine>& engines,
    const std::vector<HostOption>& hosts) {
  const auto chosen = ChooseHosts(engines, hosts);
  std::map<std::string, std::string> owners;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    if (chosen[i].has_value()) {
      owners[engines[i].address] = hosts[*chosen[i]].address;
    }
  }
  return owners;
}

}  // namespace

TEST_CASE("engines without a gate on their VM are spread over hosts") {
  const auto engines = MakeEngines(200, 5);

  SECTION("each engine has one owner, in its own zone") {
    const auto hosts = MakeHosts(45, 5);
    const auto chosen = ChooseHosts(engines, hosts);
    for (std::size_t i = 0; i < engines.size(); ++i) {
      REQUIRE(chosen[i].has_value());
      CHECK(hosts[*chosen[i]].zone == engines[i].zone);
    }
  }
  SECTION("no host owns more than its equal share and a quarter") {
    for (const std::size_t count : {5, 10, 45}) {
      std::map<std::string, std::size_t> owned;
      for (const auto& [engine, owner] :
           OwnersOf(engines, MakeHosts(count, 5))) {
        ++owned[owner];
      }
      const std::size_t share = engines.size() / count;
      for (const auto& [host, engines_owned] : owned) {
        CHECK(engines_owned <= share + share / 4 + 1);
      }
    }
  }
  SECTION("five hosts can own two hundred engines") {
    CHECK(OwnersOf(engines, MakeHosts(5, 5)).size() == 200);
  }
  SECTION("engines beyond the limit of all hosts have no owner") {
    CHECK(OwnersOf(engines, MakeHosts(2, 5)).size() == 2 * kMaxEnginesPerHost);
    CHECK(OwnersOf(engines, {}).empty());
  }
  SECTION("engines of a zone without hosts are owned from other zones") {
    auto hosts = MakeHosts(20, 5);
    std::erase_if(hosts,
                  [](const HostOption& host) { return host.zone == "zone-0"; });
    CHECK(OwnersOf(engines, hosts).size() == 200);
  }
}

// Guards against all engines of a fleet changing their owner when one VM is
// lost, which interrupts their batch items. This happens if the assignment
// depends on the number of hosts or on the order in which a process lists them.
TEST_CASE("an engine changes its owner only when its host is lost") {
  rc::check("the order of the lists does not matter", [] {
    const auto engines = MakeEngines(*rc::gen::inRange(1, 60), 3);
    auto hosts = MakeHosts(*rc::gen::inRange(1, 12), 3);
    const auto before = OwnersOf(engines, hosts);
    std::reverse(hosts.begin(), hosts.end());
    auto shuffled = engines;
    std::reverse(shuffled.begin(), shuffled.end());
    RC_ASSERT(OwnersOf(shuffled, hosts) == before);
  });
  rc::check("the engines of a lost host move, and few others", [] {
    const auto engines = MakeEngines(120, 3);
    auto hosts = MakeHosts(*rc::gen::inRange(9, 30), 3);
    const auto before = OwnersOf(engines, hosts);
    const auto lost =
        hosts.begin() + *rc::gen::inRange<std::ptrdiff_t>(
                            0, static_cast<std::ptrdiff_t>(hosts.size()));
    const std::string lost_address = lost->address;
    hosts.erase(lost);
    const auto after = OwnersOf(engines, hosts);
    std::size_t moved = 0;
    for (const auto& [engine, owner] : before) {
      RC_ASSERT(after.count(engine) == 1);
      const bool owner_lost = owner == lost_address;
      moved += !owner_lost && after.at(engine) != owner ? 1 : 0;
    }
    // Others move as the limit of their preferred host is reached or freed.
    RC_ASSERT(moved <= engines.size() / 5);
  });
}

// Guards against a fleet without owners that refuses callers although engines
// are idle, or fills the internal queue of each engine. This happens if each
// process uses one slot of each engine, however many processes there are.
TEST_CASE("processes share the slots of an engine without an owner") {
  const auto sum = [](std::size_t entries, std::size_t slots) {
    std::size_t all = 0;
    for (std::size_t engine = 0; engine < 100; ++engine) {
      for (std::size_t entry = 0; entry < entries; ++entry) {
        all += SlotShare("entry-" + std::to_string(entry),
                         "10.1.0." + std::to_string(engine), slots, entries);
      }
    }
    return static_cast<double>(all) / 100;
  };
  CHECK(sum(3, 8) == Approx(8).margin(0.5));
  CHECK(sum(18, 7) == Approx(7).margin(0.7));
  CHECK(sum(90, 7) == Approx(7).margin(0.9));
  CHECK(SlotShare("entry", "engine", 8, 0) == 1);
}

}  // namespace papayarack::placement
