#ifndef PAPAYARACK_COORDINATION_SUBMISSIONS_H_
#define PAPAYARACK_COORDINATION_SUBMISSIONS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "coordination/acknowledgementqueue.h"
#include "coordination/coordinationstate.h"
#include "global/timepoint.h"
#include "replication/replicatedgroup.h"
#include "transport/peerserver.h"

namespace papayarack::coordination {

/// Configurations that operators submit, from their arrival at a member of the
/// group to their acknowledgement. Thread safety: none, the loop's thread.
class Submissions {
 public:
  /// Answers the operator's call on a stream.
  using Answer = std::function<void(transport::StreamId, ResultCode)>;
  /// Called when the configuration in force may have changed.
  using Changed = std::function<void()>;

  /// Precondition: `group`, and `state`, which it replicates, outlive this.
  Submissions(replication::ReplicatedGroup& group,
              const CoordinationState& state, std::string own_address,
              Answer answer, Changed changed);
  ~Submissions();
  Submissions(const Submissions&) = delete;
  Submissions& operator=(const Submissions&) = delete;

  /// This member becomes leader; no process has reported to it yet.
  void BeginTerm(Time now);
  /// Handles a report of a process to this leader.
  void OnReport(const WatchRequest& report, Time now);
  /// Accepts a configuration. Refused with kNotLeader if this member is not the
  /// leader.
  void Take(transport::StreamId stream, SubmitConfiguration submitted);
  /// Sends the acknowledgements that are due. Call it about every 20 ms.
  void Tick(Time now);

 private:
  /// A proposed configuration and the calls that wait for its commit.
  struct InFlight {
    std::string text;
    std::vector<transport::StreamId> streams;
  };
  void AcknowledgeCurrent(transport::StreamId stream, std::uint64_t version);
  void Propose(std::uint64_t version, const std::string& entry);
  void Confirmed(std::uint64_t version, ResultCode code);
  void Acknowledge(std::span<const AcknowledgementQueue::Acknowledgement> due);
  /// The log command: a change if all members can apply it, or the full text.
  CoordinationCommand CommandFor(const SubmitConfiguration& submitted) const;
  bool MembersApplyChanges() const;

  replication::ReplicatedGroup& group;
  const CoordinationState& state;
  std::string own_address;
  Answer answer;
  Changed changed;
  std::map<std::uint64_t, InFlight> in_flight;  ///< By version.
  AcknowledgementQueue acknowledgements;
  /// Addresses of processes that have reported in this term that they apply
  /// changes.
  std::set<std::string> applies_changes;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_SUBMISSIONS_H_
