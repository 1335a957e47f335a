#ifndef PAPAYARACK_GLOBAL_INTERNAL_BACKGROUNDLOG_H_
#define PAPAYARACK_GLOBAL_INTERNAL_BACKGROUNDLOG_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace papayarack {

/// Lines that wait to be written by a thread of their own, a few times a
/// second: one write for many lines. Symptom guarded against: a reader of the
/// log that stops reading blocks the loop, and every request with it. Beyond
/// kMostBytes lines are left out and counted. Thread safety: every method, any
/// thread.
class BackgroundLog {
 public:
  using Write = std::function<void(const std::string& lines)>;
  /// Lines of some seconds at a busy process; a slow reader costs no more.
  static constexpr std::size_t kMostBytes = 256U << 10U;

  explicit BackgroundLog(Write write);
  ~BackgroundLog();
  BackgroundLog(const BackgroundLog&) = delete;
  BackgroundLog& operator=(const BackgroundLog&) = delete;

  /// Takes a line without its end. Never waits for the writer.
  void Add(const std::string& line);
  /// Writes what waits, on the caller's thread.
  void Flush();
  std::uint64_t LeftOut() const;

 private:
  void Run();
  std::string Take();

  Write write;
  mutable std::mutex mutex;
  std::mutex writing;  ///< Keeps lines in order between writer and Flush.
  std::condition_variable wake;
  std::string waiting;
  std::uint64_t left_out = 0;
  std::uint64_t left_out_total = 0;
  bool stopping = false;
  std::thread thread;
};

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_INTERNAL_BACKGROUNDLOG_H_
