#ifndef PAPAYARACK_ENTRY_INTERNAL_ELASTICPOOL_H_
#define PAPAYARACK_ENTRY_INTERNAL_ELASTICPOOL_H_

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace papayarack::entry {

/// A pool with one thread per served HTTP connection: threads start on demand,
/// up to a limit, and end when idle. The pool of the HTTP library has a fixed
/// size and an unbounded queue, so long streams and idle connections would
/// silently delay new callers. When all threads are busy the accepting thread
/// waits, and connections queue in the bounded backlog of the kernel. Thread
/// safety: as the library calls it.
class ElasticPool : public httplib::TaskQueue {
 public:
  /// `busy` receives the number of connections being served, for other threads
  /// to read.
  ElasticPool(std::size_t max_threads, std::atomic<std::size_t>& busy)
      : max_threads(max_threads), busy(busy) {}
  void enqueue(std::function<void()> task) override;
  void shutdown() override;

 private:
  void Run();

  std::size_t max_threads;
  std::atomic<std::size_t>& busy;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> tasks;
  std::size_t threads = 0;
  std::size_t idle = 0;
  bool stopping = false;
};

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_INTERNAL_ELASTICPOOL_H_
