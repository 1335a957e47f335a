#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <map>
#include <mutex>

#include "global/resultcode.h"
#include "storage/filesystem.h"

namespace papayarack::storage {
namespace {

[[noreturn]] void Fail(const std::string& name) {
  const int error = errno;
  const bool full = error == ENOSPC || error == EDQUOT || error == EFBIG;
  throw ResultError(
      full ? ResultCode::kStorageFull : ResultCode::kStorageDamaged,
      name + ": " + std::strerror(error));
}

/// File system on a real disk. Keeps a limited number of descriptors open.
class PosixFileSystem : public FileSystem {
 public:
  explicit PosixFileSystem(std::string folder) : folder(std::move(folder)) {
    std::error_code error;
    std::filesystem::create_directories(this->folder, error);
    this->folder_descriptor =
        ::open(this->folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (this->folder_descriptor < 0) {
      Fail(this->folder);
    }
  }

  ~PosixFileSystem() override {
    for (const auto& [name, descriptor] : this->open_files) {
      ::close(descriptor);
    }
    ::close(this->folder_descriptor);
  }

  std::vector<std::string> List() const override {
    std::vector<std::string> names;
    for (const auto& entry :
         std::filesystem::directory_iterator(this->folder)) {
      if (entry.is_regular_file()) {
        names.push_back(entry.path().filename().string());
      }
    }
    std::ranges::sort(names);
    return names;
  }

  bool Exists(const std::string& name) const override {
    return std::filesystem::exists(this->Path(name));
  }

  std::uint64_t Size(const std::string& name) const override {
    struct stat info {};
    if (::fstatat(this->folder_descriptor, name.c_str(), &info, 0) != 0) {
      Fail(name);
    }
    return static_cast<std::uint64_t>(info.st_size);
  }

  std::string Read(const std::string& name, std::uint64_t offset,
                   std::size_t length) const override {
    const std::lock_guard lock(this->mutex);
    const int descriptor = this->Open(name);
    std::string bytes(length, '\0');
    std::size_t filled = 0;
    while (filled < length) {
      const ssize_t count =
          ::pread(descriptor, bytes.data() + filled, length - filled,
                  static_cast<off_t>(offset + filled));
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        Fail(name);
      }
      if (count == 0) {
        break;
      }
      filled += static_cast<std::size_t>(count);
    }
    bytes.resize(filled);
    return bytes;
  }

  void Append(const std::string& name, std::string_view bytes) override {
    const std::lock_guard lock(this->mutex);
    const int descriptor = this->Open(name);
    while (!bytes.empty()) {
      const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written < 0) {
        Fail(name);
      }
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
  }

  void Truncate(const std::string& name, std::uint64_t size) override {
    const std::lock_guard lock(this->mutex);
    if (::ftruncate(this->Open(name), static_cast<off_t>(size)) != 0) {
      Fail(name);
    }
  }

  void Rename(const std::string& from, const std::string& to) override {
    const std::lock_guard lock(this->mutex);
    this->CloseFile(from);
    this->CloseFile(to);
    if (::renameat(this->folder_descriptor, from.c_str(),
                   this->folder_descriptor, to.c_str()) != 0) {
      Fail(from);
    }
  }

  void Remove(const std::string& name) override {
    const std::lock_guard lock(this->mutex);
    this->CloseFile(name);
    if (::unlinkat(this->folder_descriptor, name.c_str(), 0) != 0 &&
        errno != ENOENT) {
      Fail(name);
    }
  }

  void SyncFile(const std::string& name) override {
    int descriptor = -1;
    {
      const std::lock_guard lock(this->mutex);
      descriptor = ::dup(this->Open(name));
    }
    const int outcome = ::fdatasync(descriptor);
    const int error = errno;
    ::close(descriptor);
    if (outcome != 0) {
      errno = error;
      Fail(name);
    }
  }

  void SyncFolder() override {
    if (::fsync(this->folder_descriptor) != 0) {
      Fail(this->folder);
    }
  }

 private:
  static constexpr std::size_t kMaxOpenFiles = 64;

  std::string Path(const std::string& name) const {
    return this->folder + "/" + name;
  }

  int Open(const std::string& name) const {
    const auto found = this->open_files.find(name);
    if (found != this->open_files.end()) {
      return found->second;
    }
    if (this->open_files.size() >= kMaxOpenFiles) {
      for (const auto& [other, descriptor] : this->open_files) {
        ::close(descriptor);
      }
      this->open_files.clear();
    }
    const int descriptor =
        ::openat(this->folder_descriptor, name.c_str(),
                 O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
    if (descriptor < 0) {
      Fail(name);
    }
    this->open_files.emplace(name, descriptor);
    return descriptor;
  }

  void CloseFile(const std::string& name) {
    const auto found = this->open_files.find(name);
    if (found != this->open_files.end()) {
      ::close(found->second);
      this->open_files.erase(found);
    }
  }

  std::string folder;
  int folder_descriptor = -1;
  mutable std::mutex mutex;
  mutable std::map<std::string, int> open_files;
};

}  // namespace

std::unique_ptr<FileSystem> OpenPosixFileSystem(const std::string& folder) {
  return std::make_unique<PosixFileSystem>(folder);
}

}  // namespace papayarack::storage
