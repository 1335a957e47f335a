#ifndef PAPAYARACK_GLOBAL_TESTS_ALLOCATEDBYTES_H_
#define PAPAYARACK_GLOBAL_TESTS_ALLOCATEDBYTES_H_

#include <cstddef>
#include <cstdlib>
#include <new>

/// Counts what a test program allocates: copies of a large message show as
/// bytes. Replaces the operators of the whole program, so include it in one of
/// its files only.
namespace papayarack {

inline thread_local std::size_t allocated_bytes = 0;

/// Bytes that the calling thread allocates during `work`, also those that it
/// frees again.
template <typename Work>
std::size_t BytesAllocatedBy(const Work& work) {
  const std::size_t before = allocated_bytes;
  work();
  return allocated_bytes - before;
}

}  // namespace papayarack

void* operator new(std::size_t size) {
  papayarack::allocated_bytes += size;
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

#endif  // PAPAYARACK_GLOBAL_TESTS_ALLOCATEDBYTES_H_
