#ifndef PAPAYARACK_ROLES_ROLESMODULE_H_
#define PAPAYARACK_ROLES_ROLESMODULE_H_

#include "cli/commandtable.h"

namespace papayarack::roles {

/// Adds the roles entry, side, control and solo, and `format` for data folders.
void RegisterRoles(cli::CommandTable& table);

}  // namespace papayarack::roles

#endif  // PAPAYARACK_ROLES_ROLESMODULE_H_
