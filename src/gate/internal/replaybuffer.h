#ifndef PAPAYARACK_GATE_INTERNAL_REPLAYBUFFER_H_
#define PAPAYARACK_GATE_INTERNAL_REPLAYBUFFER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "transport/peerserver.h"

namespace papayarack::gate {

/// The messages of one answer, kept until shortly after its end, so that an
/// entry that lost its connection can resume the stream. Thread safety: none,
/// event loop thread.
class ReplayBuffer {
 public:
  ReplayBuffer(transport::PeerServer& server, transport::StreamId stream)
      : server(&server), stream(stream) {}

  /// Sends the message on the attached stream and keeps it.
  void Send(std::string message);
  /// Ends the attached stream; streams attached later end after the replay.
  void Finish();
  /// The stream was lost; the messages are kept for the next.
  void Detach() { this->stream = 0; }
  /// Continues on a new stream after the first `received` messages.
  void Attach(transport::StreamId next, std::size_t received);
  bool Attached() const { return this->stream != 0; }
  bool Finished() const { return this->finished; }
  transport::StreamId Stream() const { return this->stream; }

 private:
  transport::PeerServer* server;
  transport::StreamId stream;
  std::vector<std::string> messages;
  bool finished = false;
};

}  // namespace papayarack::gate

#endif  // PAPAYARACK_GATE_INTERNAL_REPLAYBUFFER_H_
