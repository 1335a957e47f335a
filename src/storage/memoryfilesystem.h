#ifndef PAPAYARACK_STORAGE_MEMORYFILESYSTEM_H_
#define PAPAYARACK_STORAGE_MEMORYFILESYSTEM_H_

#include <map>
#include <string>
#include <vector>

#include "storage/filesystem.h"

namespace papayarack::storage {

/// A file system in memory that can fail as disks do. For tests and fuzzing.
/// Thread safety: none, one owner.
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

  /// Power loss: unsynced names are gone or back, and of the unsynced bytes at
  /// the end of each file only the first `kept_percent` per cent stay (a torn
  /// write).
  void Crash(unsigned kept_percent);
  /// Changes one byte that was synced long ago.
  void Corrupt(const std::string& name, std::uint64_t offset);
  /// From now on appends beyond `bytes` more are refused.
  void LimitSpace(std::uint64_t bytes);
  /// From now on every sync fails.
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
      durable;  ///< The names as of the last folder sync.
  std::uint64_t space = UINT64_MAX;
  bool syncs_fail = false;
};

}  // namespace papayarack::storage

#endif  // PAPAYARACK_STORAGE_MEMORYFILESYSTEM_H_
