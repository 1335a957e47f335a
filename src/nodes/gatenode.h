#ifndef PAPAYARACK_NODES_GATENODE_H_
#define PAPAYARACK_NODES_GATENODE_H_

#include <asio.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "http/httpclient.h"
#include "nodes/batchrunner.h"
#include "nodes/logthrottle.h"
#include "nodes/noderuntime.h"
#include "nodes/slotmessages.h"
#include "slots/enginepulse.h"
#include "slots/slotdesk.h"

namespace papayarack::nodes {

/// The process beside one engine: owns its slots, gives them to online requests
/// that entries send straight to the engine, fills the rest with batch items.
/// Thread safety: none, the loop's thread.
class GateNode {
 public:
  explicit GateNode(NodeRuntime& runtime);
  ~GateNode();
  GateNode(const GateNode&) = delete;
  GateNode& operator=(const GateNode&) = delete;

  /// Gives no further slots and hands batch items back.
  void BeginLeave();
  /// True when nobody uses a slot any more.
  bool Drained() const;

 private:
  struct Ticket {
    std::string request;
    Time asked{};
    std::uint32_t wait_ms = 0;  ///< Longest useful wait when it asked.
  };
  void OnAsk(transport::StreamId stream, const std::string& body);
  void OnCancel(transport::StreamId stream);
  void Answer(transport::StreamId stream, const Ticket& ticket,
              SlotVerdict verdict);
  void Settle(Time now);
  void OnFleet();
  void Tick();
  void AskReport(Time now);
  void OnReport(const std::string& body);
  void ReportFailed();
  /// Opens or closes desk and runner by what is known of the engine.
  void Apply();
  void TakeListed(const coordination::EngineInstance& listed);
  void LearnStart(std::uint64_t started_ms);
  void OnOtherStart();

  NodeRuntime& runtime;
  slots::SlotDesk desk;
  http::HttpClient engine;
  BatchRunner runner;
  std::map<transport::StreamId, Ticket> tickets;
  std::string engine_id;                ///< Empty while it takes no new work.
  std::string last_engine_id;           ///< The last one that was not empty.
  std::uint64_t engine_started_ms = 0;  ///< As in EngineInstance.
  Time next_report{};
  std::optional<http::HttpCallId> report_call;  ///< Under way.
  slots::EnginePulse pulse;
  bool engine_up = true;  ///< As last logged.
  std::uint32_t last_foreign = 0;
  LogThrottle report_problems;
  bool leaving = false;
  asio::steady_timer timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_GATENODE_H_
