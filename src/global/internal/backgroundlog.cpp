#include "global/internal/backgroundlog.h"

#include <chrono>
#include <utility>

namespace papayarack {
namespace {

/// Write interval: the maximum delay of a line and the time span that a crash
/// can lose.
constexpr std::chrono::milliseconds kWriteInterval{100};

}  // namespace

BackgroundLog::BackgroundLog(Write write)
    : write(std::move(write)), thread([this] { this->Run(); }) {}

BackgroundLog::~BackgroundLog() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->wake.notify_one();
  this->thread.join();
}

void BackgroundLog::Add(const std::string& line) {
  const std::lock_guard lock(this->mutex);
  if (this->waiting.size() + line.size() >= kMaxBytes) {
    ++this->dropped;
    ++this->dropped_total;
    return;
  }
  this->waiting += line;
  this->waiting += '\n';
}

std::string BackgroundLog::Take() {
  const std::lock_guard lock(this->mutex);
  std::string taken = std::exchange(this->waiting, {});
  if (this->dropped > 0) {
    taken += "{\"level\":\"warn\",\"event\":\"log_lines_left_out\",\"count\":" +
             std::to_string(std::exchange(this->dropped, 0)) + "}\n";
  }
  return taken;
}

void BackgroundLog::Flush() {
  const std::lock_guard order(this->writing);
  const std::string lines = this->Take();
  if (!lines.empty()) {
    this->write(lines);
  }
}

std::uint64_t BackgroundLog::DroppedLines() const {
  const std::lock_guard lock(this->mutex);
  return this->dropped_total;
}

void BackgroundLog::Run() {
  bool last = false;
  while (!last) {
    {
      std::unique_lock lock(this->mutex);
      this->wake.wait_for(lock, kWriteInterval,
                          [this] { return this->stopping; });
      last = this->stopping;
    }
    this->Flush();
  }
}

}  // namespace papayarack
