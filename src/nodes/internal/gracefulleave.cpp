#include "nodes/gracefulleave.h"

#include <chrono>
#include <utility>

#include "global/logging.h"

namespace papayarack::nodes {
namespace {

/// The balancer checks readiness once a second and removes a process after two
/// failed checks.
constexpr std::chrono::milliseconds kBalancerReactionTime{2600};
/// A store waits this long for the election of its successor.
constexpr std::chrono::milliseconds kHandoverTime{400};
/// Part of the grace time in which the last answers reach their callers.
constexpr std::chrono::milliseconds kGraceMargin{700};
/// Part of the grace time reserved for ending the process.
constexpr std::chrono::milliseconds kEndMargin{300};
constexpr std::chrono::milliseconds kTick{50};

}  // namespace

LeavingSteps StepsOf(EntryNode& entry) {
  return {[&entry](Time answer_by) { entry.BeginLeave(answer_by); },
          [&entry] { entry.RefuseNew(); }, [&entry] { entry.AnswerOpen(); },
          [&entry](Duration waited) {
            return waited >= kBalancerReactionTime && entry.Drained();
          }};
}

LeavingSteps StepsOf(GateNode& gate) {
  return {[&gate](Time) { gate.BeginLeave(); }, [] {}, [] {},
          [&gate](Duration) { return gate.Drained(); }};
}

LeavingSteps StepsOf(StoreNode& store) {
  return {[&store](Time) { store.BeginLeave(); }, [] {}, [] {},
          [&store](Duration waited) {
            return waited >= kHandoverTime && store.Drained();
          }};
}

GracefulLeave::GracefulLeave(NodeRuntime& runtime, LeavingSteps steps)
    : runtime(runtime), steps(std::move(steps)), timer(runtime.context) {}

void GracefulLeave::Begin() {
  Log(LogLevel::kInfo, "stopping");
  this->began = MonotonicNow();
  this->steps.begin(this->began + this->runtime.options.grace - kGraceMargin);
  this->Await();
}

bool GracefulLeave::Done(Duration waited) const {
  const bool must_end = waited >= this->runtime.options.grace - kEndMargin;
  return this->steps.may_end(waited) || (this->answered_open && must_end);
}

void GracefulLeave::Await() {
  this->timer.expires_after(kTick);
  this->timer.async_wait([this](std::error_code error) {
    if (error) {
      return;
    }
    const Duration waited = MonotonicNow() - this->began;
    if (waited >= kBalancerReactionTime) {
      this->steps.refuse_new();
    }
    if (this->Done(waited)) {
      this->runtime.request_counts.LogAtEnd();
      Log(LogLevel::kInfo, "stopped");
      this->runtime.context.stop();
    } else {
      const bool must_answer =
          waited >= this->runtime.options.grace - kGraceMargin;
      if (must_answer && !std::exchange(this->answered_open, true)) {
        this->steps.answer_open();
      }
      this->Await();
    }
  });
}

}  // namespace papayarack::nodes
