#ifndef PAPAYARACK_GLOBAL_BOUNDEDRING_H_
#define PAPAYARACK_GLOBAL_BOUNDEDRING_H_

#include <boost/circular_buffer.hpp>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace papayarack {

/// A bounded first-in first-out queue between producer and consumer threads.
/// When it is full, the producer is told so and refuses work or slows down;
/// elements are never dropped silently. Thread safety: every method, any
/// thread.
template <typename T>
class BoundedRing {
 public:
  /// Precondition: capacity > 0 (number of elements).
  explicit BoundedRing(std::size_t capacity) : elements(capacity) {}

  /// Adds without blocking. Returns false when the ring is full or closed.
  bool TryPush(T element) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->closed || this->elements.full()) {
        return false;
      }
      this->elements.push_back(std::move(element));
    }
    this->not_empty.notify_one();
    return true;
  }

  /// Adds, blocking while the ring is full. Returns false when the ring is
  /// closed. Never call it from a thread that runs a core, as such a thread
  /// must not block.
  bool Push(T element) {
    {
      std::unique_lock lock(this->mutex);
      this->not_full.wait(
          lock, [this] { return this->closed || !this->elements.full(); });
      if (this->closed) {
        return false;
      }
      this->elements.push_back(std::move(element));
    }
    this->not_empty.notify_one();
    return true;
  }

  /// Takes the oldest element, waiting up to `wait`. Empty on timeout, or when
  /// closed and drained.
  std::optional<T> Pop(std::chrono::microseconds wait) {
    std::unique_lock lock(this->mutex);
    this->not_empty.wait_for(
        lock, wait, [this] { return this->closed || !this->elements.empty(); });
    return this->TakeLocked(lock);
  }

  /// Takes all elements, waiting up to `wait` for the first.
  std::vector<T> PopAll(std::chrono::microseconds wait) {
    std::vector<T> taken;
    {
      std::unique_lock lock(this->mutex);
      this->not_empty.wait_for(lock, wait, [this] {
        return this->closed || !this->elements.empty();
      });
      taken.reserve(this->elements.size());
      for (T& element : this->elements) {
        taken.push_back(std::move(element));
      }
      this->elements.clear();
    }
    this->not_full.notify_all();
    return taken;
  }

  /// Refuses further elements; those in the ring can still be taken.
  void Close() {
    {
      const std::lock_guard lock(this->mutex);
      this->closed = true;
    }
    this->not_empty.notify_all();
    this->not_full.notify_all();
  }

  bool Closed() const {
    const std::lock_guard lock(this->mutex);
    return this->closed;
  }

  std::size_t Size() const {
    const std::lock_guard lock(this->mutex);
    return this->elements.size();
  }

 private:
  std::optional<T> TakeLocked(std::unique_lock<std::mutex>& lock) {
    if (this->elements.empty()) {
      return std::nullopt;
    }
    std::optional<T> taken(std::move(this->elements.front()));
    this->elements.pop_front();
    lock.unlock();
    this->not_full.notify_one();
    return taken;
  }

  mutable std::mutex mutex;
  std::condition_variable not_empty;
  std::condition_variable not_full;
  boost::circular_buffer<T> elements;
  bool closed = false;
};

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_BOUNDEDRING_H_
