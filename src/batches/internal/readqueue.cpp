#include "batches/readqueue.h"

#include <utility>

namespace papayarack::batches {

void ReadQueue::Add(transport::StreamId stream, Answer answer, Time now) {
  const std::uint64_t position = ++this->last_position;
  this->waiting.emplace(position, Read{stream, std::move(answer), now, false});
  this->positions.emplace(stream, position);
}

void ReadQueue::Confirm(transport::StreamId stream) {
  const auto position = this->positions.find(stream);
  if (position == this->positions.end()) {
    return;
  }
  const auto read = this->waiting.find(position->second);
  if (read != this->waiting.end()) {
    read->second.confirmed = true;
  }
}

bool ReadQueue::Remove(transport::StreamId stream) {
  const auto position = this->positions.find(stream);
  if (position == this->positions.end()) {
    return false;
  }
  this->waiting.erase(position->second);
  this->expired.erase(position->second);
  this->positions.erase(position);
  return true;
}

void ReadQueue::BeginTurn() {
  this->turn_bytes = 0;
  this->turn_refusals = 0;
}

bool ReadQueue::IsExpired(const Read& read, Time now) {
  return now - read.since >= kMaxWait;
}

bool ReadQueue::HasDue(Time now) const {
  if (!this->expired.empty()) {
    return true;
  }
  if (this->waiting.empty()) {
    return false;
  }
  const Read& first = this->waiting.begin()->second;
  return first.confirmed || IsExpired(first, now);
}

void ReadQueue::MoveExpired(Time now) {
  while (!this->waiting.empty() &&
         IsExpired(this->waiting.begin()->second, now)) {
    this->expired.insert(this->waiting.extract(this->waiting.begin()));
  }
}

ReadQueue::Due ReadQueue::TakeFirst(Reads& reads) {
  const auto first = reads.extract(reads.begin());
  this->positions.erase(first.mapped().stream);
  return {first.mapped().stream, std::move(first.mapped().answer),
          first.mapped().confirmed};
}

std::optional<ReadQueue::Due> ReadQueue::Take(std::size_t unsent_bytes,
                                              Time now) {
  this->MoveExpired(now);
  if (!this->expired.empty() && this->turn_refusals < kMaxTurnRefusals) {
    ++this->turn_refusals;
    Due due = this->TakeFirst(this->expired);
    due.answer = {};
    return due;
  }
  const bool answers =
      !this->waiting.empty() && this->waiting.begin()->second.confirmed &&
      this->turn_bytes < kMaxTurnBytes && unsent_bytes < kMaxUnsentBytes;
  if (!answers) {
    return std::nullopt;
  }
  this->turn_bytes += kAnswerCostBytes;
  return this->TakeFirst(this->waiting);
}

}  // namespace papayarack::batches
