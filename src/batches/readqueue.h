#ifndef PAPAYARACK_BATCHES_READQUEUE_H_
#define PAPAYARACK_BATCHES_READQUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "global/timepoint.h"
#include "transport/peerserver.h"

namespace papayarack::batches {

/// Decides when a leader answers reads, and which ones it refuses. Answers are
/// large: if all batches are read at once, answering takes longer than callers
/// wait, and work for callers that have given up would take the time of those
/// that still wait. So an answer is built only when its turn comes, a cancelled
/// read is dropped, and a read that has waited too long is refused. Refusals
/// get a part of each turn only, or callers that ask again at once would take
/// all of it. Thread safety: none.
class ReadQueue {
 public:
  /// Sends the answer of a read; returns its size in bytes.
  using Answer = std::function<std::size_t()>;

  /// Half of a caller's attempt; the other half is for the way there and back.
  static constexpr std::chrono::milliseconds kMaxWait{300};
  /// Answers of one turn of the loop, so that heartbeats and other messages are
  /// not delayed.
  static constexpr std::size_t kMaxTurnBytes = std::size_t{256} << 10U;
  /// Cost of an answer besides its size, as a number of bytes that take as
  /// long.
  static constexpr std::size_t kAnswerCostBytes = std::size_t{8} << 10U;
  /// Refusals of one turn, a fifth of its cost.
  static constexpr std::size_t kMaxTurnRefusals = 8;
  /// Answers that may be in memory, unsent. Each further answer would wait
  /// behind them while its caller's attempt passes.
  static constexpr std::size_t kMaxUnsentBytes = std::size_t{1} << 20U;

  struct Due {
    transport::StreamId stream = 0;
    Answer answer;           ///< Empty if the read is refused.
    bool confirmed = false;  ///< Whether leadership was confirmed for it.
  };

  /// Adds a read whose leadership confirmation is awaited. Precondition: the
  /// stream has no read in the queue.
  void Add(transport::StreamId stream, Answer answer, Time now);
  /// The confirmation arrived; ignored if the read is not in the queue any
  /// more.
  void Confirm(transport::StreamId stream);
  /// Removes the read; returns false if it is not in the queue.
  bool Remove(transport::StreamId stream);
  /// Starts a turn of the loop.
  void BeginTurn();
  /// Removes and returns the next read to answer or refuse in this turn; empty
  /// if there is none. `unsent_bytes` is the size of the answers in memory.
  std::optional<Due> Take(std::size_t unsent_bytes, Time now);
  /// Records the size of an answer in this turn.
  void Answered(std::size_t bytes) { this->turn_bytes += bytes; }
  /// Whether a read can be answered once fewer answers are unsent, or refused.
  bool HasDue(Time now) const;
  std::size_t size() const { return this->positions.size(); }

 private:
  struct Read {
    transport::StreamId stream = 0;
    Answer answer;
    Time since{};
    bool confirmed = false;
  };

  using Reads = std::map<std::uint64_t, Read>;  ///< In order of arrival.

  static bool IsExpired(const Read& read, Time now);
  void MoveExpired(Time now);
  Due TakeFirst(Reads& reads);

  Reads waiting;
  Reads expired;  ///< Not refused yet.
  std::unordered_map<transport::StreamId, std::uint64_t> positions;
  std::uint64_t last_position = 0;
  std::size_t turn_bytes = 0;
  std::size_t turn_refusals = 0;
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_READQUEUE_H_
