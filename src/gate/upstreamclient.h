#ifndef PAPAYARACK_GATE_UPSTREAMCLIENT_H_
#define PAPAYARACK_GATE_UPSTREAMCLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gate/gatecore.h"
#include "global/settings.h"

namespace papayarack::gate {

/// One request to the upstream.
struct UpstreamCall {
  WorkId id = 0;
  std::string request_id;  ///< Sent as X-Request-Id.
  std::string method = "POST";
  std::string target;
  std::string content_type = "application/json";
  std::string body;
  /// Read timeout of the connection.
  Duration read_timeout{std::chrono::seconds(10)};
};

enum class UpstreamEnd : std::uint8_t {
  kComplete,   ///< The HTTP response ended normally.
  kNotSent,    ///< No connection: not run.
  kUnstarted,  ///< Cancelled before connecting: not run.
  kBroken,     ///< Interrupted, timed out or cancelled: it may have run.
};

/// Called on worker threads; for each call in the order head, bytes, end. The
/// end comes exactly once.
struct UpstreamHandlers {
  std::function<void(WorkId, int status, std::string content_type)> on_head;
  std::function<void(WorkId, std::string bytes)> on_bytes;
  std::function<void(WorkId, UpstreamEnd, std::string reason)> on_end;
};

/// HTTP client of the upstream. Each running call has a worker thread and a new
/// connection: a stale connection is never reused, and cancelling a call closes
/// its connection, by which engines detect the cancellation. Thread safety: any
/// thread.
class UpstreamClient {
 public:
  UpstreamClient(const Endpoint& upstream, std::size_t workers,
                 UpstreamHandlers handlers);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /// Starts a call; false if all workers are busy and the queue is full, in
  /// which case nothing was sent.
  bool Start(UpstreamCall call);
  /// Ends a call early; its on_end(kBroken) follows.
  void Cancel(WorkId id);
  /// Queries the upstream's health endpoint. Blocks for up to a second.
  bool Healthy() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace papayarack::gate

#endif  // PAPAYARACK_GATE_UPSTREAMCLIENT_H_
