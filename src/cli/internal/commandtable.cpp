#include "cli/commandtable.h"

#include <popt.h>

#include <deque>
#include <iostream>
#include <memory>
#include <utility>

#include "cli/version.h"
#include "global/resultcode.h"

namespace papayarack::cli {
namespace {

ExitCode ExitCodeFor(ResultCode code) {
  switch (code) {
    case ResultCode::kBadInput:
    case ResultCode::kTooLarge:
      return ExitCode::kBadInput;
    case ResultCode::kConflict:
      return ExitCode::kConflict;
    default:
      return ExitCode::kRefused;
  }
}

/// The popt option table of a command. It points into the command's strings.
struct OptionTable {
  std::vector<poptOption> rows;
  int next_value = 1;

  explicit OptionTable(const Command& command) {
    for (const OptionSpec& option : command.options) {
      poptOption row{};
      row.longName = option.name.c_str();
      row.argInfo = option.value_name.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
      row.val = this->next_value++;
      row.descrip = option.help.c_str();
      row.argDescrip =
          option.value_name.empty() ? nullptr : option.value_name.c_str();
      this->rows.push_back(row);
    }
    this->rows.push_back(poptOption{"help", 'h', POPT_ARG_NONE, nullptr, -100,
                                    "show this help", nullptr});
    this->rows.push_back(poptOption{});
  }
};

constexpr int kHelpValue = -100;

using ContextPtr = std::unique_ptr<std::remove_pointer_t<poptContext>,
                                   decltype(&poptFreeContext)>;

void ReadOptions(const Command& command, poptContext context,
                 Arguments& arguments, bool& help) {
  int value = 0;
  while ((value = poptGetNextOpt(context)) != -1) {
    if (value == kHelpValue) {
      help = true;
      continue;
    }
    if (value < 0) {
      throw ResultError(
          ResultCode::kBadInput,
          std::string(poptBadOption(context, 0)) + ": " + poptStrerror(value));
    }
    const OptionSpec& option =
        command.options.at(static_cast<std::size_t>(value) - 1);
    std::unique_ptr<char, decltype(&free)> text(poptGetOptArg(context), &free);
    arguments.options[option.name] = text != nullptr ? text.get() : "";
  }
  while (const char* operand = poptGetArg(context)) {
    arguments.operands.emplace_back(operand);
  }
}

}  // namespace

std::string Arguments::Get(std::string_view name,
                           std::string_view default_value) const {
  const auto found = this->options.find(name);
  return found != this->options.end() ? found->second
                                      : std::string(default_value);
}

void CommandTable::Add(Command command) {
  const std::string name = command.name;
  this->commands.emplace(name, std::move(command));
}

void CommandTable::PrintOverview() const {
  std::cout << "papayarack: online and batch inference on one fleet\n\n"
               "Usage: papayarack COMMAND [OPTION ...]\n"
               "       papayarack COMMAND --help\n"
               "       papayarack --version\n\nCommands:\n";
  constexpr std::size_t kColumn = 12;
  for (const auto& [name, command] : this->commands) {
    std::cout << "  " << name
              << std::string(kColumn - std::min(kColumn - 1, name.size()), ' ')
              << command.summary << "\n";
  }
}

int CommandTable::Run(std::span<const char* const> arguments) const {
  if (arguments.size() < 2) {
    this->PrintOverview();
    return static_cast<int>(ExitCode::kUsage);
  }
  const std::string_view name = arguments[1];
  if (name == "--help" || name == "-h") {
    this->PrintOverview();
    return 0;
  }
  if (name == "--version") {
    std::cout << "papayarack " << kVersion << " (" << kCommit << ")\n";
    return 0;
  }
  const auto found = this->commands.find(std::string(name));
  if (found == this->commands.end()) {
    std::cerr << "papayarack: unknown command: " << name
              << "; see papayarack --help\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  return this->RunCommand(found->second, arguments.subspan(1));
}

int CommandTable::RunCommand(const Command& command,
                             std::span<const char* const> arguments) const {
  std::vector<const char*> pointers(arguments.begin(), arguments.end());
  pointers.push_back(nullptr);
  const OptionTable table(command);
  const ContextPtr context(
      poptGetContext(command.name.c_str(), static_cast<int>(arguments.size()),
                     pointers.data(), table.rows.data(), 0),
      &poptFreeContext);
  const std::string usage =
      "papayarack " + command.name + " [OPTION ...] " + command.operands;
  poptSetOtherOptionHelp(context.get(), command.operands.c_str());
  Arguments parsed;
  bool help = false;
  try {
    ReadOptions(command, context.get(), parsed, help);
  } catch (const ResultError& error) {
    std::cerr << "papayarack " << command.name << ": " << error.what()
              << "\nUsage: " << usage << "\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  if (help) {
    std::cout << command.summary << "\n\n" << std::flush;
    poptPrintHelp(context.get(), stdout, 0);
    return 0;
  }
  try {
    return static_cast<int>(command.run(parsed));
  } catch (const ResultError& error) {
    const ResultCodeInfo& info = Describe(error.result().code);
    std::cerr << "papayarack " << command.name << ": " << error.what()
              << "\n  code " << static_cast<int>(info.code) << " " << info.name
              << ": " << info.advice << "\n";
    return static_cast<int>(ExitCodeFor(error.result().code));
  } catch (const std::exception& error) {
    std::cerr << "papayarack " << command.name << ": " << error.what() << "\n";
    return static_cast<int>(ExitCode::kRefused);
  }
}

}  // namespace papayarack::cli
