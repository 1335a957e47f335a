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
  /// No byte for so long means that the connection has fallen silent.
  Duration silence{std::chrono::seconds(10)};
};

enum class UpstreamEnd : std::uint8_t {
  kComplete,   ///< The HTTP answer ended as the protocol says.
  kNotSent,    ///< No connection: certainly not run.
  kUnstarted,  ///< Given up before a connection was tried: certainly not run.
  kBroken,     ///< Cut, silent or cancelled: it may have run.
};

/// Called on worker threads, for one call always in the order head, bytes, end;
/// end once.
struct UpstreamHandlers {
  std::function<void(WorkId, int status, std::string content_type)> on_head;
  std::function<void(WorkId, std::string bytes)> on_bytes;
  std::function<void(WorkId, UpstreamEnd, std::string reason)> on_end;
};

/// Talks HTTP to the upstream, a worker thread and a fresh connection for each
/// running call: a connection that something has forgotten is never used again,
/// and cancelling a call closes its connection, which is how engines learn of
/// it. Thread safety: every method, any thread.
class UpstreamClient {
 public:
  UpstreamClient(const Endpoint& upstream, std::size_t workers,
                 UpstreamHandlers handlers);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /// Begins a call; false when every worker is taken and the ring is full:
  /// nothing was sent.
  bool Start(UpstreamCall call);
  /// Ends a call early; its on_end(kBroken) follows.
  void Cancel(WorkId id);
  /// Asks the upstream's health page. Waits up to a second.
  bool Healthy() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace papayarack::gate

#endif  // PAPAYARACK_GATE_UPSTREAMCLIENT_H_
