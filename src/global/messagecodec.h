#ifndef PAPAYARACK_GLOBAL_MESSAGECODEC_H_
#define PAPAYARACK_GLOBAL_MESSAGECODEC_H_

#include <cstdint>
#include <exception>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "global/resultcode.h"

namespace papayarack {

/// Version of the messages between processes. Fields are only ever added at the
/// end of a message; an older peer ignores those it does not know.
inline constexpr std::uint32_t kMessageVersion = 1;

/// Lets msgpack pack into a string directly, without an intermediate buffer.
struct PackedString {
  std::string bytes;
  void write(const char* data, std::size_t size) {
    this->bytes.append(data, size);
  }
};

/// Lets msgpack count the bytes of an encoding without producing them.
struct PackedSize {
  std::size_t bytes = 0;
  void write(const char* /*data*/, std::size_t size) { this->bytes += size; }
};

/// Size of EncodeMessage(message). Thread safety: any thread.
template <typename T>
std::size_t EncodedSize(const T& message) {
  PackedSize size;
  msgpack::pack(size, message);
  return size.bytes;
}

/// Encodes a type that has MSGPACK_DEFINE. Thread safety: any thread.
template <typename T>
std::string EncodeMessage(const T& message) {
  PackedString packed;
  packed.bytes.reserve(EncodedSize(message));
  msgpack::pack(packed, message);
  return std::move(packed.bytes);
}

/// Decodes bytes from a peer or a disk. Throws ResultError(kProtocol) for
/// malformed input. Thread safety: any thread.
template <typename T>
T DecodeMessage(std::string_view bytes) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size());
    return handle.get().as<T>();
  } catch (const std::exception& error) {
    throw ResultError(ResultCode::kProtocol,
                      std::string("message: ") + error.what());
  }
}

/// Splits a byte stream into length-prefixed messages. Thread safety: none, one
/// owner.
class MessageSplitter {
 public:
  static constexpr std::size_t kMaxMessage = 64U << 20U;

  /// The message with its length prepended.
  static std::string Frame(std::string_view message) {
    const auto length = static_cast<std::uint32_t>(message.size());
    std::string framed;
    framed.reserve(message.size() + kPrefix);
    for (unsigned shift = 0; shift < 32; shift += 8) {
      framed.push_back(static_cast<char>((length >> shift) & 0xFFU));
    }
    framed.append(message);
    return framed;
  }

  void Add(std::string_view bytes) { this->pending.append(bytes); }

  /// Extracts the next complete message; false when more bytes are needed.
  /// Throws ResultError(kProtocol) when the length exceeds kMaxMessage.
  bool Next(std::string& message) {
    if (this->pending.size() < kPrefix) {
      return false;
    }
    std::size_t length = 0;
    for (unsigned i = 0; i < kPrefix; ++i) {
      length |=
          static_cast<std::size_t>(static_cast<unsigned char>(this->pending[i]))
          << (8 * i);
    }
    if (length > kMaxMessage) {
      throw ResultError(ResultCode::kProtocol,
                        "message length beyond the limit");
    }
    if (this->pending.size() < kPrefix + length) {
      return false;
    }
    message = this->pending.substr(kPrefix, length);
    this->pending.erase(0, kPrefix + length);
    return true;
  }

 private:
  static constexpr std::size_t kPrefix = 4;
  std::string pending;
};

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_MESSAGECODEC_H_
