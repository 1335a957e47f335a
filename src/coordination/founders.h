#ifndef PAPAYARACK_COORDINATION_FOUNDERS_H_
#define PAPAYARACK_COORDINATION_FOUNDERS_H_

#include <optional>
#include <span>
#include <vector>

#include "coordination/coordinationmessages.h"
#include "replication/membershipplanner.h"

namespace papayarack::coordination {

/// Chooses who founds the job group among the stores that have reported, spread
/// over zones. Nothing while fewer than `wanted` have and others may still
/// come; once `waited_enough`, those that are there found it, as a fleet with
/// few stores would otherwise never take a batch. It grows to `wanted` later.
/// Thread safety: any thread.
std::optional<consensus::MemberList> ChooseFounders(
    std::span<const NodeReport> stores, std::size_t wanted, bool waited_enough);

/// Entries that may be members of the coordination group: those with a disk;
/// those that keep the group in memory only where no entry has one. Symptom
/// guarded against: entries without a disk get a vote for some seconds after
/// all processes were killed, as they report to the new leader first; a second
/// kill then leaves no quorum that remembers the configuration. A leader with a
/// disk is itself an entry with one. Thread safety: any thread.
std::vector<replication::Candidate> CoordinationCandidates(
    std::span<const NodeReport> entries, bool leader_has_disk);

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_FOUNDERS_H_
