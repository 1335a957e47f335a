#ifndef PAPAYARACK_ROLES_ROLESMODULE_H_
#define PAPAYARACK_ROLES_ROLESMODULE_H_

#include "cli/commandtable.h"

namespace papayarack::roles {

/// Registers the roles entry, side, control and solo, and the `format` command.
void RegisterRoles(cli::CommandTable& table);

}  // namespace papayarack::roles

#endif  // PAPAYARACK_ROLES_ROLESMODULE_H_
