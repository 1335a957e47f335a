#include "roles/rolesmodule.h"

#include <iostream>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "control/controlserver.h"
#include "entry/entryserver.h"
#include "gate/gateserver.h"
#include "global/jsonschema.h"
#include "global/logging.h"
#include "global/resultcode.h"
#include "introspection/statusserver.h"
#include "roles/internal/signalwait.h"

namespace papayarack::roles {
namespace {

constexpr std::chrono::milliseconds kPollInterval{20};
constexpr std::chrono::milliseconds kLeaderHandoverTime{300};
constexpr std::uint64_t kSoloMember = 1;

/// The components of a process; the role determines which of them exist.
struct Process {
  Settings settings;
  Metrics metrics;
  std::unique_ptr<control::ControlServer> control;
  std::vector<std::unique_ptr<gate::GateServer>> gates;
  std::unique_ptr<entry::EntryServer> entry;
  std::unique_ptr<introspection::StatusServer> status;
};

/// Completes the settings of a process that runs all roles, with a single
/// control member, and formats its data folder if necessary.
void PrepareSolo(Settings& settings) {
  if (settings.control.empty()) {
    settings.control.push_back({kSoloMember, settings.peer_listen});
  }
  if (control::FormattedMember(settings.data_folder) == 0) {
    control::FormatDataFolder(settings, kSoloMember, false);
  }
}

void StartParts(Process& process) {
  const Settings& settings = process.settings;
  const bool solo = settings.role == "solo";
  if (solo || settings.role == "control") {
    process.control =
        std::make_unique<control::ControlServer>(settings, process.metrics);
  }
  if (solo || settings.role == "side") {
    for (std::size_t i = 0; i < settings.upstreams.size(); ++i) {
      process.gates.push_back(
          std::make_unique<gate::GateServer>(settings, i, process.metrics));
    }
  }
  if (solo || settings.role == "entry") {
    process.entry =
        std::make_unique<entry::EntryServer>(settings, process.metrics);
  }
}

nlohmann::json DumpAll(const Process& process) {
  nlohmann::json parts = nlohmann::json::array();
  if (process.control != nullptr) {
    parts.push_back(process.control->Dump());
  }
  for (const auto& gate : process.gates) {
    parts.push_back(gate->Dump());
  }
  if (process.entry != nullptr) {
    parts.push_back(process.entry->Dump());
  }
  return {{"process", process.settings.name}, {"parts", parts}};
}

bool AllHealthy(const Process& process) {
  bool healthy = process.control == nullptr || process.control->Healthy();
  for (const auto& gate : process.gates) {
    healthy = healthy && gate->Healthy();
  }
  return healthy && (process.entry == nullptr || process.entry->Healthy());
}

void StartStatus(Process& process) {
  if (process.settings.operator_listen.empty()) {
    return;
  }
  process.status = std::make_unique<introspection::StatusServer>(
      ParseEndpoint(process.settings.operator_listen, "/operator_listen"),
      introspection::StatusSources{
          [&process] { return DumpAll(process); },
          [&process] { return AllHealthy(process); },
          [&process] { return process.metrics.Exposition(); }});
}

template <typename Condition>
void WaitUntil(const Condition& condition, std::chrono::milliseconds timeout) {
  for (std::chrono::milliseconds waited{0}; waited < timeout && !condition();
       waited += kPollInterval) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

/// Shuts down gracefully, so that replacing a process interrupts no request.
/// Each component announces that it leaves, refuses new work, finishes its
/// current work and stops, in the order in which requests flow.
void StopParts(Process& process) {
  const std::chrono::milliseconds grace = process.settings.shutdown_grace;
  Log(LogLevel::kInfo, "stopping");
  if (process.entry != nullptr) {
    process.entry->BeginLeave();
    std::this_thread::sleep_for(process.settings.drain);
    process.entry->RefuseNew();
    WaitUntil([&process] { return process.entry->OpenAnswers() == 0; }, grace);
    process.entry.reset();
  }
  for (const auto& gate : process.gates) {
    gate->BeginLeave();
  }
  for (auto& gate : process.gates) {
    WaitUntil([&gate] { return gate->Drained(); }, grace);
  }
  process.gates.clear();
  if (process.control != nullptr) {
    process.control->BeginLeave();
    std::this_thread::sleep_for(kLeaderHandoverTime);
  }
  process.status.reset();
  process.control.reset();
  Log(LogLevel::kInfo, "stopped");
}

cli::ExitCode RunRole(const std::string& role,
                      const cli::Arguments& arguments) {
  if (!arguments.Has("settings")) {
    std::cerr << "papayarack " << role << ": expected --settings FILE\n";
    return cli::ExitCode::kUsage;
  }
  const std::string path = arguments.Get("settings");
  Process process;
  process.settings = ParseSettings(ParseJson(ReadWholeFile(path), path));
  if (process.settings.role != role) {
    throw ResultError(ResultCode::kBadInput,
                      path + ": [/role] is " + process.settings.role +
                          ", but the command is " + role);
  }
  BlockStopSignals();
  StartLogging(process.settings.log, process.settings.name);
  if (role == "solo") {
    PrepareSolo(process.settings);
  }
  StartParts(process);
  StartStatus(process);
  Log(LogLevel::kInfo, "started", {{"kind", role}});
  WaitForStopSignal();
  StopParts(process);
  return cli::ExitCode::kOk;
}

cli::ExitCode RunFormat(const cli::Arguments& arguments) {
  if (!arguments.Has("settings") || !arguments.Has("member")) {
    std::cerr
        << "papayarack format: expected --settings FILE and --member ID\n";
    return cli::ExitCode::kUsage;
  }
  const std::string path = arguments.Get("settings");
  const Settings settings = ParseSettings(ParseJson(ReadWholeFile(path), path));
  const std::uint64_t member =
      std::strtoull(arguments.Get("member").c_str(), nullptr, 10);
  if (member == 0) {
    throw ResultError(ResultCode::kBadInput,
                      "--member: expected a positive number");
  }
  control::FormatDataFolder(settings, member, arguments.Has("join"));
  std::cout << settings.data_folder << " formatted for member " << member
            << "\n";
  return cli::ExitCode::kOk;
}

}  // namespace

void RegisterRoles(cli::CommandTable& table) {
  const std::vector<cli::OptionSpec> options = {
      {"settings", "FILE", "settings file of this process"}};
  const std::vector<std::pair<std::string, std::string>> roles = {
      {"entry", "runs an entry: HTTP for callers and operators"},
      {"side", "runs the gate of one upstream"},
      {"control", "runs a control member on a formatted data folder"},
      {"solo", "runs all roles in one process, for local use or evaluation"}};
  for (const auto& entry : roles) {
    const std::string role = entry.first;
    table.Add({role, "", entry.second, options,
               [role](const cli::Arguments& arguments) {
                 return RunRole(role, arguments);
               }});
  }
  table.Add(
      {"format",
       "",
       "prepares the data folder of a control member, once",
       {{"settings", "FILE", "settings file of the member"},
        {"member", "ID",
         "member id; never reuse the old id after a disk was wiped"},
        {"join", "",
         "join a running cluster; run `papayarack control-add` afterwards"}},
       RunFormat});
}

}  // namespace papayarack::roles
