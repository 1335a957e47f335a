#ifndef PAPAYARACK_NODES_ORIGINSERVER_H_
#define PAPAYARACK_NODES_ORIGINSERVER_H_

#include "global/metrics.h"
#include "nodes/logthrottle.h"
#include "origins/originstore.h"
#include "transport/peerdispatch.h"
#include "transport/peerserver.h"

namespace papayarack::nodes {

/// Paths of the messages to a home of origins.
inline constexpr const char* kRecordOriginPath = "/origins/record";
inline constexpr const char* kFindOriginPath = "/origins/find";

/// Keeps origins of streams for entries. Every process can be a home. Thread
/// safety: none, the loop's thread.
class OriginServer {
 public:
  /// Precondition: the arguments outlive this.
  OriginServer(transport::PeerServer*& server,
               transport::PeerDispatch& dispatch, Metrics& metrics);
  OriginServer(const OriginServer&) = delete;
  OriginServer& operator=(const OriginServer&) = delete;

 private:
  void OnRecord(transport::StreamId stream, const std::string& body);
  void OnFind(transport::StreamId stream, const std::string& body);

  transport::PeerServer*& server;
  Metrics& metrics;
  origins::OriginStore store;
  LogThrottle problems;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_ORIGINSERVER_H_
