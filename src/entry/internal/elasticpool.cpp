#include "entry/internal/elasticpool.h"

#include <utility>

namespace papayarack::entry {
namespace {
constexpr std::chrono::seconds kIdleTimeout{5};
}  // namespace

void ElasticPool::enqueue(std::function<void()> task) {
  std::unique_lock lock(this->mutex);
  this->changed.wait(lock, [this] {
    return this->stopping || this->idle > this->tasks.size() ||
           this->threads < this->max_threads;
  });
  this->tasks.push_back(std::move(task));
  if (this->idle < this->tasks.size() && this->threads < this->max_threads) {
    ++this->threads;
    std::thread([this] { this->Run(); }).detach();
  }
  this->changed.notify_all();
}

void ElasticPool::Run() {
  std::unique_lock lock(this->mutex);
  while (true) {
    ++this->idle;
    const bool notified = this->changed.wait_for(lock, kIdleTimeout, [this] {
      return this->stopping || !this->tasks.empty();
    });
    --this->idle;
    if (this->tasks.empty()) {
      if (this->stopping || !notified) {
        break;
      }
      continue;
    }
    const std::function<void()> task = std::move(this->tasks.front());
    this->tasks.pop_front();
    lock.unlock();
    ++this->busy;
    task();
    --this->busy;
    lock.lock();
    this->changed.notify_all();
  }
  --this->threads;
  this->changed.notify_all();
}

void ElasticPool::shutdown() {
  std::unique_lock lock(this->mutex);
  this->stopping = true;
  this->changed.notify_all();
  // Accepted connections are served to the end; the library deletes this object
  // afterwards.
  this->changed.wait(lock, [this] { return this->threads == 0; });
}

}  // namespace papayarack::entry
