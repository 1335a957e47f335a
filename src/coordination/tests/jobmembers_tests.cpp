#include <algorithm>
#include <catch2/catch.hpp>

#include "coordination/jobmembers.h"
#include "coordination/leadersearch.h"

namespace papayarack::coordination {
namespace {

constexpr std::size_t kStores = 45;

std::vector<NodeReport> MakeStores() {
  std::vector<NodeReport> nodes;
  for (std::size_t i = 0; i < kStores; ++i) {
    NodeReport store;
    store.name = "store-" + std::to_string(i);
    store.role = static_cast<std::uint8_t>(NodeRole::kStore);
    store.address = store.name + ":1";
    nodes.push_back(store);
  }
  return nodes;
}

/// Counts calls until the leader is found; members name it, other stores know
/// nothing.
std::size_t AsksUntilFound(LeaderSearch& search,
                           const std::vector<std::string>& members,
                           const std::string& leader) {
  std::string target;
  for (std::size_t asks = 1;; ++asks) {
    target = search.NextForCall(target);
    if (target == leader || asks > 2 * kStores) {
      return asks;
    }
    const bool member = std::ranges::find(members, target) != members.end();
    search.Refused(target, member ? leader : std::string());
  }
}

}  // namespace

// Guards against batches that are accepted five seconds late, or refused, in a
// fleet of 45 stores. An entry without a known leader of the job group tries
// the stores in turn, with growing pauses, and stops after 1.3 s; 40 of them
// are not members and cannot name one.
TEST_CASE("a caller finds the leader of the job group") {
  std::vector<NodeReport> nodes = MakeStores();
  NodeReport& first = nodes[11];
  first.job_term = 1;
  for (const std::size_t i : {11, 13, 14, 15, 17}) {
    first.job_members.push_back(nodes[i].address);
  }
  const std::vector<std::string> members = first.job_members;
  SECTION("at once if the last known one still leads") {
    LeaderSearch search;
    search.SetMembers(JobCallOrder(nodes));
    CHECK(AsksUntilFound(search, members, first.address) == 1);
  }
  SECTION("with few calls, from any position in the order") {
    for (std::size_t rounds = 0; rounds < 2 * kStores; ++rounds) {
      LeaderSearch search;
      search.SetMembers(JobCallOrder(nodes));
      for (std::size_t i = 0; i < rounds; ++i) {
        search.NextForCall({});
      }
      CHECK(AsksUntilFound(search, members, nodes[17].address) <= 3);
    }
  }
  SECTION("by the report with the highest term") {
    nodes[30].job_term = 2;
    nodes[30].job_members = {nodes[30].address, nodes[13].address};
    CHECK(NewestJobLeader(nodes) == &nodes[30]);
    CHECK(JobCallOrder(nodes).front() == nodes[30].address);
  }
  SECTION("with every store in the order, as members may change") {
    const std::vector<std::string> order = JobCallOrder(nodes);
    for (const NodeReport& node : nodes) {
      CHECK(std::ranges::find(order, node.address) != order.end());
    }
  }
  SECTION("among all stores before any has reported members") {
    first.job_members.clear();
    CHECK(JobCallOrder(nodes).size() == kStores);
    CHECK(NewestJobLeader(nodes) == nullptr);
  }
  SECTION("among the members if there are no other stores") {
    std::vector<NodeReport> few = {first};
    few.front().job_members = {first.address};
    CHECK(JobCallOrder(few) == std::vector<std::string>{first.address});
    CHECK(JobCallOrder({}).empty());
  }
}

}  // namespace papayarack::coordination
