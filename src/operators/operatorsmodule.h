#ifndef PAPAYARACK_OPERATORS_OPERATORSMODULE_H_
#define PAPAYARACK_OPERATORS_OPERATORSMODULE_H_

#include "cli/commandtable.h"

namespace papayarack::operators {

/// Registers the operators' commands: explain, check, submit, service, status,
/// job, cancel, dump, control-add and control-remove.
void RegisterOperators(cli::CommandTable& table);

}  // namespace papayarack::operators

#endif  // PAPAYARACK_OPERATORS_OPERATORSMODULE_H_
