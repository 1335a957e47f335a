#ifndef PAPAYARACK_GLOBAL_HASH_H_
#define PAPAYARACK_GLOBAL_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace papayarack {

/// XXH3, 64 bits: for checksums and placement, never for secrets. Thread
/// safety: any thread.
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

/// SHA-256 in lower-case hexadecimal: for content identity and tokens.
std::string Sha256Hex(std::string_view bytes);

/// A random id with `prefix`, 64 random bits, unique in practice across the
/// fleet.
std::string NewId(std::string_view prefix);

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_HASH_H_
