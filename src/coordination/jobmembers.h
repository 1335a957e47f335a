#ifndef PAPAYARACK_COORDINATION_JOBMEMBERS_H_
#define PAPAYARACK_COORDINATION_JOBMEMBERS_H_

#include <span>
#include <string>
#include <vector>

#include "coordination/coordinationmessages.h"

namespace papayarack::coordination {

/// The report of the store that led the job group last: a higher term is the
/// newer word. Nothing where none has spoken. Points into `nodes`. Thread
/// safety: any thread.
const NodeReport* NewestJobLeader(std::span<const NodeReport> nodes);

/// Whom a caller that knows no leader of the job group asks, in this order and
/// then from the start again: the leader by the newest report, then the other
/// members and the other stores in turn.
///
/// Symptom guarded against: in a fleet of many stores, batches are refused or
/// accepted seconds late beside a group that works: a caller went round stores
/// of which one in ten is a member, and only members can name the leader. Half
/// of the places are members; the others lead to a group that has moved since.
/// Thread safety: any thread.
std::vector<std::string> JobCallOrder(std::span<const NodeReport> nodes);

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_JOBMEMBERS_H_
