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
  /// Unknown where the stream began at a replica that the list did not show
  /// yet.
  ReplicaSoftware software;
  std::uint32_t keep_ms = 0;  ///< How long the caller may take the stream up.
  MSGPACK_DEFINE(request, software, keep_ms)
};

struct FindOrigin {
  std::string request;
  MSGPACK_DEFINE(request)
};

/// What is known of the origin of a stream; the reply to FindOrigin. A stream
/// that began at unknown software differs from one without a record, whose
/// origin other evidence may tell.
struct FoundOrigin {
  ReplicaSoftware software;  ///< Unknown also where records contradict.
  bool has_record = false;
  MSGPACK_DEFINE(software, has_record)
  bool operator==(const FoundOrigin&) const = default;

  /// Earlier releases reply without `has_record`. Thread safety: any thread.
  bool Recorded() const { return this->has_record || this->software.Known(); }
};

}  // namespace papayarack::origins

#endif  // PAPAYARACK_ORIGINS_ORIGINMESSAGES_H_
