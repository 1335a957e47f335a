#ifndef PAPAYARACK_NODES_STARTUPQUEUE_H_
#define PAPAYARACK_NODES_STARTUPQUEUE_H_

#include <cstddef>
#include <vector>

#include "global/timepoint.h"
#include "http/httpserver.h"

namespace papayarack::nodes {

/// A request that arrived before this process knew the configuration.
struct EarlyRequest {
  http::ExchangeId exchange = 0;
  http::HttpRequest request;
  /// Its deadline and its first-token target are counted from here, not from
  /// when it leaves the queue.
  Time arrived{};
};

/// Requests that wait for a process that has just started.
///
/// Load pattern: all processes are killed at once; callers whose connections
/// broke return while a leader is elected and the first configuration is read.
/// If refused, they return together to an even longer queue; if held for part
/// of their first-token target, they are served in time. Only a process that
/// has just started holds requests: one that cannot reach a leader for longer
/// refuses at once. Bounded in number and bytes. Thread safety: none.
class StartupQueue {
 public:
  explicit StartupQueue(Time started) : started(started) {}

  /// The configuration became known, so what is still missing comes soon.
  void ConfigurationKnown(Time now) { this->started = now; }

  /// Queues a request. False when it must be refused now; it is then left
  /// unchanged.
  bool Offer(http::ExchangeId exchange, http::HttpRequest& request, Time now);
  /// Removes all requests, oldest first.
  std::vector<EarlyRequest> TakeAll();
  /// Removes the requests that have waited for kMaxWait.
  std::vector<EarlyRequest> TakeExpired(Time now);
  /// Removes the request of a caller that is gone. False when it is not queued.
  bool Remove(http::ExchangeId exchange);
  bool Empty() const { return this->waiting.empty(); }

  /// After this time a process is considered disconnected rather than starting:
  /// an election after a start takes 150 to 300 ms, a second one as long again.
  static constexpr std::chrono::milliseconds kStartTime{1000};
  /// Less than a first-token target, which leaves time for the run.
  static constexpr std::chrono::milliseconds kMaxWait{200};
  /// Far more than arrive at one entry in that time.
  static constexpr std::size_t kMaxRequests = 256;
  static constexpr std::size_t kMaxBytes = 4U << 20U;

 private:
  Time started;
  std::size_t bytes = 0;
  std::vector<EarlyRequest> waiting;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_STARTUPQUEUE_H_
