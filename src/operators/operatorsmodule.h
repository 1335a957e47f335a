#ifndef PAPAYARACK_OPERATORS_OPERATORSMODULE_H_
#define PAPAYARACK_OPERATORS_OPERATORSMODULE_H_

#include "cli/commandtable.h"

namespace papayarack::operators {

/// Adds the operators' commands: check, submit, service, status, job, cancel,
/// dump, and the changes of control members.
void RegisterOperators(cli::CommandTable& table);

}  // namespace papayarack::operators

#endif  // PAPAYARACK_OPERATORS_OPERATORSMODULE_H_
