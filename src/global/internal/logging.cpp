#include "global/logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <atomic>
#include <map>
#include <memory>

#include "global/internal/backgroundlog.h"
#include "global/resultcode.h"
#include "global/timepoint.h"

namespace papayarack {
namespace {

log4cplus::LogLevel ToLibraryLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

const char* NameOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarn:
      return "warn";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

log4cplus::LogLevel ParseLevel(const std::string& name) {
  static const std::map<std::string, LogLevel> kLevels = {
      {"debug", LogLevel::kDebug},
      {"info", LogLevel::kInfo},
      {"warn", LogLevel::kWarn},
      {"error", LogLevel::kError}};
  const auto found = kLevels.find(name);
  if (found == kLevels.end()) {
    throw ResultError(ResultCode::kBadInput,
                      "/log/level: expected debug, info, warn or error");
  }
  return ToLibraryLevel(found->second);
}

std::atomic<bool>& Started() {
  static std::atomic<bool> started = false;
  return started;
}

/// The background writer; null when lines are written synchronously.
std::unique_ptr<BackgroundLog>& Background() {
  static std::unique_ptr<BackgroundLog> background;
  return background;
}

std::string& RoleName() {
  static std::string name = "papayarack";
  return name;
}

log4cplus::Logger& ProcessLogger() {
  static log4cplus::Initializer initializer;
  static log4cplus::Logger logger =
      log4cplus::Logger::getInstance("papayarack");
  return logger;
}

}  // namespace

void StartLogging(const LogSettings& settings, std::string_view role) {
  RoleName() = role;
  log4cplus::Logger& logger = ProcessLogger();
  log4cplus::SharedAppenderPtr appender;
  const bool in_background = settings.target == "stdout";
  if (in_background) {
    appender = new log4cplus::ConsoleAppender(false, true);
  } else if (settings.target == "stderr") {
    appender = new log4cplus::ConsoleAppender(true, true);
  } else {
    appender = new log4cplus::FileAppender(settings.target, std::ios_base::app);
  }
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      in_background ? "%m" : "%m%n"));
  logger.removeAllAppenders();
  logger.addAppender(appender);
  logger.setLogLevel(ParseLevel(settings.level));
  if (in_background) {
    Background() =
        std::make_unique<BackgroundLog>([&logger](const std::string& lines) {
          logger.forcedLog(log4cplus::INFO_LOG_LEVEL, lines);
        });
  }
  Started() = true;
}

void FlushLog() {
  if (Background() != nullptr) {
    Background()->Flush();
  }
}

void Log(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  if (!Started()) {
    return;
  }
  log4cplus::Logger& logger = ProcessLogger();
  const log4cplus::LogLevel library_level = ToLibraryLevel(level);
  if (!logger.isEnabledFor(library_level)) {
    return;
  }
  nlohmann::ordered_json line;
  line["time_ms"] = WallNow();
  line["level"] = NameOf(level);
  line["role"] = RoleName();
  line["event"] = event;
  for (const auto& [key, value] : fields.items()) {
    line[key] = value;
  }
  const std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (Background() != nullptr) {
    Background()->Add(text);
  } else {
    logger.log(library_level, text);
  }
}

}  // namespace papayarack
