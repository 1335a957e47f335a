#ifndef PAPAYARACK_NODES_TESTS_ENDLESSPEER_H_
#define PAPAYARACK_NODES_TESTS_ENDLESSPEER_H_

#include <array>
#include <asio.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace papayarack::nodes {

/// A faulty peer on loopback: after the first bytes of each request it sends
/// `begin` and then repeats `rest`, until its client closes the connection or
/// without an end. Thread safety: none.
class EndlessPeer {
 public:
  explicit EndlessPeer(asio::io_context& context)
      : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    this->Accept();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->Port());
  }
  std::uint16_t Port() const { return this->acceptor.local_endpoint().port(); }

  std::string begin;
  std::string rest = std::string(kBlock, 'x');
  /// Sends `rest` once and then nothing, without closing.
  bool stops = false;
  std::size_t asked = 0;
  std::size_t open = 0;
  std::size_t sent = 0;  ///< Bytes, of all connections.

 private:
  static constexpr std::size_t kBlock = 16U << 10U;
  struct Link {
    explicit Link(asio::ip::tcp::socket socket) : socket(std::move(socket)) {}
    asio::ip::tcp::socket socket;
    std::array<char, 1024> chunk{};
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](std::error_code error, asio::ip::tcp::socket socket) {
          if (error) {
            return;
          }
          const auto link = std::make_shared<Link>(std::move(socket));
          ++this->open;
          link->socket.async_read_some(
              asio::buffer(link->chunk),
              [this, link](std::error_code failed, std::size_t) {
                if (failed) {
                  --this->open;
                  return;
                }
                ++this->asked;
                this->Write(link, this->begin);
              });
          this->Accept();
        });
  }

  void Write(const std::shared_ptr<Link>& link, const std::string& bytes) {
    asio::async_write(link->socket, asio::buffer(bytes),
                      [this, link, first = &bytes == &this->begin](
                          std::error_code error, std::size_t length) {
                        this->sent += length;
                        if (error) {
                          --this->open;
                        } else if (first || !this->stops) {
                          this->Write(link, this->rest);
                        } else {
                          this->AwaitClose(link);
                        }
                      });
  }

  void AwaitClose(const std::shared_ptr<Link>& link) {
    link->socket.async_read_some(
        asio::buffer(link->chunk),
        [this, link](std::error_code, std::size_t) { --this->open; });
  }

  asio::ip::tcp::acceptor acceptor;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_TESTS_ENDLESSPEER_H_
