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

/// What a caller's request turns into, piece by piece.
struct CallHead {
  int status = 0;
  std::string content_type;
};
struct CallBytes {
  std::string bytes;
};
struct CallWhole {};  ///< The answer is complete.
struct CallFailed {
  Result result;
  bool not_run = false;
};
using CallPiece = std::variant<CallHead, CallBytes, CallWhole, CallFailed>;

/// Carries one online request to a gate and its answer back. Repeats it
/// elsewhere only when it was certainly not run, or when it may be repeated and
/// the caller has received nothing yet; never more often than the retry budget
/// and the deadline allow. A connection that falls silent is replaced and the
/// answer taken up where it was. Thread safety: one caller's thread.
class OnlineCall {
 public:
  OnlineCall(FleetView& fleet, transport::PeerClient& client, Metrics& metrics,
             gate::OnlineRequest request, bool repeatable,
             std::uint64_t prefix_hash);
  /// Cancels what is still running.
  ~OnlineCall();
  OnlineCall(const OnlineCall&) = delete;
  OnlineCall& operator=(const OnlineCall&) = delete;

  /// The next piece; waits for it. After CallWhole or CallFailed there is none.
  CallPiece Next();
  std::uint32_t attempts() const { return this->request.attempt; }

 private:
  using WireEvent = std::variant<std::string, transport::CallEnd>;
  using WireRing = BoundedRing<WireEvent>;
  static constexpr std::size_t kRing = 16384;

  bool Begin();
  void Connect();
  void LeaveGate();
  std::optional<CallPiece> OnWire(const WireEvent& event);
  std::optional<CallPiece> OnMessage(const std::string& bytes);
  std::optional<CallPiece> OnRefused(const gate::Refused& refused);
  std::optional<CallPiece> OnEnd(const gate::AnswerEnd& end);
  std::optional<CallPiece> OnLost(transport::CallEnd how);
  std::optional<CallPiece> Again(const Result& why, bool not_run);
  CallPiece Fail(Result result, bool not_run);
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
  std::shared_ptr<WireRing> ring;
  transport::CallId call = 0;
  std::uint32_t received = 0;  ///< Messages of this attempt.
  std::uint32_t reconnects = 0;
  std::uint32_t stale_tries = 0;
  bool delivered = false;  ///< The caller has got something of the answer.
  bool maybe_ran = false;  ///< An earlier attempt may have run.
  bool over = false;
};

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_ONLINECALL_H_
