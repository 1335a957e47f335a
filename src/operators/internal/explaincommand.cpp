#include "operators/internal/explaincommand.h"

#include <fmt/format.h>

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "global/jsonschema.h"

namespace papayarack::operators {
namespace {

using nlohmann::json;

/// State changes of a process, shown as context although they carry no request
/// id.
const std::set<std::string> kContextEvents = {"configuration_in_force",
                                              "coordination_leader_found",
                                              "engine_changed",
                                              "group_leader",
                                              "started",
                                              "stopping",
                                              "log_lines_left_out"};

struct LogLine {
  std::int64_t time_ms = 0;
  std::string process;
  std::string event;
  json fields;
  bool contains_id = false;
};

/// True if any string field equals the id.
bool ContainsId(const json& fields, std::string_view id) {
  return std::ranges::any_of(fields, [id](const json& value) {
    return value.is_string() && value.get_ref<const std::string&>() == id;
  });
}

std::vector<LogLine> Parse(std::string_view id,
                           std::span<const std::string> lines) {
  std::vector<LogLine> parsed;
  for (const std::string& text : lines) {
    // A log collector may have added a prefix to the line.
    const std::size_t start = text.find('{');
    if (start == std::string::npos) {
      continue;
    }
    json fields = json::parse(text.substr(start), nullptr, false);
    if (!fields.is_object()) {
      continue;
    }
    LogLine line;
    line.time_ms = fields.value("time_ms", std::int64_t{0});
    line.process = fields.value("role", std::string("?"));
    line.event = fields.value("event", std::string("?"));
    line.contains_id = ContainsId(fields, id);
    line.fields = std::move(fields);
    parsed.push_back(std::move(line));
  }
  std::ranges::stable_sort(parsed, {}, &LogLine::time_ms);
  return parsed;
}

std::string FormatLine(const LogLine& line, std::int64_t start_ms) {
  std::string text =
      fmt::format("{:>7} ms  {}  {:<24}{}", line.time_ms - start_ms,
                  line.contains_id ? " " : "~", line.process, line.event);
  for (const auto& [key, value] : line.fields.items()) {
    if (key != "time_ms" && key != "role" && key != "event" && key != "level") {
      text += fmt::format("  {}={}", key, value.dump());
    }
  }
  return text;
}

cli::ExitCode RunExplain(const cli::Arguments& arguments) {
  if (arguments.operands.size() < 2) {
    std::cerr << "papayarack explain: expected REQUEST-ID FILE...\n";
    return cli::ExitCode::kUsage;
  }
  std::vector<std::string> lines;
  for (std::size_t i = 1; i < arguments.operands.size(); ++i) {
    std::istringstream file(ReadWholeFile(arguments.operands[i]));
    for (std::string line; std::getline(file, line);) {
      lines.push_back(line);
    }
  }
  const auto shown = ExplainRequest(arguments.operands[0], lines);
  for (const std::string& line : shown) {
    std::cout << line << "\n";
  }
  if (shown.empty()) {
    std::cerr << "papayarack explain: no log line contains "
              << arguments.operands[0] << "\n";
    return cli::ExitCode::kRefused;
  }
  return cli::ExitCode::kOk;
}

}  // namespace

std::vector<std::string> ExplainRequest(std::string_view id,
                                        std::span<const std::string> lines) {
  const std::vector<LogLine> parsed = Parse(id, lines);
  std::set<std::string> processes;
  std::int64_t first = 0;
  std::int64_t last = 0;
  for (const LogLine& line : parsed) {
    if (line.contains_id) {
      first = processes.empty() ? line.time_ms : first;
      last = line.time_ms;
      processes.insert(line.process);
    }
  }
  std::vector<std::string> shown;
  for (const LogLine& line : parsed) {
    const bool context = line.time_ms >= first && line.time_ms <= last &&
                         processes.count(line.process) > 0 &&
                         kContextEvents.count(line.event) > 0;
    if (line.contains_id || context) {
      shown.push_back(FormatLine(line, first));
    }
  }
  return shown;
}

void RegisterExplain(cli::CommandTable& table) {
  table.Add({"explain",
             "REQUEST-ID FILE...",
             "traces a request through the logs of several processes",
             {},
             RunExplain});
}

}  // namespace papayarack::operators
