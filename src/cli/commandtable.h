#ifndef PAPAYARACK_CLI_COMMANDTABLE_H_
#define PAPAYARACK_CLI_COMMANDTABLE_H_

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayarack::cli {

/// Exit codes of the program; docs/API.md lists them.
enum class ExitCode : int {
  kOk = 0,
  kRefused = 1,     ///< The request was refused or failed; the message contains
                    ///< the result code.
  kUsage = 2,       ///< The command line is wrong.
  kBadInput = 3,    ///< A file is invalid.
  kNotInForce = 4,  ///< The revision was not in force everywhere in time.
  kConflict = 5,    ///< This version already exists with other content.
};

/// An option of a command: --name VALUE, or --name alone if `value_name` is
/// empty.
struct OptionSpec {
  std::string name;
  std::string value_name;
  std::string help;
};

/// Parsed options and operands of a command line.
struct Arguments {
  std::map<std::string, std::string, std::less<>> options;
  std::vector<std::string> operands;

  bool Has(std::string_view name) const {
    return this->options.find(name) != this->options.end();
  }
  std::string Get(std::string_view name,
                  std::string_view default_value = {}) const;
};

/// A command of the program.
struct Command {
  std::string name;
  std::string operands;  ///< For the usage line, such as "FILE".
  std::string summary;
  std::vector<OptionSpec> options;
  std::function<ExitCode(const Arguments&)> run;
};

/// The commands registered by the modules. Thread safety: none.
class CommandTable {
 public:
  void Add(Command command);
  /// Parses the command line and runs the command. Prints errors to standard
  /// error; returns the exit code.
  int Run(std::span<const char* const> arguments) const;
  const std::map<std::string, Command>& all() const { return this->commands; }

 private:
  void PrintOverview() const;
  int RunCommand(const Command& command,
                 std::span<const char* const> arguments) const;

  std::map<std::string, Command> commands;
};

}  // namespace papayarack::cli

#endif  // PAPAYARACK_CLI_COMMANDTABLE_H_
