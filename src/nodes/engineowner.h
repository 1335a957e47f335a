#ifndef PAPAYARACK_NODES_ENGINEOWNER_H_
#define PAPAYARACK_NODES_ENGINEOWNER_H_

#include <map>
#include <optional>
#include <string>

#include "http/httpclient.h"
#include "nodes/batchrunner.h"
#include "nodes/heldasks.h"
#include "nodes/logthrottle.h"
#include "nodes/noderuntime.h"
#include "nodes/ownedengine.h"
#include "nodes/slotmessages.h"
#include "slots/enginehealth.h"
#include "slots/foreignruns.h"
#include "slots/slotallocator.h"

namespace papayarack::nodes {

/// The engine whose slots an owner gives.
struct OwnedEngine {
  std::string address;
  std::string service;  ///< Empty: whichever is listed at the address.
  /// Whether the owner runs on the engine's VM: reports are fresh there and
  /// cost nothing.
  bool beside = false;
  std::string leaseholder;  ///< Names the owner in leases of batch items.
};

/// Owns the slots of one engine: gives them to online requests that entries
/// send straight to the engine, fills the rest with batch items. Thread safety:
/// none, the loop's thread.
class EngineOwner {
 public:
  /// Precondition: `runtime` watches the fleet and outlives the owner.
  EngineOwner(NodeRuntime& runtime, OwnedEngine owned);
  ~EngineOwner();
  EngineOwner(const EngineOwner&) = delete;
  EngineOwner& operator=(const EngineOwner&) = delete;

  /// What is known of the fleet has changed.
  void OnFleet();
  /// An entry wants a slot; answered on `stream`.
  void Ask(transport::StreamId stream, const AskSlot& ask);
  /// The requester gave the stream up, and with it the slot. False when it is
  /// not one of this owner's.
  bool Cancelled(transport::StreamId stream);
  /// Called every few tens of milliseconds.
  void Tick();
  /// Gives no further slots and hands batch items back.
  void BeginLeave();
  /// True when nobody uses a slot any more.
  bool Drained() const;
  /// True when it is drained and all batch items were taken back.
  bool HandedOver() const;
  const std::string& engine_id() const { return this->id; }
  const OwnedEngine& engine() const { return this->owned; }
  /// As operators are told, but for the time.
  OwnedEngineState State() const;

 private:
  struct Ticket {
    std::string request;
    Time asked{};
    std::uint32_t wait_ms = 0;  ///< Longest useful wait when it asked.
  };
  /// Grants, queues or refuses an ask made at `asked`.
  void Decide(transport::StreamId stream, const AskSlot& ask, Time asked);
  void Answer(transport::StreamId stream, const Ticket& ticket,
              SlotVerdict verdict);
  /// Whether the engine would be asked for work, were it known which of its
  /// slots are free.
  bool AwaitsFirstReport() const;
  void SettleHeld(Time now);
  void Settle(Time now);
  void AskReport(Time now);
  /// The pace of reports: what others run ends within a second or lasts for
  /// seconds.
  Duration ReportPace() const;
  void OnReport(const std::string& body);
  void ReportFailed();
  /// Opens or closes desk and runner by what is known of the engine.
  void Apply();
  void TakeListed(const coordination::EngineInstance& listed);
  void LearnStart(std::uint64_t started_ms);
  void OnOtherStart();

  NodeRuntime& runtime;
  OwnedEngine owned;
  slots::SlotAllocator desk;
  http::HttpClient client;  ///< Of the engine.
  BatchRunner runner;
  std::map<transport::StreamId, Ticket> tickets;
  HeldAsks held;
  std::string id;                ///< Empty while it takes no new work.
  std::string last_id;           ///< The last one that was not empty.
  std::uint64_t started_ms = 0;  ///< As in EngineInstance.
  Time next_report{};
  std::optional<http::HttpCallId> report_call;  ///< Under way.
  slots::EngineHealth pulse;
  bool engine_up = true;  ///< As last logged.
  slots::ForeignRuns foreign;
  LogThrottle report_problems;
  bool leaving = false;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_ENGINEOWNER_H_
