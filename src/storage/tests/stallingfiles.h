#ifndef PAPAYARACK_STORAGE_TESTS_STALLINGFILES_H_
#define PAPAYARACK_STORAGE_TESTS_STALLINGFILES_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "storage/memoryfilesystem.h"

namespace papayarack::storage {

/// A file system whose syncs block while it is stalled. Counts what is read.
class StallingFiles : public MemoryFileSystem {
 public:
  /// Thread safety: any thread.
  void Stall(bool stalls) {
    this->stalled = stalls;
    this->stalled.notify_all();
  }
  void SyncFile(const std::string& name) override {
    this->stalled.wait(true);
    MemoryFileSystem::SyncFile(name);
  }
  std::string Read(const std::string& name, std::uint64_t offset,
                   std::size_t length) const override {
    this->bytes_read += length;
    return MemoryFileSystem::Read(name, offset, length);
  }
  /// Bytes requested by all reads so far. Thread safety: any thread.
  std::uint64_t BytesRead() const { return this->bytes_read; }

 private:
  mutable std::atomic<std::uint64_t> bytes_read = 0;
  std::atomic<bool> stalled = false;
};

}  // namespace papayarack::storage

#endif  // PAPAYARACK_STORAGE_TESTS_STALLINGFILES_H_
