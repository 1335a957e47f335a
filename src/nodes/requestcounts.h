#ifndef PAPAYARACK_NODES_REQUESTCOUNTS_H_
#define PAPAYARACK_NODES_REQUESTCOUNTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "global/metrics.h"
#include "global/timepoint.h"
#include "http/httpserver.h"

namespace papayarack::nodes {

/// Tells what became of the requests that the servers of one process read
/// whole. Thread safety: none, the loop's thread.
class RequestCounts {
 public:
  /// Minimum time between two lines about requests that were cut.
  static constexpr std::chrono::seconds kMinInterval{1};

  /// Includes `server` under `name`. Precondition: `server` outlives all calls
  /// of the other methods.
  void Include(std::string_view name, const http::HttpServer& server);
  /// What a server is to call for its requests that are cut.
  http::ExchangeLedger::OnCut CutReporter(std::string_view name);
  void Export(Metrics& metrics) const;
  /// Logs the counts of each server that read a request; for the end of the
  /// process, when open requests are cut.
  void LogAtEnd() const;

 private:
  void OnCut(const std::string& name, http::ExchangeOutcome outcome,
             const http::ExchangeRecord& record, Time now);

  std::map<std::string, const http::HttpServer*, std::less<>> servers;
  Time logged_at{};
  std::uint64_t unlogged = 0;  ///< Cut since the last line.
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_REQUESTCOUNTS_H_
