#ifndef PAPAYARACK_COORDINATION_JOBMEMBERS_H_
#define PAPAYARACK_COORDINATION_JOBMEMBERS_H_

#include <span>
#include <string>
#include <vector>

#include "coordination/coordinationmessages.h"

namespace papayarack::coordination {

/// The report of the store that led the job group last, by the highest term.
/// Null if none has reported. Points into `nodes`. Thread safety: any thread.
const NodeReport* NewestJobLeader(std::span<const NodeReport> nodes);

/// The order, to be repeated, in which a caller that knows no leader of the job
/// group tries the stores: the last known leader, then the other members and
/// the other stores alternately.
///
/// Half of the positions are members, as only members can name the leader. In a
/// fleet where one store in ten is a member, trying all in turn gets batches
/// refused or accepted seconds late. The other stores find a group whose
/// members have changed since. Thread safety: any thread.
std::vector<std::string> JobCallOrder(std::span<const NodeReport> nodes);

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_JOBMEMBERS_H_
