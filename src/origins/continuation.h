#ifndef PAPAYARACK_ORIGINS_CONTINUATION_H_
#define PAPAYARACK_ORIGINS_CONTINUATION_H_

#include <span>
#include <string>
#include <variant>

#include "global/replicasoftware.h"
#include "origins/originmessages.h"

namespace papayarack::origins {

/// The stream goes on at a replica of this software.
struct ContinueWith {
  ReplicaSoftware software;
};
/// Nothing tells which software began the stream.
struct OriginUnknown {};
/// The route does not lead any more to the service that began the stream.
struct OriginNotOnRoute {
  ReplicaSoftware software;
};
using Continuation =
    std::variant<ContinueWith, OriginUnknown, OriginNotOnRoute>;

/// What is known when a caller takes a stream up.
struct OriginEvidence {
  FoundOrigin recorded;  ///< By this process or a home.
  /// The only software of the route's only service for as long as a stream may
  /// be open; may be unknown. Counts only without a record: it is told by the
  /// list, which does not show every replica that began a stream.
  ReplicaSoftware sole;
};

/// Decides where a stream that a caller takes up may go on. An unknown origin
/// is refused: a text of two versions does its caller more harm than a refusal
/// after which it begins anew. `services` are those of the route. Thread
/// safety: any thread.
Continuation DecideContinuation(const OriginEvidence& evidence,
                                std::span<const std::string> services);

}  // namespace papayarack::origins

#endif  // PAPAYARACK_ORIGINS_CONTINUATION_H_
