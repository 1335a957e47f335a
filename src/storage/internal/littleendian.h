#ifndef PAPAYARACK_STORAGE_INTERNAL_LITTLEENDIAN_H_
#define PAPAYARACK_STORAGE_INTERNAL_LITTLEENDIAN_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace papayarack::storage {

/// Adds `value` in little-endian order.
template <typename T>
void PutInteger(std::string& bytes, T value) {
  for (unsigned i = 0; i < sizeof(T); ++i) {
    bytes.push_back(static_cast<char>((value >> (8 * i)) & 0xFFU));
  }
}

/// Reads at `offset`. Precondition: offset + sizeof(T) <= bytes.size().
template <typename T>
T GetInteger(std::string_view bytes, std::size_t offset) {
  T value = 0;
  for (unsigned i = 0; i < sizeof(T); ++i) {
    value |= static_cast<T>(static_cast<unsigned char>(bytes[offset + i]))
             << (8 * i);
  }
  return value;
}

}  // namespace papayarack::storage

#endif  // PAPAYARACK_STORAGE_INTERNAL_LITTLEENDIAN_H_
