#ifndef PAPAYARACK_STORAGE_CHECKEDFILE_H_
#define PAPAYARACK_STORAGE_CHECKEDFILE_H_

#include <optional>
#include <string>
#include <string_view>

#include "storage/filesystem.h"

namespace papayarack::storage {

/// Version of every file format of the data folder; stands in the head of each
/// file.
inline constexpr std::uint32_t kFormatVersion = 1;

/// Replaces a small file as a whole: new content, synced, then renamed over the
/// old one, folder synced. After a crash the old or the new content stands,
/// never a mixture.
void WriteCheckedFile(FileSystem& files, const std::string& name,
                      std::string_view content);

/// The content, or nothing when there is no such file. Throws
/// ResultError(kStorageDamaged) when its checksum does not fit.
std::optional<std::string> ReadCheckedFile(const FileSystem& files,
                                           const std::string& name);

}  // namespace papayarack::storage

#endif  // PAPAYARACK_STORAGE_CHECKEDFILE_H_
