#ifndef PAPAYARACK_NODES_ITEMREQUEST_H_
#define PAPAYARACK_NODES_ITEMREQUEST_H_

#include "batches/batchmessages.h"
#include "http/headers.h"

/// The request as which a batch item is sent to a replica. Its id, path and
/// headers are a caller's text that no HTTP parser has read. Thread safety of
/// these functions: any thread.
namespace papayarack::nodes {

/// Whether the item can be sent: with a line break in its id, path or headers
/// the replica would read another request, or one that nobody has sent.
bool IsSendable(const batches::ItemSpec& item);

/// The item's headers with the host of its route, without those that concern a
/// connection or the length of the body: a replica would read another body.
/// Precondition: IsSendable.
http::Headers HeadersOfItem(const batches::LeasedItem& item);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_ITEMREQUEST_H_
