#ifndef PAPAYARACK_STORAGE_TESTS_STALLINGFILES_H_
#define PAPAYARACK_STORAGE_TESTS_STALLINGFILES_H_

#include <atomic>
#include <string>

#include "storage/memoryfilesystem.h"

namespace papayarack::storage {

/// A file system whose syncs block while it is stalled.
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

 private:
  std::atomic<bool> stalled = false;
};

}  // namespace papayarack::storage

#endif  // PAPAYARACK_STORAGE_TESTS_STALLINGFILES_H_
