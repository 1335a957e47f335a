#include "nodes/itemrequest.h"

#include <algorithm>

namespace papayarack::nodes {

bool IsSendable(const batches::ItemSpec& item) {
  return !item.id.empty() && http::IsFieldValue(item.id) &&
         http::IsRequestTarget(item.path) &&
         std::ranges::all_of(item.headers,
                             [](const batches::ItemHeader& header) {
                               return http::IsFieldName(header.name) &&
                                      http::IsFieldValue(header.value);
                             });
}

http::Headers HeadersOfItem(const batches::LeasedItem& item) {
  http::Headers headers;
  for (const batches::ItemHeader& header : item.spec.headers) {
    headers.Set(header.name, header.value);
  }
  http::RemoveConnectionFields(headers);
  headers.Remove("Content-Length");
  headers.Set("Host", item.host);
  return headers;
}

}  // namespace papayarack::nodes
