#ifndef PAPAYARACK_HTTP_CONNECTIONSTATE_H_
#define PAPAYARACK_HTTP_CONNECTIONSTATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "global/timepoint.h"

namespace papayarack::http {

/// What a connection of a server waits for.
enum class ConnectionPhase : std::uint8_t {
  kReading,    ///< A request, or the rest of one.
  kServing,    ///< The response to a request that was read whole.
  kLingering,  ///< Its client's close, after the last response.
};

std::string_view NameOf(ConnectionPhase phase);

/// An open connection of a server, and the bytes on their way in it.
struct ConnectionState {
  ConnectionPhase phase = ConnectionPhase::kReading;
  std::size_t unsent = 0;  ///< Response bytes held in the process.
  /// Bytes that the kernel holds until the client's kernel acknowledges them;
  /// nothing where the system doesn't tell.
  std::optional<std::size_t> unacknowledged;
  /// Bytes of the client that the process has not read. Closing the socket
  /// resets the connection if there are any.
  std::size_t unread = 0;
  /// Time since the kernel last took response bytes; nothing if it took none.
  std::optional<Duration> since_written;
};

}  // namespace papayarack::http

#endif  // PAPAYARACK_HTTP_CONNECTIONSTATE_H_
