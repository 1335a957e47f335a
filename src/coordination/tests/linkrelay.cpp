#include "linkrelay.h"

#include <algorithm>
#include <utility>

namespace papayarack::coordination {
namespace {

/// What a connection may keep in the relay. Reading from the target stops
/// there, so that the sender feels the link.
constexpr std::size_t kMostWaiting = 64U << 10U;
/// Asked of the kernel for the sockets too, as its own choice of some MB would
/// hide the link from the sender.
constexpr int kSocketBuffer = 64 << 10;
/// Sent of one connection before the next has its turn: about three packets.
constexpr std::size_t kTurn = 4096;
constexpr std::chrono::milliseconds kEarnEvery{5};
/// Allowance that may gather while the link is idle or the loop is late.
constexpr std::chrono::milliseconds kMostEarned{50};

}  // namespace

LinkRelay::LinkRelay(asio::io_context& context, const Endpoint& target,
                     std::uint64_t bytes_per_second)
    : context(context),
      target(asio::ip::make_address(target.host), target.port),
      bytes_per_second(bytes_per_second),
      acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
      timer(context) {
  this->Accept();
  this->Earn();
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
  connection->to_target.resize(kMostWaiting);
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
  if (held >= kMostWaiting) {
    return;
  }
  connection->reading = true;
  connection->incoming.resize(kMostWaiting - held);
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
        this->Spend();
        this->ReadTarget(id);
      });
}

void LinkRelay::Earn() {
  const Time now = MonotonicNow();
  const auto most = static_cast<Duration>(kMostEarned);
  const auto since = std::min(now - this->earned_at, most);
  this->earned_at = now;
  const auto share = [this](Duration time) {
    return this->bytes_per_second * static_cast<std::uint64_t>(time.count()) /
           std::micro::den;
  };
  this->tokens = std::min(this->tokens + share(since), share(most));
  this->Spend();
  this->timer.expires_after(kEarnEvery);
  this->timer.async_wait([this](std::error_code error) {
    if (!error) {
      this->Earn();
    }
  });
}

/// Round robin, from the connection after the one that was served last. One
/// whose write is under way has its next turn when that is done.
void LinkRelay::Spend() {
  std::size_t passed = 0;
  while (this->tokens >= kTurn && passed < this->connections.size()) {
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
  const std::size_t count = std::min(connection.waiting.size(), kTurn);
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
  this->Spend();
}

}  // namespace papayarack::coordination
