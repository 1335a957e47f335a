#include "operators/internal/checkcommand.h"

#include <filesystem>
#include <iostream>

#include "consensus/durablelog.h"
#include "documents/servicedocument.h"
#include "global/jsonschema.h"
#include "global/settings.h"
#include "storage/segmentedlog.h"

namespace papayarack::operators {
namespace {

cli::ExitCode PrintErrors(const std::string& path,
                          const std::vector<SchemaError>& errors) {
  for (const SchemaError& error : errors) {
    std::cerr << path << ": [" << error.pointer << "] " << error.message
              << "\n";
  }
  return cli::ExitCode::kBadInput;
}

cli::ExitCode CheckJsonFile(const std::string& path) {
  const nlohmann::json document = ParseJson(ReadWholeFile(path), path);
  const bool settings = document.is_object() && document.contains("role");
  const nlohmann::json& schema =
      settings ? SettingsSchema() : documents::DocumentSchema();
  const std::vector<SchemaError> errors = ValidateJson(schema, document);
  if (!errors.empty()) {
    return PrintErrors(path, errors);
  }
  if (settings) {
    ParseSettings(document);
  } else {
    documents::ParseDocument(document);
  }
  std::cout << path << ": valid "
            << (settings ? "settings" : "service document") << "\n";
  return cli::ExitCode::kOk;
}

/// Read-only file system that ignores writes, so that recovery runs as at the
/// start of a member without changing the data folder.
class ReadOnlyView : public storage::FileSystem {
 public:
  explicit ReadOnlyView(storage::FileSystem& real) : real(real) {}
  std::vector<std::string> List() const override { return this->real.List(); }
  bool Exists(const std::string& name) const override {
    return this->real.Exists(name);
  }
  std::uint64_t Size(const std::string& name) const override {
    return this->real.Size(name);
  }
  std::string Read(const std::string& name, std::uint64_t offset,
                   std::size_t length) const override {
    return this->real.Read(name, offset, length);
  }
  void Append(const std::string& /*name*/,
              std::string_view /*bytes*/) override {}
  void Truncate(const std::string& /*name*/, std::uint64_t /*size*/) override {}
  void Rename(const std::string& /*from*/, const std::string& /*to*/) override {
  }
  void Remove(const std::string& /*name*/) override {}
  void SyncFile(const std::string& /*name*/) override {}
  void SyncFolder() override {}

 private:
  storage::FileSystem& real;
};

cli::ExitCode CheckFolder(const std::string& path) {
  const auto files = storage::OpenPosixFileSystem(path);
  const auto identity = consensus::ReadIdentity(*files);
  if (!identity.has_value()) {
    std::cerr << path << ": not a formatted data folder\n";
    return cli::ExitCode::kBadInput;
  }
  ReadOnlyView view(*files);
  consensus::DurableLog log(view, 0);
  const consensus::RecoveredState state = log.Recover();
  std::cout << path << ": member " << identity->member << ", term "
            << state.hard_state.term << ", snapshot at " << state.snapshot.index
            << " with " << state.snapshot.blob_length << " blob bytes, "
            << state.entries.size() << " entries after it";
  if (state.cut_bytes > 0) {
    std::cout << ", a torn tail of " << state.cut_bytes
              << " bytes that the next start will truncate";
  }
  std::cout << "\n";
  for (const std::string& name : files->List()) {
    std::cout << "  " << name << " " << files->Size(name) << "\n";
  }
  return cli::ExitCode::kOk;
}

}  // namespace

cli::ExitCode RunCheck(const std::string& path) {
  return std::filesystem::is_directory(path) ? CheckFolder(path)
                                             : CheckJsonFile(path);
}

}  // namespace papayarack::operators
