#ifndef PAPAYARACK_GLOBAL_INTERNAL_BACKGROUNDLOG_H_
#define PAPAYARACK_GLOBAL_INTERNAL_BACKGROUNDLOG_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace papayarack {

/// Buffers log lines that its own thread writes a few times a second, many in
/// one write. Otherwise a log reader that stops reading would block the event
/// loop and every request. Lines beyond kMaxBytes are dropped and counted.
/// Thread safety: every method, any thread.
class BackgroundLog {
 public:
  using Write = std::function<void(const std::string& lines)>;
  /// Several seconds of lines of a busy process; also the most memory that a
  /// slow reader can cost.
  static constexpr std::size_t kMaxBytes = 256U << 10U;

  explicit BackgroundLog(Write write);
  ~BackgroundLog();
  BackgroundLog(const BackgroundLog&) = delete;
  BackgroundLog& operator=(const BackgroundLog&) = delete;

  /// Adds a line, given without its line end. Never waits for the writer.
  void Add(const std::string& line);
  /// Writes the buffered lines on the caller's thread.
  void Flush();
  std::uint64_t DroppedLines() const;

 private:
  void Run();
  std::string Take();

  Write write;
  mutable std::mutex mutex;
  std::mutex writing;  ///< Keeps lines in order between writer and Flush.
  std::condition_variable wake;
  std::string waiting;
  std::uint64_t dropped = 0;
  std::uint64_t dropped_total = 0;
  bool stopping = false;
  std::thread thread;
};

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_INTERNAL_BACKGROUNDLOG_H_
