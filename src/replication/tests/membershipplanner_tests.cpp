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

TEST_CASE("a complete group is not changed") {
  const std::vector<MemberHealth> members = {Voter(1), Voter(2), Voter(3)};
  const std::vector<Candidate> candidates = {From(4, "10.0.0.4:1")};
  Expect<NoChange>(PlanMembership(members, candidates, kThree, 1));
}

// Guards against a group that loses its quorum at the next loss: VM 3 lost its
// disk and is back at its old address with a new identity, but the vote stays
// with the old one.
TEST_CASE("a wiped member is replaced by its new identity") {
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
  SECTION("it is not removed while no candidate can replace it") {
    Expect<NoChange>(PlanMembership(members, {}, kThree, 1));
  }
  SECTION(
      "a candidate becomes learner, then voter, then the lost member is "
      "removed") {
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

TEST_CASE("a leaving member is removed once another has replaced it") {
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

TEST_CASE("candidates in zones with few members are preferred") {
  const std::vector<MemberHealth> members = {Voter(1), Voter(2)};
  const std::vector<Candidate> candidates = {
      From(1, "10.0.0.1:1", "a"), From(2, "10.0.0.2:1", "b"),
      From(4, "10.0.0.4:1", "a"), From(5, "10.0.0.5:1", "c")};
  CHECK(Expect<AddLearner>(PlanMembership(members, candidates, kThree, 1)).id ==
        5);
}

TEST_CASE("a group that may grow adds candidates up to its limit") {
  const std::vector<MemberHealth> members = {Voter(1), Voter(2), Voter(3)};
  const std::vector<Candidate> candidates = {From(4, "10.0.0.4:1")};
  CHECK(Expect<AddLearner>(PlanMembership(members, candidates, {3, 9}, 1)).id ==
        4);
  Expect<NoChange>(PlanMembership(members, candidates, {3, 3}, 1));
}

}  // namespace papayarack::replication
