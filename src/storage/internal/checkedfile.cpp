#include "storage/checkedfile.h"

#include "global/hash.h"
#include "global/resultcode.h"
#include "storage/internal/littleendian.h"

namespace papayarack::storage {
namespace {
constexpr std::size_t kHeaderBytes =
    sizeof(std::uint32_t) + sizeof(std::uint64_t);
}  // namespace

void WriteCheckedFile(FileSystem& files, const std::string& name,
                      std::string_view content) {
  const std::string temporary = name + ".new";
  files.Remove(temporary);
  std::string header;
  PutInteger(header, kFormatVersion);
  PutInteger(header, Hash64(content));
  files.Append(temporary, header);
  files.Append(temporary, content);
  files.SyncFile(temporary);
  files.Rename(temporary, name);
  files.SyncFolder();
}

std::optional<std::string> ReadCheckedFile(const FileSystem& files,
                                           const std::string& name) {
  if (!files.Exists(name)) {
    return std::nullopt;
  }
  const std::string bytes = files.Read(name, 0, files.Size(name));
  if (bytes.size() < kHeaderBytes) {
    throw ResultError(ResultCode::kStorageDamaged,
                      name + ": shorter than its head");
  }
  if (GetInteger<std::uint32_t>(bytes, 0) != kFormatVersion) {
    throw ResultError(ResultCode::kStorageDamaged,
                      name + ": unknown format version");
  }
  const std::string content = bytes.substr(kHeaderBytes);
  if (GetInteger<std::uint64_t>(bytes, sizeof(std::uint32_t)) !=
      Hash64(content)) {
    throw ResultError(ResultCode::kStorageDamaged,
                      name + ": checksum does not fit");
  }
  return content;
}

}  // namespace papayarack::storage
