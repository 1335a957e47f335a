#ifndef PAPAYARACK_COORDINATION_SUBMISSIONS_H_
#define PAPAYARACK_COORDINATION_SUBMISSIONS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "coordination/acknowledgementhold.h"
#include "coordination/coordinationstate.h"
#include "global/timepoint.h"
#include "replication/replicatedgroup.h"
#include "transport/peerserver.h"

namespace papayarack::coordination {

/// Configurations that operators send, from their arrival at a member of the
/// group to their acknowledgement. Thread safety: none, the loop's thread.
class Submissions {
 public:
  /// Answers the operator's call on a stream.
  using Answer = std::function<void(transport::StreamId, ResultCode)>;
  /// The configuration in force may be another.
  using Changed = std::function<void()>;

  /// Precondition: `group` and `state`, which it replicates, outlive this.
  Submissions(replication::ReplicatedGroup& group,
              const CoordinationState& state, std::string own_address,
              Answer answer, Changed changed);
  ~Submissions();
  Submissions(const Submissions&) = delete;
  Submissions& operator=(const Submissions&) = delete;

  /// This member begins to lead, and nobody has reported to it yet.
  void BeginTerm(Time now);
  /// A process reports to this leader.
  void Heard(const WatchRequest& report, Time now);
  /// Takes a configuration. Refused with kNotLeader where this member does not
  /// lead.
  void Take(transport::StreamId stream, SubmitConfiguration submitted);
  /// Acknowledges what is due; call it every 20 ms or so.
  void Tick(Time now);

 private:
  /// A configuration on its way into the log, and who waits for that.
  struct UnderWay {
    std::string text;
    std::vector<transport::StreamId> streams;
  };
  void TakeHeld(transport::StreamId stream, std::uint64_t version);
  void Propose(std::uint64_t version, const std::string& entry);
  void Confirmed(std::uint64_t version, ResultCode code);
  void Acknowledge(std::span<const AcknowledgementHold::Released> due);
  /// The command for the log: what differs where all members can apply that.
  CoordinationCommand CommandFor(const SubmitConfiguration& submitted) const;
  bool MembersApplyChanges() const;

  replication::ReplicatedGroup& group;
  const CoordinationState& state;
  std::string own_address;
  Answer answer;
  Changed changed;
  std::map<std::uint64_t, UnderWay> under_way;  ///< By version.
  AcknowledgementHold hold;
  /// Addresses that reported in this term that they apply changes.
  std::set<std::string> applies_changes;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_SUBMISSIONS_H_
