#ifndef PAPAYARACK_TRANSPORT_INTERNAL_OWNLOOP_H_
#define PAPAYARACK_TRANSPORT_INTERNAL_OWNLOOP_H_

#include <asio.hpp>
#include <memory>
#include <optional>
#include <thread>

namespace papayarack::transport {

/// The event loop of a client or server: the owner's, or its own with a thread.
/// Thread safety: none.
class Loop {
 public:
  Loop()
      : own(std::make_unique<asio::io_context>()),
        work(std::in_place, this->own->get_executor()),
        used(*this->own) {}
  explicit Loop(asio::io_context& shared) : used(shared) {}

  asio::io_context& context() { return this->used; }

  /// Starts the thread if the loop is its own.
  void Start() {
    if (this->own != nullptr) {
      this->thread = std::thread([this] { this->own->run(); });
    }
  }

  /// Runs `last` on the loop; if the loop is its own, also waits for the thread
  /// to end.
  template <typename Function>
  void Stop(Function last) {
    if (this->own == nullptr) {
      last();
      return;
    }
    asio::post(*this->own, [this, last] {
      last();
      this->own->stop();
    });
    this->thread.join();
  }

 private:
  std::unique_ptr<asio::io_context> own;
  /// Only for a loop of its own: releasing a work guard of a shared loop would
  /// stop it when it has no other work.
  std::optional<asio::executor_work_guard<asio::io_context::executor_type>>
      work;
  asio::io_context& used;
  std::thread thread;
};

}  // namespace papayarack::transport

#endif  // PAPAYARACK_TRANSPORT_INTERNAL_OWNLOOP_H_
