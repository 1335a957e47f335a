#ifndef PAPAYARACK_OPERATORS_INTERNAL_ENTRYCLIENT_H_
#define PAPAYARACK_OPERATORS_INTERNAL_ENTRYCLIENT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "cli/commandtable.h"

namespace papayarack::operators {

/// The response of an entry to an operator's request.
struct EntryAnswer {
  int status = 0;
  nlohmann::json body;

  bool Ok() const { return this->status >= 200 && this->status < 300; }
};

/// HTTP client for one process. Throws ResultError(kNoUpstream) if the process
/// cannot be reached. Thread safety: none.
class EntryClient {
 public:
  /// Uses the address from --entry, else from PAPAYARACK_ENTRY, else
  /// 127.0.0.1:8080.
  explicit EntryClient(const cli::Arguments& arguments);
  EntryAnswer Get(const std::string& path) const;
  EntryAnswer Put(const std::string& path, const std::string& body) const;
  EntryAnswer Post(const std::string& path, const std::string& body) const;

 private:
  std::string address;
  std::string team;
};

/// Prints the error of a response and returns the matching exit code.
cli::ExitCode PrintError(const EntryAnswer& answer);

}  // namespace papayarack::operators

#endif  // PAPAYARACK_OPERATORS_INTERNAL_ENTRYCLIENT_H_
