#include "replication/membershipplanner.h"

#include <algorithm>
#include <map>
#include <optional>

namespace papayarack::replication {
namespace {

using Members = std::span<const MemberHealth>;
using Candidates = std::span<const Candidate>;

const MemberHealth* FindMember(Members members, consensus::MemberId id) {
  const auto found = std::ranges::find(members, id, &MemberHealth::id);
  return found != members.end() ? &*found : nullptr;
}

/// The other voter with the address of `replacement`; null if none.
const MemberHealth* LostVoterAtAddressOf(Members members,
                                         const MemberHealth& replacement) {
  const auto found =
      std::ranges::find_if(members, [&replacement](const MemberHealth& member) {
        return member.voter && member.id != replacement.id &&
               member.address == replacement.address;
      });
  return found != members.end() ? &*found : nullptr;
}

bool IsLiveVoter(const MemberHealth& member) {
  return member.voter && member.alive && !member.leaving;
}

std::size_t CountLiveVoters(Members members) {
  return static_cast<std::size_t>(std::ranges::count_if(members, IsLiveVoter));
}

/// Whether the group needs or may take another voter.
bool WantsVoter(Members members, const GroupSize& size) {
  const std::size_t live = CountLiveVoters(members);
  return live < size.wanted || live < size.max_voters;
}

std::optional<MembershipChange> PlanPromotion(Members members,
                                              const GroupSize& size) {
  for (const MemberHealth& learner : members) {
    if (learner.voter || !learner.caught_up || !learner.alive ||
        learner.leaving) {
      continue;
    }
    if (const MemberHealth* lost = LostVoterAtAddressOf(members, learner)) {
      return ReplaceLostVoter{lost->id, learner.id};
    }
    if (WantsVoter(members, size)) {
      return PromoteLearner{learner.id};
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange> PlanRemoval(Members members,
                                            const GroupSize& size,
                                            consensus::MemberId self) {
  const bool enough = CountLiveVoters(members) >= size.wanted;
  for (const MemberHealth& member : members) {
    const bool unavailable = !member.alive || member.leaving;
    if (member.id == self || !unavailable) {
      continue;
    }
    if (!member.voter || enough) {
      return RemoveMember{member.id};
    }
  }
  const MemberHealth* self_health = FindMember(members, self);
  if (self_health != nullptr && self_health->leaving && enough) {
    return RemoveMember{self};
  }
  return std::nullopt;
}

/// Prefers zones with few members, so that the loss of a zone costs few votes.
std::optional<MembershipChange> PlanLearner(Members members,
                                            Candidates candidates,
                                            const GroupSize& size) {
  const bool learner_under_way = std::ranges::any_of(
      members, [](const MemberHealth& member) { return !member.voter; });
  std::map<std::string, std::size_t> by_zone;
  for (const Candidate& candidate : candidates) {
    if (FindMember(members, candidate.id) != nullptr) {
      ++by_zone[candidate.zone];
    }
  }
  const Candidate* best = nullptr;
  for (const Candidate& candidate : candidates) {
    if (candidate.leaving || FindMember(members, candidate.id) != nullptr) {
      continue;
    }
    const bool same_address =
        std::ranges::any_of(members, [&candidate](const MemberHealth& member) {
          return member.address == candidate.address;
        });
    if (same_address) {
      return AddLearner{candidate.id, candidate.address};
    }
    if (best == nullptr || by_zone[candidate.zone] < by_zone[best->zone]) {
      best = &candidate;
    }
  }
  if (best == nullptr || learner_under_way || !WantsVoter(members, size)) {
    return std::nullopt;
  }
  return AddLearner{best->id, best->address};
}

}  // namespace

MembershipChange PlanMembership(std::span<const MemberHealth> members,
                                std::span<const Candidate> candidates,
                                const GroupSize& size,
                                consensus::MemberId self) {
  if (auto promotion = PlanPromotion(members, size)) {
    return *promotion;
  }
  if (auto removal = PlanRemoval(members, size, self)) {
    return *removal;
  }
  if (auto learner = PlanLearner(members, candidates, size)) {
    return *learner;
  }
  return NoChange{};
}

}  // namespace papayarack::replication
