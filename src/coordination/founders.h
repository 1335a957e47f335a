#ifndef PAPAYARACK_COORDINATION_FOUNDERS_H_
#define PAPAYARACK_COORDINATION_FOUNDERS_H_

#include <optional>
#include <span>
#include <vector>

#include "coordination/coordinationmessages.h"
#include "replication/membershipplanner.h"

namespace papayarack::coordination {

/// Chooses the founders of the job group among the stores that have reported,
/// spread over zones. Empty while fewer than `wanted` stores have reported,
/// unless `waited_enough` is set: a fleet with few stores would otherwise never
/// accept a batch. The group grows to `wanted` later. Thread safety: any
/// thread.
std::optional<consensus::MemberList> ChooseFounders(
    std::span<const NodeReport> stores, std::size_t wanted, bool waited_enough);

/// Entries that may be members of the coordination group: those with a disk, or
/// those that keep the group in memory if no entry has a disk. Otherwise, after
/// a restart of all processes, entries without a disk that report to the new
/// leader first get a vote, and a second restart leaves no quorum that has the
/// configuration. A leader with a disk counts as an entry with one. Thread
/// safety: any thread.
std::vector<replication::Candidate> CoordinationCandidates(
    std::span<const NodeReport> entries, bool leader_has_disk);

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_FOUNDERS_H_
