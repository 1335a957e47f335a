#ifndef PAPAYARACK_NODES_ITEMTRAITS_H_
#define PAPAYARACK_NODES_ITEMTRAITS_H_

#include <string>
#include <string_view>
#include <vector>

#include "batches/batchmessages.h"
#include "nodes/dialect.h"
#include "quarantine/traits.h"

namespace papayarack::nodes {

/// Method with which items are run.
inline constexpr const char* kItemMethod = "POST";

/// The traits of a batch item that replicas of `service` run, the same as those
/// of an online request of the same content. Thread safety: any thread.
std::vector<quarantine::Trait> TraitsOfItem(const Dialect& dialect,
                                            std::string_view host,
                                            const batches::ItemSpec& item,
                                            std::string_view service);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_ITEMTRAITS_H_
