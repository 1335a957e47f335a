#include "operators/operatorsmodule.h"

#include <fmt/format.h>

#include <chrono>
#include <iostream>
#include <thread>

#include "control/controlclient.h"
#include "global/jsonschema.h"
#include "global/settings.h"
#include "operators/internal/checkcommand.h"
#include "operators/internal/entryclient.h"
#include "operators/internal/explaincommand.h"
#include "transport/peerclient.h"

namespace papayarack::operators {
namespace {

using cli::Arguments;
using cli::ExitCode;

constexpr std::chrono::milliseconds kWatchInterval{1000};
constexpr std::chrono::milliseconds kPollInterval{100};
constexpr int kDefaultWaitSeconds = 30;

const std::vector<cli::OptionSpec> kCommonOptions = {
    {"entry", "HOST:PORT",
     "address of an entry (default: PAPAYARACK_ENTRY, else 127.0.0.1:8080)"},
    {"team", "NAME", "team that owns the jobs"},
    {"json", "", "print the response as JSON"}};

std::vector<cli::OptionSpec> WithCommonOptions(
    std::vector<cli::OptionSpec> more) {
  std::vector<cli::OptionSpec> all = kCommonOptions;
  all.insert(all.end(), more.begin(), more.end());
  return all;
}

const std::string& OneOperand(const Arguments& arguments, const char* what) {
  if (arguments.operands.size() != 1) {
    throw ResultError(ResultCode::kBadInput,
                      std::string("expected exactly one operand: ") + what);
  }
  return arguments.operands.front();
}

/// Waits until the service's revision is in force on all processes; on timeout
/// lists the processes that lack it.
ExitCode WaitInForce(const EntryClient& client, const std::string& service,
                     std::uint64_t revision, int seconds) {
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
  nlohmann::json last;
  while (std::chrono::steady_clock::now() < until) {
    const EntryAnswer answer = client.Get("/v1/services/" + service);
    last = answer.body;
    if (answer.Ok() && last.value("revision", 0ULL) >= revision &&
        last.value("in_force_everywhere", false)) {
      std::cout << service << ": revision " << last["revision"]
                << " is in force on " << last["in_force_on"].size()
                << " processes\n";
      return ExitCode::kOk;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  std::cerr << service << ": not in force everywhere after " << seconds
            << " s\n";
  if (last.is_object() && last.contains("differs")) {
    for (const nlohmann::json& member : last["differs"]) {
      std::cerr << "  missing: " << member.value("name", "") << " at revision "
                << member.value("revision", 0) << ": "
                << member.value("why", "") << "\n";
    }
  }
  return ExitCode::kNotInForce;
}

int WaitSeconds(const Arguments& arguments) {
  const std::string text = arguments.Get("timeout");
  return text.empty() ? kDefaultWaitSeconds : std::atoi(text.c_str());
}

ExitCode RunSubmit(const Arguments& arguments) {
  const std::string& path = OneOperand(arguments, "FILE");
  const std::string text = ReadWholeFile(path);
  const nlohmann::json document = ParseJson(text, path);
  const std::string service =
      document.is_object() ? document.value("service", "") : "";
  const EntryClient client(arguments);
  const EntryAnswer answer = client.Put("/v1/services/" + service, text);
  if (!answer.Ok()) {
    return PrintError(answer);
  }
  const auto revision = answer.body.value("revision", 0ULL);
  std::cout << service << ": version " << answer.body.value("version", 0)
            << " accepted as revision " << revision << "\n";
  return arguments.Has("wait")
             ? WaitInForce(client, service, revision, WaitSeconds(arguments))
             : ExitCode::kOk;
}

void PrintService(const nlohmann::json& service) {
  std::cout << fmt::format(
      "{:<20} version {:<5} revision {:<6} in force on {}{}\n",
      service.value("service", ""), service.value("version", 0),
      service.value("revision", 0), service["in_force_on"].size(),
      service["differs"].empty()
          ? std::string()
          : fmt::format(", differs on {}", service["differs"].size()));
  for (const nlohmann::json& member : service["differs"]) {
    std::cout << fmt::format(
        "    {:<24} revision {:<6} {}\n", member.value("name", ""),
        member.value("revision", 0), member.value("why", ""));
  }
}

ExitCode RunService(const Arguments& arguments) {
  const EntryAnswer answer = EntryClient(arguments).Get(
      "/v1/services/" + OneOperand(arguments, "SERVICE"));
  if (!answer.Ok()) {
    return PrintError(answer);
  }
  if (arguments.Has("json")) {
    std::cout << answer.body.dump(2) << "\n";
  } else {
    PrintService(answer.body);
    std::cout << answer.body["wanted"].dump(2) << "\n";
  }
  return ExitCode::kOk;
}

void PrintStatus(const nlohmann::json& status) {
  std::cout << "control leader " << status.value("control_leader", "")
            << ", term " << status.value("control_term", 0) << ", revision "
            << status.value("revision", 0) << "\n\n";
  for (const nlohmann::json& service : status["services"]) {
    PrintService(service);
  }
  std::cout << fmt::format(
      "\n{:<24} {:<8} {:<14} {:<14} {:>8} {:>7} {:>7} {:>5}  {}\n", "process",
      "role", "zone", "service", "revision", "running", "waiting", "limit",
      "state");
  for (const nlohmann::json& member : status["members"]) {
    const char* state = !member.value("alive", false)    ? "not heard of"
                        : member.value("leaving", false) ? "leaving"
                                                         : "in service";
    std::cout << fmt::format(
        "{:<24} {:<8} {:<14} {:<14} {:>8} {:>7} {:>7} {:>5}  {}\n",
        member.value("name", ""), member.value("role", ""),
        member.value("zone", ""), member.value("service", ""),
        member.value("revision", 0), member.value("running", 0),
        member.value("waiting", 0), member.value("limit", 0), state);
  }
}

ExitCode RunStatus(const Arguments& arguments) {
  const EntryClient client(arguments);
  if (arguments.Has("wait")) {
    return WaitInForce(client, OneOperand(arguments, "SERVICE"), 0,
                       WaitSeconds(arguments));
  }
  while (true) {
    const EntryAnswer answer = client.Get("/v1/status");
    if (!answer.Ok()) {
      return PrintError(answer);
    }
    if (arguments.Has("json")) {
      std::cout << answer.body.dump(2) << "\n";
    } else {
      PrintStatus(answer.body);
    }
    if (!arguments.Has("watch")) {
      return ExitCode::kOk;
    }
    std::cout << std::flush;
    std::this_thread::sleep_for(kWatchInterval);
    std::cout << "\n";
  }
}

void PrintJob(const nlohmann::json& job) {
  const nlohmann::json& counts = job["request_counts"];
  const int total = counts.value("total", 0);
  const int ended = counts.value("completed", 0) + counts.value("failed", 0);
  std::cout << fmt::format(
      "{} {:<12} {:>6}/{} items ({}%), {} failed, {} running, {} attempts\n",
      job.value("id", ""), job.value("status", ""), ended, total,
      total > 0 ? ended * 100 / total : 0, counts.value("failed", 0),
      job.value("running", 0), job.value("attempts", 0));
}

ExitCode RunJob(const Arguments& arguments) {
  const EntryClient client(arguments);
  const std::string path = "/v1/batches/" + OneOperand(arguments, "JOB");
  while (true) {
    const EntryAnswer answer = client.Get(path);
    if (!answer.Ok()) {
      return PrintError(answer);
    }
    if (arguments.Has("json")) {
      std::cout << answer.body.dump(2) << "\n";
    } else {
      PrintJob(answer.body);
    }
    if (!arguments.Has("watch") ||
        answer.body.value("status", "") != "in_progress") {
      return ExitCode::kOk;
    }
    std::cout << std::flush;
    std::this_thread::sleep_for(kWatchInterval);
  }
}

ExitCode RunCancel(const Arguments& arguments) {
  const EntryAnswer answer = EntryClient(arguments).Post(
      "/v1/batches/" + OneOperand(arguments, "JOB") + "/cancel", "{}");
  if (!answer.Ok()) {
    return PrintError(answer);
  }
  PrintJob(answer.body);
  return ExitCode::kOk;
}

ExitCode RunDump(const Arguments& arguments) {
  const EntryAnswer answer = EntryClient(arguments).Get("/v1/dump");
  std::cout << answer.body.dump(2) << "\n";
  return answer.Ok() ? ExitCode::kOk : ExitCode::kRefused;
}

ExitCode ChangeMembers(const Arguments& arguments, bool add) {
  const std::string path = arguments.Get("settings");
  const Settings settings = ParseSettings(ParseJson(ReadWholeFile(path), path));
  control::MembersChange change;
  change.add = add;
  change.id = std::strtoull(arguments.Get("member").c_str(), nullptr, 10);
  change.address = arguments.Get("address");
  if (change.id == 0 || (add && change.address.empty())) {
    throw ResultError(ResultCode::kBadInput,
                      "expected --member ID and, when adding, --address");
  }
  transport::PeerClient peer;
  control::ControlClient client(peer, settings.control);
  constexpr std::chrono::seconds kTimeout{20};
  control::RequireOk(client.Change(change, kTimeout));
  std::cout
      << "member " << change.id
      << (add ? " was added as a learner; it votes once it has caught up\n"
              : " was removed\n");
  return ExitCode::kOk;
}

}  // namespace

void RegisterOperators(cli::CommandTable& table) {
  RegisterExplain(table);
  table.Add({"check",
             "FILE",
             "validates settings, a service document or a data folder",
             {},
             [](const Arguments& arguments) {
               return RunCheck(OneOperand(arguments, "FILE"));
             }});
  const cli::OptionSpec wait{"wait", "",
                             "wait until the revision is in force everywhere"};
  const cli::OptionSpec timeout{"timeout", "SECONDS",
                                "timeout of --wait (default: 30)"};
  const cli::OptionSpec watch{"watch", "", "refresh every second"};
  table.Add({"submit", "FILE", "submits a service document",
             WithCommonOptions({wait, timeout}), RunSubmit});
  table.Add({"service", "SERVICE",
             "shows a service: wanted state, where it is in force, differences",
             kCommonOptions, RunService});
  table.Add({"status", "[SERVICE]", "shows services and processes",
             WithCommonOptions({wait, timeout, watch}), RunStatus});
  table.Add(
      {"job", "JOB", "shows a batch job", WithCommonOptions({watch}), RunJob});
  table.Add(
      {"cancel", "JOB", "cancels a batch job", kCommonOptions, RunCancel});
  table.Add(
      {"dump", "",
       "prints the state of a process (--entry: its operator_listen address)",
       kCommonOptions, RunDump});
  const std::vector<cli::OptionSpec> members = {
      {"settings", "FILE", "settings that list the control members"},
      {"member", "ID", "id of the member"},
      {"address", "HOST:PORT", "peer address of the member"}};
  table.Add({"control-add", "", "adds a control member", members,
             [](const Arguments& arguments) {
               return ChangeMembers(arguments, true);
             }});
  table.Add({"control-remove", "", "removes a control member", members,
             [](const Arguments& arguments) {
               return ChangeMembers(arguments, false);
             }});
}

}  // namespace papayarack::operators
