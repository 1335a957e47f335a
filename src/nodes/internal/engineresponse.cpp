#include "nodes/engineresponse.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "nodes/crashdetector.h"
#include "nodes/responselimits.h"

namespace papayarack::nodes {
namespace {

/// A repeatable request is sent to another engine after a silence this long:
/// many times what an engine with a free slot takes to its first event.
constexpr std::chrono::milliseconds kMaxFirstEventSilence{700};
/// The same between two events; half of the time after which callers
/// disconnect.
constexpr std::chrono::milliseconds kMaxEventGap{900};

}  // namespace

void EngineResponse::ContinueAfter(std::uint64_t event) {
  this->last_event = event;
}

void EngineResponse::BeginAttempt(std::size_t request_bytes, Time now) {
  this->current = {};
  this->current.bytes = request_bytes;
  this->EndAttempt();
  this->last_heard = now;
  this->last_block = now;
  this->ignored_bytes = 0;
  this->unframed_bytes = 0;
  this->paused = false;
}

void EngineResponse::EndAttempt() {
  this->splitter.Clear();
  std::string().swap(this->failure);
}

void EngineResponse::HeadArrived(int status, Time now) {
  this->status = status;
  this->last_head = now;
  this->RestartSilence(now);
}

void EngineResponse::RestartSilence(Time now) {
  this->last_heard = now;
  this->last_block = now;
  this->last_event_at = now;
}

EngineResponse::BodyFault EngineResponse::AddBody(std::string_view bytes,
                                                  Time now,
                                                  const Forward& forward) {
  this->current.bytes += bytes.size();
  const Time before = std::exchange(this->last_heard, now);
  if (!this->current.began.has_value()) {
    this->current.began = now;
  }
  if (CrashDetector::IsSurvival(*this->current.began, before, now)) {
    this->current.survived = true;
  }
  if (this->is_events) {
    return this->AddEvents(bytes, forward);
  }
  if (this->IsSuccess()) {
    forward(bytes);
    return BodyFault::kNone;
  }
  if (this->failure.size() + bytes.size() > kMaxFailureBytes) {
    return BodyFault::kEndlessFailure;
  }
  this->failure.append(bytes);
  return BodyFault::kNone;
}

EngineResponse::BodyFault EngineResponse::AddEvents(std::string_view bytes,
                                                    const Forward& forward) {
  this->splitter.Add(bytes);
  this->unframed_bytes += bytes.size();
  http::StreamEvent event;
  while (this->splitter.Next(event)) {
    this->last_block = this->last_heard;
    if (event.IsEvent()) {
      this->unframed_bytes = 0;
      this->last_event_at = this->last_heard;
    }
    if (event.id.has_value()) {
      if (this->last_event.has_value() && *event.id != *this->last_event + 1) {
        return BodyFault::kOutOfOrder;
      }
      this->last_event = event.id;
      if (++this->current.events == 1) {
        this->current.first_event = this->last_heard;
      }
      if (this->first_event == Time{}) {
        this->first_event = this->last_heard;
      }
    }
    forward(event.raw);
  }
  return this->IsUnframed() ? BodyFault::kUnframed : BodyFault::kNone;
}

bool EngineResponse::IsUnframed() const {
  return this->unframed_bytes > kMaxUnframedBytes ||
         (this->unframed_bytes > kMinUnframedBytes &&
          this->last_heard - this->last_event_at > kMaxUnframedTime);
}

bool EngineResponse::AddIgnored(std::size_t bytes) {
  this->current.bytes += bytes;
  this->ignored_bytes += bytes;
  return this->ignored_bytes <= kMaxIgnoredBytes;
}

bool EngineResponse::IgnoredTooLong(Time now) const {
  return now - this->last_heard > kMaxIgnoredTime;
}

bool EngineResponse::FailureTooLong(Time now) const {
  return now - this->last_head > kMaxFailureTime;
}

bool EngineResponse::EndedInsideEvent() const {
  return this->is_events && this->splitter.HasPartialEvent();
}

bool EngineResponse::SilentTooLong(Time now) const {
  const Duration silent =
      now - (this->is_events ? this->last_block : this->last_heard);
  return silent >
         (this->first_event == Time{} ? kMaxFirstEventSilence : kMaxEventGap);
}

void EngineResponse::Excuse(Duration time, Time now) {
  for (Time* last : {&this->last_head, &this->last_heard, &this->last_block,
                     &this->last_event_at}) {
    *last = std::min<Time>(*last + time, now);
  }
}

bool EngineResponse::Pause(std::size_t unsent) {
  if (this->paused || unsent <= kPauseReadingBytes) {
    return false;
  }
  this->paused = true;
  return true;
}

bool EngineResponse::Resume(std::size_t unsent, Time now) {
  if (!this->paused || unsent >= kResumeReadingBytes) {
    return false;
  }
  this->paused = false;
  this->RestartSilence(now);
  return true;
}

}  // namespace papayarack::nodes
