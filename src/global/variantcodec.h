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

/// Thread safety: any thread.
template <typename... Alternatives>
std::string EncodeVariant(const std::variant<Alternatives...>& message) {
  TaggedMessage tagged;
  tagged.tag = static_cast<std::uint32_t>(message.index());
  tagged.body =
      std::visit([](const auto& body) { return EncodeMessage(body); }, message);
  return EncodeMessage(tagged);
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
