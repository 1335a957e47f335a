#ifndef PAPAYARACK_COORDINATION_RESERVERECORD_H_
#define PAPAYARACK_COORDINATION_RESERVERECORD_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "coordination/coordinationstate.h"
#include "replication/replicatedgroup.h"

namespace papayarack::coordination {

/// The credit reserves of organisations in the coordination group's log, which
/// outlive the leader and a restart of all processes. Thread safety: none, the
/// loop's thread.
class ReserveRecord {
 public:
  /// Precondition: `group`, and `state`, which it replicates, outlive this.
  ReserveRecord(replication::ReplicatedGroup& group,
                const CoordinationState& state, std::string own_address);
  ~ReserveRecord();
  ReserveRecord(const ReserveRecord&) = delete;
  ReserveRecord& operator=(const ReserveRecord&) = delete;

  /// This member becomes leader; no process has reported to it yet.
  void BeginTerm() { this->able_members.clear(); }
  /// Handles a report of a process to this leader.
  void OnReport(const WatchRequest& report);
  /// Calls `done` with all reserves that earlier leaders committed, or with
  /// nullopt if this member does not lead.
  void Read(std::function<void(std::optional<CreditReserves>)> done);
  /// Whether all members can apply a change: they are of a release that can,
  /// or one was committed before.
  bool Usable() const;
  /// Calls `done` with whether the change is certainly committed. Precondition:
  /// Usable().
  void Propose(const SetCreditReserves& change, std::function<void(bool)> done);

 private:
  replication::ReplicatedGroup& group;
  const CoordinationState& state;
  std::string own_address;
  /// Addresses of processes that have reported in this term that they apply
  /// changes of reserves.
  std::set<std::string> able_members;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_RESERVERECORD_H_
