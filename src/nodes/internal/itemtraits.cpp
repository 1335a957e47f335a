#include "nodes/itemtraits.h"

namespace papayarack::nodes {

std::vector<quarantine::Trait> TraitsOfItem(const Dialect& dialect,
                                            std::string_view host,
                                            const batches::ItemSpec& item,
                                            std::string_view service) {
  http::Headers headers;
  for (const batches::ItemHeader& header : item.headers) {
    headers.Set(header.name, header.value);
  }
  return quarantine::TraitsOf({kItemMethod, host, item.path, item.body},
                              service, dialect.read_call(headers).prompt_parts);
}

}  // namespace papayarack::nodes
