#ifndef PAPAYARACK_GLOBAL_LOGGING_H_
#define PAPAYARACK_GLOBAL_LOGGING_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace papayarack {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Minimum level and target of log lines.
struct LogSettings {
  std::string level = "info";  ///< debug, info, warn or error.
  /// "stderr", "stdout" or a file path. "stdout" is written by a background
  /// thread through a bounded buffer, so logging never blocks.
  std::string target = "stderr";
};

/// Starts logging; call once in main before any thread starts. Throws
/// ResultError(kBadInput) for an unknown level.
void StartLogging(const LogSettings& settings, std::string_view role);

/// Writes one JSON line: time, level, role, event and `fields`. Put the ids of
/// the request, job or item concerned in `fields`. Thread safety: any thread.
void Log(LogLevel level, std::string_view event,
         const nlohmann::json& fields = {});

/// Writes the lines still buffered; call before the process exits. Thread
/// safety: any thread.
void FlushLog();

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_LOGGING_H_
