#ifndef PAPAYARACK_NODES_REJECTIONS_H_
#define PAPAYARACK_NODES_REJECTIONS_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

#include "global/metrics.h"
#include "global/timepoint.h"
#include "http/httpserver.h"
#include "placement/returnschedule.h"

namespace papayarack::nodes {

/// A request that an entry rejects and that did not run.
struct RejectedRequest {
  std::string_view id;
  const char* reason = "";
  bool of_organisation = false;  ///< False: its caller is anonymous.
  std::size_t asks = 0;          ///< Gates asked for a slot.
  /// The shortest wait that a gate reported; nothing if none did.
  std::optional<std::chrono::milliseconds> shortest_wait;
  std::chrono::milliseconds budget{0};  ///< How long it might have queued.
  Time deadline{};
};

/// What an entry tells the callers whose requests it rejects without having run
/// them: a status, and when to return. Logs and counts each rejection. Thread
/// safety: none.
class Rejections {
 public:
  /// Precondition: `metrics` outlives this.
  explicit Rejections(Metrics& metrics) : metrics(metrics) {}

  /// A request of an organisation got a slot.
  void Served(Time now) { this->return_schedule.Served(now); }
  /// No replica can take the request in time. `draw`, from 0 to 1, spreads
  /// callers for whom no return time has been learned.
  http::HttpResponse NoSlot(const RejectedRequest& request, double draw,
                            Time now);
  /// The request continues a stream that cannot go on anywhere, so its caller
  /// has to begin anew and need not wait for that.
  http::HttpResponse NoContinuation(const RejectedRequest& request);
  /// Each run of the request ends a replica and everything that runs there, so
  /// its caller returns no earlier than the quarantine ends. Not logged.
  static http::HttpResponse Quarantined(const char* reason);

 private:
  placement::ReturnTime ReturnOf(const RejectedRequest& request, double draw,
                                 Time now);
  http::HttpResponse Refuse(const RejectedRequest& request,
                            const placement::ReturnTime& back);

  Metrics& metrics;
  placement::ReturnSchedule return_schedule;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_REJECTIONS_H_
