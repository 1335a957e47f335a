#ifndef PAPAYARACK_NODES_QUOTASERVER_H_
#define PAPAYARACK_NODES_QUOTASERVER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "coordination/coordinator.h"
#include "global/metrics.h"
#include "quotas/quotaauthority.h"
#include "routes/fleetconfiguration.h"
#include "transport/peerdispatch.h"
#include "transport/peerserver.h"

namespace papayarack::nodes {

/// Path of a quotas::ReportCredit among processes.
inline constexpr const char* kQuotaReportPath = "/quotas/report";

/// Answers the credit reports of all entries on the coordination group's
/// leader, and keeps the reserves of organisations in the group's log. A new
/// leader reads them before it answers. Thread safety: none, the loop's thread.
class QuotaServer {
 public:
  /// Reports that wait while a new leader reads the reserves: several of each
  /// entry of a large fleet.
  static constexpr std::size_t kMaxEarlyReports = 1024;

  /// Precondition: the references outlive it.
  QuotaServer(coordination::Coordinator& coordinator,
              transport::PeerServer*& server, transport::PeerDispatch& dispatch,
              const quotas::QuotaTolerance& tolerance, Metrics& metrics);
  ~QuotaServer();
  QuotaServer(const QuotaServer&) = delete;
  QuotaServer& operator=(const QuotaServer&) = delete;

  void SetLimits(const routes::FleetConfiguration& configuration);
  /// Called every few hundred milliseconds.
  void Tick();

 private:
  void OnReport(transport::StreamId stream, const std::string& body);
  void Take(transport::StreamId stream, const std::string& body);
  void Refuse(transport::StreamId stream);
  void Reply(transport::StreamId stream, ResultCode code, std::string body);
  /// The latest time at which this member certainly led, if it may hand out
  /// credit now.
  std::optional<Time> LedAt() const;
  /// Whether the current term's reserves have been read. Begins to read them
  /// otherwise.
  bool KnowsReserves();
  void OnReserves(consensus::Term term,
                  std::optional<coordination::CreditReserves> reserves);
  void ProposeReserves();

  coordination::Coordinator& coordinator;
  transport::PeerServer*& server;
  Metrics& metrics;
  quotas::QuotaAuthority authority;
  bool has_limits = false;
  consensus::Term served_term = 0;   ///< Whose reserves have been read.
  consensus::Term reading_term = 0;  ///< Whose reserves are being read.
  /// Reports that came before the reserves were read.
  std::map<transport::StreamId, std::string> early_reports;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_QUOTASERVER_H_
