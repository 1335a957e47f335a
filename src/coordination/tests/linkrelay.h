#ifndef PAPAYARACK_COORDINATION_TESTS_LINKRELAY_H_
#define PAPAYARACK_COORDINATION_TESTS_LINKRELAY_H_

#include <asio.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "global/settings.h"
#include "global/timepoint.h"

namespace papayarack::coordination {

/// Simulates the limited network link of a VM: callers connect here and are
/// forwarded to the target. The bytes per second from the target to all callers
/// are limited and shared fairly; the other direction is not limited. Thread
/// safety: none, the loop's thread. Precondition: the loop outlives the relay
/// and does not run once the relay is destroyed.
class LinkRelay {
 public:
  LinkRelay(asio::io_context& context, const Endpoint& target,
            std::uint64_t bytes_per_second);
  LinkRelay(const LinkRelay&) = delete;
  LinkRelay& operator=(const LinkRelay&) = delete;

  std::string Address() const;
  /// Bytes from the target to all callers since the start.
  std::uint64_t BytesCarried() const { return this->carried; }

 private:
  using ConnectionId = std::uint64_t;
  struct Connection {
    Connection(asio::io_context& context, asio::ip::tcp::socket caller)
        : caller(std::move(caller)), target(context) {}

    asio::ip::tcp::socket caller;
    asio::ip::tcp::socket target;
    std::string to_target;  ///< One read at a time, written before the next.
    std::string incoming;   ///< Buffer of the pending read from the target.
    std::string waiting;    ///< Queued bytes from the target.
    std::string leaving;    ///< Buffer of the pending write to the caller.
    bool reading = false;
    bool target_ended = false;
  };

  void Accept();
  void Adopt(asio::ip::tcp::socket caller);
  void ReadCaller(ConnectionId id);
  void ReadTarget(ConnectionId id);
  void RefillTokens();
  void SendQueued();
  bool SendSome(ConnectionId id);
  void OnSent(ConnectionId id);
  Connection* Find(ConnectionId id);

  asio::io_context& context;
  asio::ip::tcp::endpoint target;
  std::uint64_t bytes_per_second;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer timer;
  std::map<ConnectionId, std::unique_ptr<Connection>> connections;
  ConnectionId last_connection = 0;
  ConnectionId last_served = 0;
  Time refilled_at = MonotonicNow();
  std::uint64_t tokens = 0;
  std::uint64_t carried = 0;
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_TESTS_LINKRELAY_H_
