#include <span>

#include "cli/commandtable.h"
#include "operators/operatorsmodule.h"
#include "platform/platformroles.h"
#include "roles/rolesmodule.h"

int main(int argc, const char** argv) {
  papayarack::cli::CommandTable table;
  papayarack::roles::RegisterRoles(table);
  papayarack::operators::RegisterOperators(table);
  papayarack::platform::RegisterPlatformRoles(table);
  return table.Run(std::span(argv, static_cast<std::size_t>(argc)));
}
