#ifndef PAPAYARACK_GLOBAL_TESTS_PROCESSORTIME_H_
#define PAPAYARACK_GLOBAL_TESTS_PROCESSORTIME_H_

#include <time.h>

#include <chrono>

namespace papayarack {

/// CPU time of the calling thread for `work`: unlike wall-clock time, it does
/// not grow when other processes run.
template <typename Work>
std::chrono::nanoseconds ProcessorTimeOf(const Work& work) {
  const auto now = [] {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
  };
  const auto before = now();
  work();
  return now() - before;
}

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_TESTS_PROCESSORTIME_H_
