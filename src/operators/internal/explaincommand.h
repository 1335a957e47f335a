#ifndef PAPAYARACK_OPERATORS_INTERNAL_EXPLAINCOMMAND_H_
#define PAPAYARACK_OPERATORS_INTERNAL_EXPLAINCOMMAND_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cli/commandtable.h"

namespace papayarack::operators {

/// Traces a request, batch or item through the logs of several processes, in
/// order of time: the lines that contain its id and, between the first and last
/// of them, the state changes (configuration, leader, engine) of the same
/// processes. Lines that are not JSON are skipped. Thread safety: any thread.
std::vector<std::string> ExplainRequest(std::string_view id,
                                        std::span<const std::string> lines);

/// Registers `papayarack explain REQUEST-ID FILE...`.
void RegisterExplain(cli::CommandTable& table);

}  // namespace papayarack::operators

#endif  // PAPAYARACK_OPERATORS_INTERNAL_EXPLAINCOMMAND_H_
