#ifndef PAPAYARACK_GLOBAL_JSONSCHEMA_H_
#define PAPAYARACK_GLOBAL_JSONSCHEMA_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace papayarack {

/// One schema violation in a JSON document.
struct SchemaError {
  std::string
      pointer;  ///< JSON pointer to the value, empty for the whole document.
  std::string message;  ///< What was expected.
};

/// All errors in document order; empty when `document` is valid. Thread safety:
/// any thread.
std::vector<SchemaError> ValidateJson(const nlohmann::json& schema,
                                      const nlohmann::json& document);

/// Parses JSON. Throws ResultError(kBadInput) with `what`, line and column.
nlohmann::json ParseJson(std::string_view text, std::string_view what);

/// Throws ResultError(kBadInput) listing all errors if there are any.
void RequireValid(const nlohmann::json& schema, const nlohmann::json& document,
                  std::string_view what);

/// Reads a whole file. Throws ResultError(kNotFound) when it cannot be read.
std::string ReadWholeFile(const std::string& path);

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_JSONSCHEMA_H_
