#ifndef PAPAYARACK_ENTRY_ONLINECALL_H_
#define PAPAYARACK_ENTRY_ONLINECALL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "entry/fleetview.h"
#include "gate/gateprotocol.h"
#include "global/boundedring.h"
#include "global/metrics.h"
#include "transport/peerclient.h"

namespace papayarack::entry {

/// The events of a call, in order: the head of the answer, its bytes and its
/// end.
struct CallHead {
  int status = 0;
  std::string content_type;
};
struct CallBytes {
  std::string bytes;
};
struct CallComplete {};  ///< The answer is complete.
struct CallFailed {
  Result result;
  bool not_run = false;
};
using CallEvent = std::variant<CallHead, CallBytes, CallComplete, CallFailed>;

/// Sends one online request to a gate and returns its answer. Retries on
/// another gate only if the request was certainly not run, or if it may be
/// repeated and the caller has received nothing yet; within the retry budget
/// and the deadline. A lost connection is replaced and the answer resumed where
/// it was interrupted. Thread safety: one caller's thread.
class OnlineCall {
 public:
  OnlineCall(FleetView& fleet, transport::PeerClient& client, Metrics& metrics,
             gate::OnlineRequest request, bool repeatable,
             std::uint64_t prefix_hash);
  /// Cancels the request if it is still running.
  ~OnlineCall();
  OnlineCall(const OnlineCall&) = delete;
  OnlineCall& operator=(const OnlineCall&) = delete;

  /// Waits for the next event and returns it. There is none after CallComplete
  /// or CallFailed.
  CallEvent Next();
  std::uint32_t attempts() const { return this->request.attempt; }

 private:
  using PeerEvent = std::variant<std::string, transport::CallEnd>;
  using PeerEventRing = BoundedRing<PeerEvent>;
  static constexpr std::size_t kRingCapacity = 16384;

  bool StartAttempt();
  void Connect();
  void ReleaseGate();
  std::optional<CallEvent> OnPeerEvent(const PeerEvent& event);
  std::optional<CallEvent> OnMessage(const std::string& bytes);
  std::optional<CallEvent> OnRefused(const gate::Refused& refused);
  std::optional<CallEvent> OnAnswerEnd(const gate::AnswerEnd& end);
  std::optional<CallEvent> OnCallEnd(transport::CallEnd how);
  std::optional<CallEvent> RetryOrFail(const Result& why, bool not_run);
  CallEvent Fail(Result result, bool not_run);
  Duration TimeLeft() const;

  FleetView& fleet;
  transport::PeerClient& client;
  Metrics& metrics;
  gate::OnlineRequest request;
  bool repeatable;
  std::uint64_t prefix_hash;
  Time deadline;
  Time sent{};
  std::string gate;
  std::vector<std::string> tried;
  std::shared_ptr<PeerEventRing> ring;
  transport::CallId call = 0;
  std::uint32_t received = 0;  ///< Messages received in this attempt.
  std::uint32_t reconnects = 0;
  std::uint32_t stale_retries = 0;
  bool delivered = false;  ///< The caller has received a part of the answer.
  bool maybe_ran = false;  ///< An earlier attempt may have run.
  bool finished = false;
};

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_ONLINECALL_H_
