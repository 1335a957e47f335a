#include "introspection/httplisten.h"

#include <sys/socket.h>

#include <string>

#include "global/resultcode.h"

namespace papayarack::introspection {
namespace {
constexpr int kBacklog = 1024;
}  // namespace

/// httplib listens with a backlog of five; the kernel drops the SYN of the
/// sixth connection of a burst, which is retransmitted only one second later.
/// Listening again on the same socket enlarges the backlog.
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
