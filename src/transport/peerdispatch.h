#ifndef PAPAYARACK_TRANSPORT_PEERDISPATCH_H_
#define PAPAYARACK_TRANSPORT_PEERDISPATCH_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "global/logging.h"
#include "transport/peerserver.h"

namespace papayarack::transport {

/// Routes the requests of one PeerServer to handlers by path. Thread safety:
/// none, the loop's thread.
class PeerDispatch {
 public:
  using Handler = std::function<void(StreamId stream, std::string body)>;

  void On(const std::string& path, Handler handler) {
    this->handlers[path] = std::move(handler);
  }
  /// Registers a handler for cancelled streams. Every handler is called for
  /// every cancelled stream and must ignore those it does not own.
  void OnCancel(std::function<void(StreamId)> handler) {
    this->cancels.push_back(std::move(handler));
  }

  /// Handlers to construct the server with. Precondition: `server` outlives
  /// their calls.
  PeerServerHandlers For(PeerServer*& server) {
    PeerServerHandlers server_handlers;
    server_handlers.on_request = [this, &server](StreamId stream,
                                                 std::string_view path,
                                                 std::string body) {
      const auto found = this->handlers.find(std::string(path));
      if (found == this->handlers.end()) {
        server->Finish(stream);
        return;
      }
      try {
        found->second(stream, std::move(body));
      } catch (const ResultError& error) {
        Log(LogLevel::kWarn, "peer_request_refused",
            {{"path", std::string(path)}, {"text", error.what()}});
        server->Finish(stream);
      }
    };
    server_handlers.on_cancel = [this](StreamId stream) {
      for (const auto& cancel : this->cancels) {
        cancel(stream);
      }
    };
    return server_handlers;
  }

 private:
  std::map<std::string, Handler> handlers;
  std::vector<std::function<void(StreamId)>> cancels;
};

}  // namespace papayarack::transport

#endif  // PAPAYARACK_TRANSPORT_PEERDISPATCH_H_
