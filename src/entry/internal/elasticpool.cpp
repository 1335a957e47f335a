#include "entry/internal/elasticpool.h"

#include <utility>

namespace papayarack::entry {
namespace {
constexpr std::chrono::seconds kIdleFor{5};
}  // namespace

void ElasticPool::enqueue(std::function<void()> task) {
  std::unique_lock lock(this->mutex);
  this->changed.wait(lock, [this] {
    return this->stopping || this->idle > this->tasks.size() ||
           this->threads < this->most;
  });
  this->tasks.push_back(std::move(task));
  if (this->idle < this->tasks.size() && this->threads < this->most) {
    ++this->threads;
    std::thread([this] { this->Run(); }).detach();
  }
  this->changed.notify_all();
}

void ElasticPool::Run() {
  std::unique_lock lock(this->mutex);
  while (true) {
    ++this->idle;
    const bool woken = this->changed.wait_for(lock, kIdleFor, [this] {
      return this->stopping || !this->tasks.empty();
    });
    --this->idle;
    if (this->tasks.empty()) {
      if (this->stopping || !woken) {
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
  // What was accepted is served to its end; the library deletes this object
  // afterwards.
  this->changed.wait(lock, [this] { return this->threads == 0; });
}

}  // namespace papayarack::entry
