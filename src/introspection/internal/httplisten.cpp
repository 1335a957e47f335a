#include "introspection/httplisten.h"

#include <sys/socket.h>

#include <string>

#include "global/resultcode.h"

namespace papayarack::introspection {
namespace {
constexpr int kBacklog = 1024;
}  // namespace

/// Symptom guarded against: now and then a request begins a second late. The
/// library listens with a backlog of five; the sixth connection of a burst is
/// dropped by the kernel and comes again after its first retransmission, one
/// second later. Listening again on the same socket widens the backlog.
void BindHttp(httplib::Server& server, const Endpoint& listen,
              std::string_view field) {
  socket_t bound = INVALID_SOCKET;
  server.set_socket_options([&bound](socket_t socket) {
    const int yes = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    bound = socket;
  });
  if (!server.bind_to_port(listen.host.c_str(), listen.port) ||
      ::listen(bound, kBacklog) != 0) {
    throw ResultError(
        ResultCode::kBadInput,
        "[" + std::string(field) + "] cannot listen on " + listen.ToString());
  }
}

}  // namespace papayarack::introspection
