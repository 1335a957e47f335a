#include "gate/internal/replaybuffer.h"

#include <utility>

namespace papayarack::gate {

void ReplayBuffer::Send(std::string message) {
  if (this->stream != 0) {
    this->server->Send(this->stream, message);
  }
  this->messages.push_back(std::move(message));
}

void ReplayBuffer::Finish() {
  this->finished = true;
  if (this->stream != 0) {
    this->server->Finish(this->stream);
  }
}

void ReplayBuffer::Attach(transport::StreamId next, std::size_t received) {
  if (this->stream != 0 && this->stream != next) {
    this->server->Finish(this->stream);
  }
  this->stream = next;
  for (std::size_t i = received; i < this->messages.size(); ++i) {
    this->server->Send(next, this->messages[i]);
  }
  if (this->finished) {
    this->server->Finish(next);
  }
}

}  // namespace papayarack::gate
