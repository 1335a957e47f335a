#ifndef PAPAYARACK_NODES_ITEMTRAITS_H_
#define PAPAYARACK_NODES_ITEMTRAITS_H_

#include <string_view>
#include <vector>

#include "batches/batchmessages.h"
#include "nodes/dialect.h"
#include "quarantine/traits.h"

namespace papayarack::nodes {

/// Method with which items are run.
inline constexpr const char* kItemMethod = "POST";

/// What a batch item that replicas of `service` run has in common with others
/// and may crash them: the parts of its prompt. An accepted item as a whole is
/// no suspect: it is owed, and what runs again after each crash soon has as
/// many crashes as their cause. Thread safety: any thread.
std::vector<quarantine::Trait> TraitsOfItem(const Dialect& dialect,
                                            const batches::ItemSpec& item,
                                            std::string_view service);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_ITEMTRAITS_H_
