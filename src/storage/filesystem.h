#ifndef PAPAYARACK_STORAGE_FILESYSTEM_H_
#define PAPAYARACK_STORAGE_FILESYSTEM_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace papayarack::storage {

/// The file operations needed for durable state, as an interface, so that tests
/// can lose unsynced data, tear a write or fill the disk. A written byte
/// survives a crash only after SyncFile; a new, renamed or removed name only
/// after SyncFolder. All files are in one flat folder. Every method throws
/// ResultError(kStorageFull) if the disk has no space, and
/// ResultError(kStorageDamaged) for any other failure. Thread safety: any
/// thread, but one writer per file.
class FileSystem {
 public:
  FileSystem() = default;
  virtual ~FileSystem() = default;
  FileSystem(const FileSystem&) = delete;
  FileSystem& operator=(const FileSystem&) = delete;

  virtual std::vector<std::string> List() const = 0;  ///< Names, sorted.
  virtual bool Exists(const std::string& name) const = 0;
  virtual std::uint64_t Size(const std::string& name) const = 0;
  /// Returns up to `length` bytes from `offset`; fewer at the end of the file.
  virtual std::string Read(const std::string& name, std::uint64_t offset,
                           std::size_t length) const = 0;
  /// Appends to the file, creating it if needed.
  virtual void Append(const std::string& name, std::string_view bytes) = 0;
  virtual void Truncate(const std::string& name, std::uint64_t size) = 0;
  virtual void Rename(const std::string& from, const std::string& to) = 0;
  virtual void Remove(const std::string& name) = 0;
  virtual void SyncFile(const std::string& name) = 0;
  virtual void SyncFolder() = 0;
};

/// Opens `folder` on the real file system, creating it if needed.
std::unique_ptr<FileSystem> OpenPosixFileSystem(const std::string& folder);

}  // namespace papayarack::storage

#endif  // PAPAYARACK_STORAGE_FILESYSTEM_H_
