#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

#include "batches/readqueue.h"

namespace papayarack::batches {
namespace {

using std::chrono::milliseconds;
using transport::StreamId;

constexpr std::size_t kNothingUnsent = 0;

ReadQueue::Answer AnswerOf(std::size_t bytes) {
  return [bytes] { return bytes; };
}

void AddConfirmed(ReadQueue& queue, StreamId stream, std::size_t bytes,
                  Time now) {
  queue.Add(stream, AnswerOf(bytes), now);
  queue.Confirm(stream);
}

/// Runs one turn; returns the reads that were answered and those refused.
std::pair<std::vector<StreamId>, std::vector<StreamId>> Turn(
    ReadQueue& queue, std::size_t unsent_bytes, Time now) {
  std::pair<std::vector<StreamId>, std::vector<StreamId>> streams;
  queue.BeginTurn();
  std::optional<ReadQueue::Due> due;
  while ((due = queue.Take(unsent_bytes, now)).has_value()) {
    if (due->answer) {
      queue.Answered(due->answer());
      streams.first.push_back(due->stream);
    } else {
      streams.second.push_back(due->stream);
    }
  }
  return streams;
}

using Streams = std::vector<StreamId>;

/// Callers that read one large batch each and ask again as soon as a read is
/// refused or its attempt has ended.
class Callers {
 public:
  static constexpr milliseconds kAttempt{600};
  static constexpr std::size_t kCallers = 700;
  static constexpr std::size_t kAnswerBytes = 160'000;

  Callers() {
    for (std::size_t i = 0; i < kCallers; ++i) {
      this->Ask();
    }
  }

  /// Runs a leader that builds `bytes_per_ms`; true if all callers are
  /// answered within `limit`.
  bool RunUntilAnswered(std::size_t bytes_per_ms, milliseconds limit) {
    const Time end = this->now + limit;
    while (this->answered < kCallers && this->now < end) {
      this->CancelOldAttempts();
      this->RunTurn(bytes_per_ms);
    }
    return this->answered == kCallers;
  }

 private:
  void Ask() {
    const StreamId stream = ++this->last_stream;
    AddConfirmed(this->queue, stream, kAnswerBytes, this->now);
    this->begun.emplace(stream, this->now);
  }

  void CancelOldAttempts() {
    while (!this->begun.empty() &&
           this->now - this->begun.begin()->second >= kAttempt) {
      this->queue.Remove(this->begun.begin()->first);
      this->begun.erase(this->begun.begin());
      this->Ask();
    }
  }

  void RunTurn(std::size_t bytes_per_ms) {
    const auto [answers, refusals] =
        Turn(this->queue, kNothingUnsent, this->now);
    const std::size_t cost =
        answers.size() * (kAnswerBytes + ReadQueue::kAnswerCostBytes) +
        refusals.size() * ReadQueue::kAnswerCostBytes;
    this->now += std::chrono::microseconds(1000 * cost / bytes_per_ms + 1);
    for (const StreamId stream : answers) {
      this->answered += this->begun.erase(stream);
    }
    for (const StreamId stream : refusals) {
      this->begun.erase(stream);
      this->Ask();
    }
  }

  ReadQueue queue;
  Time now{};
  StreamId last_stream = 0;
  std::size_t answered = 0;
  std::map<StreamId, Time> begun;  ///< Of reads without an answer.
};

}  // namespace

TEST_CASE("reads are answered in order, a limited number in each turn") {
  ReadQueue queue;
  const Time now{};
  constexpr std::size_t kHalfTurn = ReadQueue::kMaxTurnBytes / 2;
  for (const StreamId stream : {1, 2, 3}) {
    AddConfirmed(queue, stream, kHalfTurn, now);
  }
  SECTION("large ones in several turns") {
    CHECK(Turn(queue, kNothingUnsent, now).first == Streams{1, 2});
    CHECK(queue.HasDue(now));
    CHECK(Turn(queue, kNothingUnsent, now).first == Streams{3});
    CHECK_FALSE(queue.HasDue(now));
  }
  SECTION("a cancelled one is left out") {
    CHECK(queue.Remove(2));
    CHECK_FALSE(queue.Remove(2));
    CHECK(Turn(queue, kNothingUnsent, now).first == Streams{1, 3});
  }
  SECTION("none while too many answers are unsent") {
    CHECK(Turn(queue, ReadQueue::kMaxUnsentBytes, now).first.empty());
    CHECK(queue.HasDue(now));
  }
}

TEST_CASE("refusals take a part of each turn") {
  ReadQueue queue;
  const Time now{};
  const Time later = now + ReadQueue::kMaxWait;
  for (StreamId stream = 1; stream <= 2 * ReadQueue::kMaxTurnRefusals;
       ++stream) {
    queue.Add(stream, AnswerOf(1), now);
  }
  constexpr StreamId kNewer = 1000;
  AddConfirmed(queue, kNewer, 1, later);
  const auto [answered, refused] = Turn(queue, kNothingUnsent, later);
  CHECK(answered == Streams{kNewer});
  CHECK(refused.size() == ReadQueue::kMaxTurnRefusals);
  CHECK(queue.HasDue(later));
  CHECK(Turn(queue, kNothingUnsent, later).second.size() ==
        ReadQueue::kMaxTurnRefusals);
  CHECK(queue.size() == 0);
}

TEST_CASE("a read waits for its confirmation") {
  ReadQueue queue;
  const Time now{};
  queue.Add(1, AnswerOf(1), now);
  CHECK(Turn(queue, kNothingUnsent, now).first.empty());
  SECTION("and is answered after it") {
    queue.Confirm(1);
    CHECK(Turn(queue, kNothingUnsent, now).first == Streams{1});
  }
  SECTION("and is refused if that takes too long") {
    const Time later = now + ReadQueue::kMaxWait;
    CHECK(queue.HasDue(later));
    CHECK(Turn(queue, kNothingUnsent, later).second == Streams{1});
    queue.Confirm(1);
    CHECK(queue.size() == 0);
  }
}

// Guards against a leader that answers callers that have given up, and has no
// time for those that wait.
TEST_CASE("all batches are read at once by callers that ask again") {
  constexpr std::size_t kBytes = Callers::kCallers * Callers::kAnswerBytes;
  Callers callers;
  const auto answered_in_twice_its_time = [&](std::size_t bytes_per_ms) {
    const milliseconds time(kBytes / bytes_per_ms);
    return callers.RunUntilAnswered(bytes_per_ms, 2 * time);
  };
  SECTION("a leader that needs one attempt") {
    CHECK(answered_in_twice_its_time(kBytes / 500));
  }
  SECTION("a leader that needs four attempts") {
    CHECK(answered_in_twice_its_time(kBytes / 2400));
  }
  SECTION("a leader that needs ten attempts") {
    CHECK(answered_in_twice_its_time(kBytes / 6000));
  }
}

}  // namespace papayarack::batches
