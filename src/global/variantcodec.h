#ifndef PAPAYARACK_GLOBAL_VARIANTCODEC_H_
#define PAPAYARACK_GLOBAL_VARIANTCODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "global/messagecodec.h"

namespace papayarack {

/// Combines lambdas into one visitor for std::visit.
template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

/// A variant on the wire: the index of its alternative, then the encoded
/// alternative. Alternatives are only ever added at the end.
struct TaggedMessage {
  std::uint32_t tag = 0;
  std::string body;
  MSGPACK_DEFINE(tag, body)
};

/// Packs a TaggedMessage, with its body encoded in place: a body may be large,
/// and each copy of it costs as much as its encoding. Thread safety: any
/// thread.
template <typename Sink, typename... Alternatives>
void PackVariant(const std::variant<Alternatives...>& message, Sink& sink) {
  constexpr std::uint32_t kFields = 2;
  msgpack::packer<Sink> packer(sink);
  packer.pack_array(kFields);
  packer.pack(static_cast<std::uint32_t>(message.index()));
  std::visit(
      [&packer](const auto& body) {
        packer.pack_str(static_cast<std::uint32_t>(EncodedSize(body)));
        packer.pack(body);
      },
      message);
}

/// Size of EncodeVariant(message). Thread safety: any thread.
template <typename... Alternatives>
std::size_t EncodedVariantSize(const std::variant<Alternatives...>& message) {
  PackedSize size;
  PackVariant(message, size);
  return size.bytes;
}

/// Thread safety: any thread.
template <typename... Alternatives>
std::string EncodeVariant(const std::variant<Alternatives...>& message) {
  PackedString packed;
  packed.bytes.reserve(EncodedVariantSize(message));
  PackVariant(message, packed);
  return std::move(packed.bytes);
}

namespace internal {
template <typename Variant, std::size_t... Positions>
Variant DecodeAlternative(const TaggedMessage& tagged,
                          std::index_sequence<Positions...> /*all*/) {
  Variant decoded;
  const bool known =
      ((tagged.tag == Positions
            ? (decoded = DecodeMessage<
                   std::variant_alternative_t<Positions, Variant>>(tagged.body),
               true)
            : false) ||
       ...);
  if (!known) {
    throw ResultError(ResultCode::kProtocol,
                      "message of a kind that this release does not know");
  }
  return decoded;
}
}  // namespace internal

/// Throws ResultError(kProtocol) for malformed bytes or an alternative that
/// this release does not have.
template <typename Variant>
Variant DecodeVariant(std::string_view bytes) {
  const auto tagged = DecodeMessage<TaggedMessage>(bytes);
  return internal::DecodeAlternative<Variant>(
      tagged, std::make_index_sequence<std::variant_size_v<Variant>>());
}

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_VARIANTCODEC_H_
