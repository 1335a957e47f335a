#ifndef PAPAYARACK_REPLICATION_MEMBERSHIPPLANNER_H_
#define PAPAYARACK_REPLICATION_MEMBERSHIPPLANNER_H_

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "consensus/raftmessages.h"
#include "global/timepoint.h"

namespace papayarack::replication {

/// What the leader knows about a member of its group.
struct MemberHealth {
  consensus::MemberId id = 0;
  std::string address;
  bool voter = false;
  bool alive = false;      ///< Heard from within kDeadAfter.
  bool caught_up = false;  ///< Has synced all committed entries.
  bool leaving = false;    ///< An operator requested its removal.
};

/// A process with a disk that could become a member, as reported by itself.
struct Candidate {
  consensus::MemberId id = 0;
  std::string address;
  std::string zone;
  bool leaving = false;
};

/// Target number of voters of a group.
struct GroupSize {
  std::size_t wanted = 3;  ///< 2f+1 to tolerate f simultaneous losses.
  /// If above `wanted`, candidates are added up to this number.
  std::size_t max_voters = 9;
};

/// Possible membership changes; one is made at a time.
struct NoChange {};
struct AddLearner {
  consensus::MemberId id = 0;
  std::string address;
};
struct PromoteLearner {
  consensus::MemberId id = 0;
};
/// Replaces a voter that lost its disk with the learner that runs at its
/// address under a new id.
struct ReplaceLostVoter {
  consensus::MemberId lost = 0;
  consensus::MemberId replacement = 0;
};
struct RemoveMember {
  consensus::MemberId id = 0;
};
using MembershipChange = std::variant<NoChange, AddLearner, PromoteLearner,
                                      ReplaceLostVoter, RemoveMember>;

/// A member that was silent for this long is treated as dead. Longer than two
/// elections (0.6 to 1.2 s each), and short enough for a replaced VM to vote
/// again within 4.6 s, the shortest time allowed for it; one second of that is
/// needed to catch up.
inline constexpr std::chrono::milliseconds kDeadAfter{2500};

/// Plans the next membership change to repair a group. A member with a wiped
/// disk is replaced by the new identity at its address, and a member whose VM
/// is gone by a candidate on another VM. A dead or leaving voter is removed
/// only when `wanted` live voters remain: with fewer, the next loss could leave
/// no quorum, and a dead member may come back. `self` is the leader, which
/// removes itself last. Thread safety: any thread.
MembershipChange PlanMembership(std::span<const MemberHealth> members,
                                std::span<const Candidate> candidates,
                                const GroupSize& size,
                                consensus::MemberId self);

}  // namespace papayarack::replication

#endif  // PAPAYARACK_REPLICATION_MEMBERSHIPPLANNER_H_
