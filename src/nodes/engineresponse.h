#ifndef PAPAYARACK_NODES_ENGINERESPONSE_H_
#define PAPAYARACK_NODES_ENGINERESPONSE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "global/timepoint.h"
#include "http/eventsplitter.h"

namespace papayarack::nodes {

/// The response to one request as its engines send it, over all attempts:
/// splits an event stream into events, checks their order and the limits on
/// bytes and silence, and decides when reading pauses for a slow caller. Does
/// no I/O. Thread safety: none.
class EngineResponse {
 public:
  /// Why a body must not go on.
  enum class BodyFault : std::uint8_t {
    kNone,
    /// The ids of events are not consecutive: a gap, a repetition or events of
    /// another request must not reach the caller.
    kOutOfOrder,
    kUnframed,        ///< An event stream of bytes that form no event.
    kEndlessFailure,  ///< A failure longer than kMaxFailureBytes.
  };
  using Forward = std::function<void(std::string_view)>;

  /// What an attempt has sent and received.
  struct Run {
    std::uint64_t events = 0;
    Time first_event{};
    std::uint64_t bytes = 0;    ///< In both directions.
    std::optional<Time> began;  ///< First byte of the body.
    /// The engine has answered for long enough that it has survived the
    /// request, see CrashDetector::IsSurvival.
    bool survived = false;
  };

  /// The caller has the events up to `event` from an earlier request.
  void ContinueAfter(std::uint64_t event);
  /// An attempt begins that sends a body of `request_bytes`.
  void BeginAttempt(std::size_t request_bytes, Time now);
  /// The attempt is over: drops what came of an incomplete event, or of a
  /// failure.
  void EndAttempt();
  void HeadArrived(int status, Time now);
  /// Whether the bodies that are passed on are event streams. Call before
  /// AddBody.
  void SetEvents(bool events) { this->is_events = events; }
  /// Handles bytes of a body that is passed on: calls `forward` with each
  /// complete event, or with all bytes when the response is no event stream.
  /// What follows a fault is not forwarded. The body of a failure is kept, see
  /// FailureBody.
  BodyFault AddBody(std::string_view bytes, Time now, const Forward& forward);
  /// Handles bytes of a refusal or failure that is not passed on. False when
  /// they exceed the limit.
  bool AddIgnored(std::size_t bytes);
  /// Whether a body that is not passed on has gone on for too long after its
  /// head.
  bool IgnoredTooLong(Time now) const;
  /// Whether the stream ended inside an event.
  bool EndedInsideEvent() const;
  /// Bytes held of an event that is not complete, or of a failure.
  std::size_t HeldBytes() const {
    return this->splitter.PartialBytes() + this->failure.size();
  }
  /// Whether a failure that is passed on has not ended for too long.
  bool FailureTooLong(Time now) const;
  /// What came of the body of a failure that is passed on.
  std::string_view FailureBody() const { return this->failure; }
  /// Whether the engine of a stream has been silent for too long.
  bool SilentTooLong(Time now) const;
  /// Leaves `time`, in which this process read nothing, out of the silence.
  void Excuse(Duration time, Time now);

  /// Decides, with `unsent` bytes held for the caller, whether reading from the
  /// engine is to pause now.
  bool Pause(std::size_t unsent);
  /// Decides whether reading is to continue now; the time of the pause counts
  /// as no silence.
  bool Resume(std::size_t unsent, Time now);
  bool Paused() const { return this->paused; }

  bool IsEvents() const { return this->is_events; }
  /// Of the last head; zero before the first.
  int Status() const { return this->status; }
  bool IsSuccess() const { return this->status / 100 == 2; }
  /// Last event that the caller has; nothing if it has none.
  std::optional<std::uint64_t> LastEvent() const { return this->last_event; }
  /// When the first event came, in this or an earlier attempt; Time{} before.
  Time FirstEvent() const { return this->first_event; }
  Time LastHeard() const { return this->last_heard; }
  /// The attempt begun last.
  const Run& run() const { return this->current; }

 private:
  BodyFault AddEvents(std::string_view bytes, const Forward& forward);
  bool IsUnframed() const;
  /// The engine has shown that it works, by a head or after a pause.
  void RestartSilence(Time now);

  bool is_events = false;
  int status = 0;
  std::optional<std::uint64_t> last_event;
  Time first_event{};
  Run current;
  http::EventSplitter splitter;
  Time last_head{};
  Time last_heard{};
  Time last_block{};     ///< When the head or a complete event or comment came.
  Time last_event_at{};  ///< When the head or an event came.
  std::size_t ignored_bytes = 0;   ///< Of a body that is not passed on.
  std::string failure;             ///< Body of one that is passed on.
  std::size_t unframed_bytes = 0;  ///< Since the last event.
  bool paused = false;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_ENGINERESPONSE_H_
