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

/// Threads for HTTP connections, one for each connection being served: made
/// when needed, up to a bound, and ended when idle. The library's own pool is
/// of fixed size with a queue without bound, so long streams and idle
/// connections would make new callers wait without anybody knowing. When every
/// thread is taken the accepting thread waits, and connections queue in the
/// kernel's bounded backlog. Thread safety: as the library calls it.
class ElasticPool : public httplib::TaskQueue {
 public:
  /// `busy` shows other threads how many connections are served.
  ElasticPool(std::size_t most, std::atomic<std::size_t>& busy)
      : most(most), busy(busy) {}
  void enqueue(std::function<void()> task) override;
  void shutdown() override;

 private:
  void Run();

  std::size_t most;
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
