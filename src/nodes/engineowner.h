#ifndef PAPAYARACK_NODES_ENGINEOWNER_H_
#define PAPAYARACK_NODES_ENGINEOWNER_H_

#include <map>
#include <optional>
#include <string>

#include "http/httpclient.h"
#include "nodes/batchrunner.h"
#include "nodes/logthrottle.h"
#include "nodes/noderuntime.h"
#include "nodes/ownedengine.h"
#include "nodes/pendingacquirequeue.h"
#include "nodes/slotmessages.h"
#include "slots/enginehealth.h"
#include "slots/foreignruns.h"
#include "slots/slotallocator.h"
#include "speeds/gatespeed.h"

namespace papayarack::nodes {

/// The engine whose slots an owner manages.
struct OwnedEngine {
  std::string address;
  std::string service;  ///< Empty: any listed at the address.
  /// Whether the owner runs on the engine's VM, where reports are fresh and
  /// cheap.
  bool same_vm = false;
  std::string leaseholder;  ///< Names the owner in leases of batch items.
};

/// Owns the slots of one engine: grants them to online requests, which entries
/// send directly to the engine, and fills the rest with batch items. Thread
/// safety: none, the loop's thread.
class EngineOwner {
 public:
  /// Precondition: `runtime` watches the fleet; both references outlive the
  /// owner.
  EngineOwner(NodeRuntime& runtime, CrashDetector& crash_detector,
              OwnedEngine owned);
  ~EngineOwner();
  EngineOwner(const EngineOwner&) = delete;
  EngineOwner& operator=(const EngineOwner&) = delete;

  /// The knowledge of the fleet has changed.
  void OnFleet();
  /// Handles a slot request of an entry; answered on `stream`.
  void Ask(transport::StreamId stream, const AcquireSlot& ask);
  /// The requester closed the stream and released its slot. False when the
  /// stream is not one of this owner's.
  bool Cancelled(transport::StreamId stream);
  /// Called every few tens of milliseconds.
  void Tick();
  /// Grants no further slots and returns batch items.
  void BeginLeave();
  /// True when no slot is in use or requested.
  bool Drained() const;
  /// True when it is drained and the leader has acknowledged all returned
  /// items.
  bool HandedOver() const;
  const std::string& engine_id() const { return this->id; }
  const OwnedEngine& engine() const { return this->owned; }
  /// The state shown to operators, without `owned`.
  OwnedEngineState State() const;

 private:
  struct Ticket {
    std::string request;
    std::string organisation;
    int priority = 0;
    Time asked{};
    std::uint32_t wait_ms = 0;  ///< Maximum useful wait from then on.
    /// Its place in the queue went to another organisation.
    bool displaced = false;
    std::optional<Time> granted = {};
    bool lost = false;  ///< Its run ended with an earlier engine process.
  };
  static Ticket TicketOf(const AcquireSlot& ask, Time asked);
  /// Answers those whose place in the queue went to another organisation.
  void AnswerDisplaced();
  /// Grants, queues or refuses a slot request made at `asked`.
  void Decide(transport::StreamId stream, const AcquireSlot& ask, Time asked);
  /// Answers a ticket that remains, and notes when it got its slot.
  void Grant(transport::StreamId stream, Ticket& ticket);
  void Answer(transport::StreamId stream, const Ticket& ticket,
              SlotVerdict verdict);
  /// Whether the engine could take work but its free slots are still unknown.
  bool AwaitsFirstReport() const;
  void ProcessPending(Time now);
  void ProcessQueues(Time now);
  void RequestReport(Time now);
  /// Interval of load reports: runs of other processes end within a second or
  /// last for seconds.
  Duration ReportInterval() const;
  void OnReport(const std::string& body);
  void ReportFailed();
  /// Opens or closes allocator and runner according to the state of the engine.
  void UpdateAvailability();
  void ApplyListing(const coordination::EngineInstance& listed);
  void LearnStart(std::uint64_t started_ms);
  /// The replica at the address names itself `other`; it is used only if it
  /// must be of this service.
  void LearnId(const std::string& other);
  /// Takes no more work, as `other` answers at the address and may be of
  /// another service.
  void NoteReplaced(const std::string& other);
  /// How long from now on any replica at the address is of this service: until
  /// the platform may reuse the address, if the listed replica ended right
  /// after its last report.
  Duration ServiceHolds(Time now) const;
  /// Id of the replica that runs now, which the list may not show yet.
  const std::string& RunningId() const;
  void OnEngineRestart();
  /// Releases the slots of online runs that ended with the former engine
  /// process.
  void ReleaseLostRuns();
  /// Unknown after a restart that the list does not show yet: the replica may
  /// have been upgraded under its id.
  ReplicaSoftware RunningSoftware() const;

  NodeRuntime& runtime;
  OwnedEngine owned;
  slots::SlotAllocator allocator;
  http::HttpClient client;  ///< To the engine.
  BatchRunner runner;
  std::map<transport::StreamId, Ticket> tickets;
  PendingAcquireQueue pending;
  std::string id;           ///< Empty while it takes no new work.
  std::string unlisted_id;  ///< Of a replica that started since; or empty.
  ReplicaSoftware listed_software;      ///< Of the replica `id`.
  std::uint64_t listed_started_ms = 0;  ///< Its start; zero: not listed.
  /// When the last report was requested that the listed replica answered.
  Time listed_alive{};
  /// Another replica answers at the address, which may be of another service:
  /// no work until the list shows it, or the listed one answers again.
  bool replaced = false;
  std::string last_id;           ///< The last one that was not empty.
  std::uint64_t started_ms = 0;  ///< As in EngineInstance.
  Time next_report{};
  Time report_asked{};  ///< When the last report was requested.
  /// When the last report was requested that stated `started_ms`.
  Time known_start_seen{};
  std::optional<http::HttpCallId> report_call;  ///< In flight.
  slots::EngineHealth health;
  bool engine_up = true;  ///< As last logged.
  slots::ForeignRuns foreign;
  speeds::GateSpeed speed;
  LogThrottle report_problems;
  bool leaving = false;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_ENGINEOWNER_H_
