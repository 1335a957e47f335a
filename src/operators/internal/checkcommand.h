#ifndef PAPAYARACK_OPERATORS_INTERNAL_CHECKCOMMAND_H_
#define PAPAYARACK_OPERATORS_INTERNAL_CHECKCOMMAND_H_

#include <string>

#include "cli/commandtable.h"

namespace papayarack::operators {

/// Validates a settings file, a service document or a data folder and prints
/// every error found.
cli::ExitCode RunCheck(const std::string& path);

}  // namespace papayarack::operators

#endif  // PAPAYARACK_OPERATORS_INTERNAL_CHECKCOMMAND_H_
