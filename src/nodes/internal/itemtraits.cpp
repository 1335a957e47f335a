#include "nodes/itemtraits.h"

namespace papayarack::nodes {

std::vector<quarantine::Trait> TraitsOfItem(const Dialect& dialect,
                                            const batches::ItemSpec& item,
                                            std::string_view service) {
  http::Headers headers;
  for (const batches::ItemHeader& header : item.headers) {
    headers.Set(header.name, header.value);
  }
  return quarantine::PartTraitsOf(service,
                                  dialect.read_call(headers).prompt_parts);
}

}  // namespace papayarack::nodes
