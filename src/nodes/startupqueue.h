#ifndef PAPAYARACK_NODES_STARTUPQUEUE_H_
#define PAPAYARACK_NODES_STARTUPQUEUE_H_

#include <cstddef>
#include <vector>

#include "global/timepoint.h"
#include "http/httpserver.h"

namespace papayarack::nodes {

/// A request that came before this process knew the configuration.
struct EarlyRequest {
  http::ExchangeId exchange = 0;
  http::HttpRequest request;
  /// Its deadline and its first-token target count from here, not from when it
  /// is let on.
  Time arrived{};
};

/// Requests that wait for a process that has just started.
///
/// Load pattern: all processes are killed at once; callers whose connections
/// broke come back while a leader is elected and the first configuration is
/// read. Refused then, they return together into a queue that is longer still.
/// Held for part of their first-token target
/// they are served in time. Only a process that has just started holds: one
/// that cannot reach a leader for longer refuses at once. Bounded in number and
/// bytes. Thread safety: none.
class StartupQueue {
 public:
  explicit StartupQueue(Time started) : started(started) {}

  /// Takes a request; false when it is to be refused now, and is untouched.
  bool Offer(http::ExchangeId exchange, http::HttpRequest& request, Time now);
  /// Everything that waits, oldest first.
  std::vector<EarlyRequest> TakeAll();
  /// What has waited long enough.
  std::vector<EarlyRequest> TakeExpired(Time now);
  /// Its caller is gone. True when it waited here.
  bool Remove(http::ExchangeId exchange);
  bool Empty() const { return this->waiting.empty(); }

  /// After this long a process counts as cut off rather than as starting: an
  /// election after a start takes 150 to 300 ms, a second one as long again.
  static constexpr std::chrono::milliseconds kStartTime{1000};
  /// Within a first-token target, with time left for the run.
  static constexpr std::chrono::milliseconds kMaxWait{200};
  /// Far more than come to one entry in that time.
  static constexpr std::size_t kMaxRequests = 256;
  static constexpr std::size_t kMaxBytes = 4U << 20U;

 private:
  Time started;
  std::size_t bytes = 0;
  std::vector<EarlyRequest> waiting;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_STARTUPQUEUE_H_
