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

/// What the leader knows of a member of its group.
struct MemberHealth {
  consensus::MemberId id = 0;
  std::string address;
  bool voter = false;
  bool alive = false;      ///< Heard from within kDeadAfter.
  bool caught_up = false;  ///< Holds all that is committed, synced.
  bool leaving = false;    ///< An operator asked that it be emptied.
};

/// A process with a disk that could be a member, as it reported itself.
struct Candidate {
  consensus::MemberId id = 0;
  std::string address;
  std::string zone;
  bool leaving = false;
};

/// How many members a group wants.
struct GroupSize {
  std::size_t wanted = 3;   ///< 2f+1 for f losses borne at once.
  std::size_t at_most = 9;  ///< Above `wanted`: take every candidate up to it.
};

/// The next membership change, one at a time.
struct NoChange {};
struct AddLearner {
  consensus::MemberId id = 0;
  std::string address;
};
struct PromoteLearner {
  consensus::MemberId id = 0;
};
/// The member at this address lost its disk and came back as `heir`.
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
/// elections (0.6 to 1.2 s each), shorter than the shortest time in which a
/// replaced VM must count again (4.6 s) less the second that catching up takes.
inline constexpr std::chrono::milliseconds kDeadAfter{2500};

/// Decides how a group heals itself: a wiped member hands its vote to the
/// identity that came back at its address, a VM that is gone is replaced by
/// another, a leaving one goes last. A dead voter is removed only when `wanted`
/// live voters remain: with fewer, the next loss would leave no quorum, and the
/// dead one may come back. `self` is the leader, which removes itself last.
/// Thread safety: any thread.
MembershipChange PlanMembership(std::span<const MemberHealth> members,
                                std::span<const Candidate> candidates,
                                const GroupSize& size,
                                consensus::MemberId self);

}  // namespace papayarack::replication

#endif  // PAPAYARACK_REPLICATION_MEMBERSHIPPLANNER_H_
