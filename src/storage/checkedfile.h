#ifndef PAPAYARACK_STORAGE_CHECKEDFILE_H_
#define PAPAYARACK_STORAGE_CHECKEDFILE_H_

#include <optional>
#include <string>
#include <string_view>

#include "storage/filesystem.h"

namespace papayarack::storage {

/// Version of every file format of the data folder; stored in the header of
/// each file.
inline constexpr std::uint32_t kFormatVersion = 1;

/// Replaces a small file atomically: the new content is written and synced,
/// then renamed over the old file, and the folder is synced. After a crash the
/// file has either the old or the new content.
void WriteCheckedFile(FileSystem& files, const std::string& name,
                      std::string_view content);

/// Returns the content, or nothing if the file does not exist. Throws
/// ResultError(kStorageDamaged) if the checksum does not match.
std::optional<std::string> ReadCheckedFile(const FileSystem& files,
                                           const std::string& name);

}  // namespace papayarack::storage

#endif  // PAPAYARACK_STORAGE_CHECKEDFILE_H_
