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

/// The voter whose address a newer identity now reports from, if any.
const MemberHealth* PredecessorOf(Members members,
                                  const MemberHealth& replacement) {
  const auto found =
      std::ranges::find_if(members, [&replacement](const MemberHealth& member) {
        return member.voter && member.id != replacement.id &&
               member.address == replacement.address;
      });
  return found != members.end() ? &*found : nullptr;
}

bool Counts(const MemberHealth& member) {
  return member.voter && member.alive && !member.leaving;
}

std::size_t LiveVoters(Members members) {
  return static_cast<std::size_t>(std::ranges::count_if(members, Counts));
}

/// Whether the group wants one more voter than it has.
bool WantsVoter(Members members, const GroupSize& size) {
  const std::size_t live = LiveVoters(members);
  return live < size.wanted || live < size.at_most;
}

std::optional<MembershipChange> PlanPromotion(Members members,
                                              const GroupSize& size) {
  for (const MemberHealth& learner : members) {
    if (learner.voter || !learner.caught_up || !learner.alive ||
        learner.leaving) {
      continue;
    }
    if (const MemberHealth* lost = PredecessorOf(members, learner)) {
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
  const bool enough = LiveVoters(members) >= size.wanted;
  for (const MemberHealth& member : members) {
    const bool gone = !member.alive || member.leaving;
    if (member.id == self || !gone) {
      continue;
    }
    if (!member.voter || enough) {
      return RemoveMember{member.id};
    }
  }
  const MemberHealth* own = FindMember(members, self);
  if (own != nullptr && own->leaving && enough) {
    return RemoveMember{self};
  }
  return std::nullopt;
}

/// Zones with few members first, so that one zone's loss costs few votes.
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
    const bool returns =
        std::ranges::any_of(members, [&candidate](const MemberHealth& member) {
          return member.address == candidate.address;
        });
    if (returns) {
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
