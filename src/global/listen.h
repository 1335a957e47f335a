#ifndef PAPAYARACK_GLOBAL_LISTEN_H_
#define PAPAYARACK_GLOBAL_LISTEN_H_

#include <asio.hpp>

#include "global/resultcode.h"
#include "global/settings.h"

namespace papayarack {

/// Binds and listens with the maximum backlog: connections of a burst that
/// exceeds the backlog are established a second late. Throws
/// ResultError(kBadInput) when the address cannot be bound. Thread safety: the
/// acceptor's owner.
inline void ListenOn(asio::ip::tcp::acceptor& acceptor,
                     const Endpoint& address) {
  try {
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host),
                                           address.port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(asio::socket_base::max_listen_connections);
  } catch (const std::system_error& error) {
    throw ResultError(
        ResultCode::kBadInput,
        "cannot listen on " + address.ToString() + ": " + error.what());
  }
}

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_LISTEN_H_
