#include "storage/memoryfilesystem.h"

#include <algorithm>

#include "global/resultcode.h"

namespace papayarack::storage {

MemoryFileSystem::File& MemoryFileSystem::Get(const std::string& name) {
  const auto found = this->files.find(name);
  if (found == this->files.end()) {
    throw ResultError(ResultCode::kStorageDamaged, name + ": no such file");
  }
  return found->second;
}

const MemoryFileSystem::File& MemoryFileSystem::Get(
    const std::string& name) const {
  const auto found = this->files.find(name);
  if (found == this->files.end()) {
    throw ResultError(ResultCode::kStorageDamaged, name + ": no such file");
  }
  return found->second;
}

std::vector<std::string> MemoryFileSystem::List() const {
  std::vector<std::string> names;
  for (const auto& [name, file] : this->files) {
    names.push_back(name);
  }
  return names;
}

bool MemoryFileSystem::Exists(const std::string& name) const {
  return this->files.count(name) > 0;
}

std::uint64_t MemoryFileSystem::Size(const std::string& name) const {
  return this->Get(name).content.size();
}

std::string MemoryFileSystem::Read(const std::string& name,
                                   std::uint64_t offset,
                                   std::size_t length) const {
  const File& file = this->Get(name);
  return offset >= file.content.size() ? std::string()
                                       : file.content.substr(offset, length);
}

void MemoryFileSystem::Append(const std::string& name, std::string_view bytes) {
  if (bytes.size() > this->free_space) {
    throw ResultError(ResultCode::kStorageFull, name + ": no space left");
  }
  if (this->free_space != UINT64_MAX) {
    this->free_space -= bytes.size();
  }
  this->files[name].content.append(bytes);
}

void MemoryFileSystem::Truncate(const std::string& name, std::uint64_t size) {
  File& file = this->Get(name);
  file.content.resize(size);
  file.synced = std::min(file.synced, size);
}

void MemoryFileSystem::Rename(const std::string& from, const std::string& to) {
  File moved = this->Get(from);
  this->files.erase(from);
  this->files[to] = std::move(moved);
}

void MemoryFileSystem::Remove(const std::string& name) {
  this->files.erase(name);
}

void MemoryFileSystem::SyncFile(const std::string& name) {
  if (this->syncs_fail) {
    throw ResultError(ResultCode::kStorageDamaged, name + ": sync failed");
  }
  File& file = this->Get(name);
  file.synced = file.content.size();
  const auto known = this->durable.find(name);
  if (known != this->durable.end()) {
    known->second = file;
  }
}

void MemoryFileSystem::SyncFolder() {
  if (this->syncs_fail) {
    throw ResultError(ResultCode::kStorageDamaged, "folder sync failed");
  }
  this->durable = this->files;
}

void MemoryFileSystem::Crash(unsigned kept_percent) {
  std::map<std::string, File> after = this->durable;
  for (auto& [name, file] : after) {
    const auto current = this->files.find(name);
    const bool same_file =
        current != this->files.end() && current->second.synced >= file.synced;
    if (same_file) {
      const std::uint64_t synced = current->second.synced;
      const std::uint64_t tail = current->second.content.size() - synced;
      file.content =
          current->second.content.substr(0, synced + tail * kept_percent / 100);
    } else {
      file.content.resize(file.synced);
    }
    file.synced = file.content.size();
  }
  this->files = after;
  this->durable = std::move(after);
}

void MemoryFileSystem::Corrupt(const std::string& name, std::uint64_t offset) {
  char& byte = this->Get(name).content.at(offset);
  byte = static_cast<char>(byte ^ 0x5A);
}

void MemoryFileSystem::LimitSpace(std::uint64_t bytes) {
  this->free_space = bytes;
}

}  // namespace papayarack::storage
