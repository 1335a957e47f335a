#ifndef PAPAYARACK_ORIGINS_ORIGINMESSAGES_H_
#define PAPAYARACK_ORIGINS_ORIGINMESSAGES_H_

#include <cstdint>
#include <string>

#include "global/messagecodec.h"
#include "global/replicasoftware.h"

/// Messages about the origin of a stream: the software that produced its first
/// event. Homes keep origins, so that an entry can continue a stream that
/// another one began.
namespace papayarack::origins {

/// Has no reply: a home that does not get it does not know the origin.
struct RecordOrigin {
  std::string request;  ///< The caller's attempt that got the first event.
  ReplicaSoftware software;
  std::uint32_t keep_ms = 0;  ///< How long the caller may take the stream up.
  MSGPACK_DEFINE(request, software, keep_ms)
};

struct FindOrigin {
  std::string request;
  MSGPACK_DEFINE(request)
};

struct OriginReply {
  ReplicaSoftware software;  ///< Unknown if the home has no record.
  MSGPACK_DEFINE(software)
};

}  // namespace papayarack::origins

#endif  // PAPAYARACK_ORIGINS_ORIGINMESSAGES_H_
