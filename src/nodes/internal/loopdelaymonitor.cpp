#include "nodes/loopdelaymonitor.h"

#include <time.h>

#include "global/logging.h"

namespace papayarack::nodes {
namespace {

/// Processor time that the calling thread has used.
std::chrono::nanoseconds UsedByThread() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

std::int64_t ToMs(std::chrono::nanoseconds time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}  // namespace

LoopDelayMonitor::LoopDelayMonitor(asio::io_context& context, Metrics& metrics)
    : metrics(metrics), timer(context) {
  this->Wait();
}

void LoopDelayMonitor::Wait() {
  const Time due = MonotonicNow() + kInterval;
  this->timer.expires_after(kInterval);
  this->timer.async_wait(
      [this, due, used = UsedByThread()](std::error_code error) {
        if (error) {
          return;
        }
        this->Check(MonotonicNow() - due, UsedByThread() - used);
        this->Wait();
      });
}

void LoopDelayMonitor::Check(Duration delay, std::chrono::nanoseconds used) {
  if (delay < kLongDelay) {
    return;
  }
  this->metrics.Add("loop_delays_total");
  Log(LogLevel::kInfo, "loop_delayed",
      {{"delay_ms", ToMs(delay)}, {"processor_ms", ToMs(used)}});
}

}  // namespace papayarack::nodes
