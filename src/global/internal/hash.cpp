#include "global/hash.h"

#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>

#include "global/resultcode.h"

namespace papayarack {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(),
             nullptr);
  std::string hex;
  for (unsigned i = 0; i < length; ++i) {
    hex += fmt::format("{:02x}", digest.at(i));
  }
  return hex;
}

std::string NewId(std::string_view prefix) {
  std::uint64_t bits = 0;
  if (RAND_bytes(reinterpret_cast<unsigned char*>(&bits), sizeof(bits)) != 1) {
    throw ResultError(ResultCode::kInternal, "the random generator failed");
  }
  return fmt::format("{}{:016x}", prefix, bits);
}

}  // namespace papayarack
