#include "linkrelay.h"

#include <algorithm>
#include <utility>

namespace papayarack::coordination {
namespace {

/// Most bytes buffered for a connection. Reading from the target stops there,
/// so that backpressure reaches the sender.
constexpr std::size_t kMaxBuffered = 64U << 10U;
/// Buffer size of the sockets too: the kernel's default of some MB would hide
/// the limit from the sender.
constexpr int kSocketBuffer = 64 << 10;
/// Bytes sent of one connection before the next one's turn: about three
/// packets.
constexpr std::size_t kQuantum = 4096;
constexpr std::chrono::milliseconds kRefillInterval{5};
/// Tokens that may accumulate while the link is idle or the loop is late.
constexpr std::chrono::milliseconds kMaxBurst{50};

}  // namespace

LinkRelay::LinkRelay(asio::io_context& context, const Endpoint& target,
                     std::uint64_t bytes_per_second)
    : context(context),
      target(asio::ip::make_address(target.host), target.port),
      bytes_per_second(bytes_per_second),
      acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
      timer(context) {
  this->Accept();
  this->RefillTokens();
}

std::string LinkRelay::Address() const {
  return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

LinkRelay::Connection* LinkRelay::Find(ConnectionId id) {
  const auto found = this->connections.find(id);
  return found != this->connections.end() ? found->second.get() : nullptr;
}

void LinkRelay::Accept() {
  this->acceptor.async_accept(
      [this](std::error_code error, asio::ip::tcp::socket caller) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          this->Adopt(std::move(caller));
        }
        this->Accept();
      });
}

void LinkRelay::Adopt(asio::ip::tcp::socket caller) {
  const ConnectionId id = ++this->last_connection;
  auto owned = std::make_unique<Connection>(this->context, std::move(caller));
  Connection& connection = *owned;
  this->connections[id] = std::move(owned);
  std::error_code ignored;
  const asio::ip::tcp::no_delay at_once(true);
  connection.caller.set_option(at_once, ignored);
  connection.caller.set_option(
      asio::socket_base::send_buffer_size(kSocketBuffer), ignored);
  connection.target.open(asio::ip::tcp::v4(), ignored);
  connection.target.set_option(at_once, ignored);
  connection.target.set_option(
      asio::socket_base::receive_buffer_size(kSocketBuffer), ignored);
  connection.target.async_connect(this->target,
                                  [this, id](std::error_code error) {
                                    if (error) {
                                      this->connections.erase(id);
                                      return;
                                    }
                                    this->ReadCaller(id);
                                    this->ReadTarget(id);
                                  });
}

/// Unlimited: requests are small beside the answers.
void LinkRelay::ReadCaller(ConnectionId id) {
  Connection* connection = this->Find(id);
  if (connection == nullptr) {
    return;
  }
  connection->to_target.resize(kMaxBuffered);
  connection->caller.async_read_some(
      asio::buffer(connection->to_target),
      [this, id](std::error_code error, std::size_t count) {
        Connection* sender = this->Find(id);
        if (error || sender == nullptr) {
          this->connections.erase(id);
          return;
        }
        asio::async_write(sender->target,
                          asio::buffer(sender->to_target.data(), count),
                          [this, id](std::error_code failed, std::size_t) {
                            if (failed) {
                              this->connections.erase(id);
                              return;
                            }
                            this->ReadCaller(id);
                          });
      });
}

void LinkRelay::ReadTarget(ConnectionId id) {
  Connection* connection = this->Find(id);
  if (connection == nullptr || connection->reading ||
      connection->target_ended) {
    return;
  }
  const std::size_t held =
      connection->waiting.size() + connection->leaving.size();
  if (held >= kMaxBuffered) {
    return;
  }
  connection->reading = true;
  connection->incoming.resize(kMaxBuffered - held);
  connection->target.async_read_some(
      asio::buffer(connection->incoming),
      [this, id](std::error_code error, std::size_t count) {
        Connection* receiver = this->Find(id);
        if (receiver == nullptr) {
          return;
        }
        receiver->reading = false;
        receiver->target_ended = static_cast<bool>(error);
        receiver->waiting.append(receiver->incoming, 0, count);
        if (receiver->target_ended && receiver->waiting.empty() &&
            receiver->leaving.empty()) {
          this->connections.erase(id);
          return;
        }
        this->SendQueued();
        this->ReadTarget(id);
      });
}

void LinkRelay::RefillTokens() {
  const Time now = MonotonicNow();
  const auto most = static_cast<Duration>(kMaxBurst);
  const auto since = std::min(now - this->refilled_at, most);
  this->refilled_at = now;
  const auto share = [this](Duration time) {
    return this->bytes_per_second * static_cast<std::uint64_t>(time.count()) /
           std::micro::den;
  };
  this->tokens = std::min(this->tokens + share(since), share(most));
  this->SendQueued();
  this->timer.expires_after(kRefillInterval);
  this->timer.async_wait([this](std::error_code error) {
    if (!error) {
      this->RefillTokens();
    }
  });
}

/// Round robin, from the connection after the one served last. Skips
/// connections with a pending write.
void LinkRelay::SendQueued() {
  std::size_t passed = 0;
  while (this->tokens >= kQuantum && passed < this->connections.size()) {
    auto next = this->connections.upper_bound(this->last_served);
    if (next == this->connections.end()) {
      next = this->connections.begin();
    }
    this->last_served = next->first;
    passed = this->SendSome(next->first) ? 0 : passed + 1;
  }
}

bool LinkRelay::SendSome(ConnectionId id) {
  Connection& connection = *this->Find(id);
  if (connection.waiting.empty() || !connection.leaving.empty()) {
    return false;
  }
  const std::size_t count = std::min(connection.waiting.size(), kQuantum);
  connection.leaving.assign(connection.waiting, 0, count);
  connection.waiting.erase(0, count);
  this->tokens -= count;
  this->carried += count;
  asio::async_write(connection.caller, asio::buffer(connection.leaving),
                    [this, id](std::error_code error, std::size_t) {
                      if (error) {
                        this->connections.erase(id);
                        return;
                      }
                      this->OnSent(id);
                    });
  return true;
}

void LinkRelay::OnSent(ConnectionId id) {
  Connection* connection = this->Find(id);
  if (connection == nullptr) {
    return;
  }
  connection->leaving.clear();
  if (connection->target_ended && connection->waiting.empty()) {
    this->connections.erase(id);
    return;
  }
  this->ReadTarget(id);
  this->SendQueued();
}

}  // namespace papayarack::coordination
