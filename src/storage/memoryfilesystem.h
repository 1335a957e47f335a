#ifndef PAPAYARACK_STORAGE_MEMORYFILESYSTEM_H_
#define PAPAYARACK_STORAGE_MEMORYFILESYSTEM_H_

#include <map>
#include <string>
#include <vector>

#include "storage/filesystem.h"

namespace papayarack::storage {

/// An in-memory file system that simulates disk failures, for tests and
/// fuzzing. Thread safety: none, one owner.
class MemoryFileSystem : public FileSystem {
 public:
  std::vector<std::string> List() const override;
  bool Exists(const std::string& name) const override;
  std::uint64_t Size(const std::string& name) const override;
  std::string Read(const std::string& name, std::uint64_t offset,
                   std::size_t length) const override;
  void Append(const std::string& name, std::string_view bytes) override;
  void Truncate(const std::string& name, std::uint64_t size) override;
  void Rename(const std::string& from, const std::string& to) override;
  void Remove(const std::string& name) override;
  void SyncFile(const std::string& name) override;
  void SyncFolder() override;

  /// Simulates a power loss: unsynced creations, renames and removals are
  /// undone, and only the first `kept_percent` per cent of the unsynced bytes
  /// at the end of each file remain (a torn write).
  void Crash(unsigned kept_percent);
  /// Corrupts one byte that was already synced.
  void Corrupt(const std::string& name, std::uint64_t offset);
  /// Refuses appends once `bytes` more have been written.
  void LimitSpace(std::uint64_t bytes);
  /// Makes every sync fail from now on.
  void FailSyncs(bool fail) { this->syncs_fail = fail; }

 private:
  struct File {
    std::string content;
    std::uint64_t synced = 0;  ///< Bytes that survive a crash.
  };
  File& Get(const std::string& name);
  const File& Get(const std::string& name) const;

  std::map<std::string, File> files;
  std::map<std::string, File>
      durable;  ///< The files as of the last folder sync.
  std::uint64_t free_space = UINT64_MAX;
  bool syncs_fail = false;
};

}  // namespace papayarack::storage

#endif  // PAPAYARACK_STORAGE_MEMORYFILESYSTEM_H_
