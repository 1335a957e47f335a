#ifndef PAPAYARACK_GLOBAL_HASH_H_
#define PAPAYARACK_GLOBAL_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace papayarack {

/// 64-bit XXH3: for checksums and placement, never for security. Thread safety:
/// any thread.
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

/// SHA-256 in lower-case hexadecimal: for content identity and tokens.
std::string Sha256Hex(std::string_view bytes);

/// `prefix` followed by 64 random bits in hexadecimal, unique in practice
/// across the fleet. Throws ResultError(kInternal) when the random generator
/// fails.
std::string NewId(std::string_view prefix);

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_HASH_H_
