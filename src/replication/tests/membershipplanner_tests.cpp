#include <catch2/catch.hpp>

#include "replication/membershipplanner.h"

namespace papayarack::replication {
namespace {

MemberHealth Voter(consensus::MemberId id, bool alive = true) {
  return {id, "10.0.0." + std::to_string(id) + ":1", true, alive, true, false};
}

MemberHealth Learner(consensus::MemberId id, const std::string& address,
                     bool caught_up) {
  return {id, address, false, true, caught_up, false};
}

Candidate From(consensus::MemberId id, const std::string& address,
               const std::string& zone = "a") {
  return {id, address, zone, false};
}

constexpr GroupSize kThree{3, 0};

template <typename Change>
Change Expect(const MembershipChange& change) {
  REQUIRE(std::holds_alternative<Change>(change));
  return std::get<Change>(change);
}

}  // namespace

TEST_CASE("a whole group is left alone") {
  const std::vector<MemberHealth> members = {Voter(1), Voter(2), Voter(3)};
  const std::vector<Candidate> candidates = {From(4, "10.0.0.4:1")};
  Expect<NoChange>(PlanMembership(members, candidates, kThree, 1));
}

// Symptom: a group loses its quorum at the next loss although the wiped VM is
// back. Sequence: VM 3 loses its disk, comes back empty at its old address with
// a new identity. Cause: nobody gives it the vote that its disk once had.
TEST_CASE("a wiped member hands its vote to its new identity") {
  std::vector<MemberHealth> members = {Voter(1), Voter(2), Voter(3, false)};
  const std::vector<Candidate> candidates = {From(9, "10.0.0.3:1")};
  CHECK(Expect<AddLearner>(PlanMembership(members, candidates, kThree, 1)).id ==
        9);
  members.push_back(Learner(9, "10.0.0.3:1", false));
  Expect<NoChange>(PlanMembership(members, candidates, kThree, 1));
  members.back().caught_up = true;
  const auto change =
      Expect<ReplaceLostVoter>(PlanMembership(members, candidates, kThree, 1));
  CHECK(change.lost == 3);
  CHECK(change.replacement == 9);
}

TEST_CASE("a VM that is gone is replaced by another and then removed") {
  std::vector<MemberHealth> members = {Voter(1), Voter(2), Voter(3, false)};
  const std::vector<Candidate> candidates = {From(4, "10.0.0.4:1")};
  SECTION("never removed while nobody takes its place") {
    Expect<NoChange>(PlanMembership(members, {}, kThree, 1));
  }
  SECTION("learner, voter, removal") {
    CHECK(
        Expect<AddLearner>(PlanMembership(members, candidates, kThree, 1)).id ==
        4);
    members.push_back(Learner(4, "10.0.0.4:1", true));
    CHECK(Expect<PromoteLearner>(PlanMembership(members, candidates, kThree, 1))
              .id == 4);
    members.back().voter = true;
    CHECK(Expect<RemoveMember>(PlanMembership(members, candidates, kThree, 1))
              .id == 3);
  }
}

TEST_CASE("a leaving member goes once others hold its vote") {
  std::vector<MemberHealth> members = {Voter(1), Voter(2), Voter(3)};
  members[1].leaving = true;
  const std::vector<Candidate> candidates = {From(4, "10.0.0.4:1")};
  CHECK(Expect<AddLearner>(PlanMembership(members, candidates, kThree, 1)).id ==
        4);
  members.push_back(Voter(4));
  CHECK(
      Expect<RemoveMember>(PlanMembership(members, candidates, kThree, 1)).id ==
      2);
  SECTION("a leader removes itself last") {
    CHECK(Expect<RemoveMember>(PlanMembership(members, candidates, kThree, 2))
              .id == 2);
  }
}

TEST_CASE("zones with few members come first") {
  const std::vector<MemberHealth> members = {Voter(1), Voter(2)};
  const std::vector<Candidate> candidates = {
      From(1, "10.0.0.1:1", "a"), From(2, "10.0.0.2:1", "b"),
      From(4, "10.0.0.4:1", "a"), From(5, "10.0.0.5:1", "c")};
  CHECK(Expect<AddLearner>(PlanMembership(members, candidates, kThree, 1)).id ==
        5);
}

TEST_CASE("a group that may grow takes every candidate up to its bound") {
  const std::vector<MemberHealth> members = {Voter(1), Voter(2), Voter(3)};
  const std::vector<Candidate> candidates = {From(4, "10.0.0.4:1")};
  CHECK(Expect<AddLearner>(PlanMembership(members, candidates, {3, 9}, 1)).id ==
        4);
  Expect<NoChange>(PlanMembership(members, candidates, {3, 3}, 1));
}

}  // namespace papayarack::replication
