// g++ 12 reports a false -Wrestrict warning for std::string inside valijson's
// templates, only with optimisation.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wrestrict"
#endif

#include "global/jsonschema.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "global/resultcode.h"

namespace papayarack {
namespace {

std::string PointerOf(const std::vector<std::string>& context) {
  std::string pointer;
  for (std::string part : context) {
    // valijson writes "<root>", then "[name]" or "[index]" for each level.
    if (part == "<root>") {
      continue;
    }
    if (part.size() >= 2 && part.front() == '[' && part.back() == ']') {
      part = part.substr(1, part.size() - 2);
    }
    pointer += "/" + part;
  }
  return pointer;
}

}  // namespace

std::vector<SchemaError> ValidateJson(const nlohmann::json& schema,
                                      const nlohmann::json& document) {
  valijson::Schema parsed;
  valijson::SchemaParser parser;
  const valijson::adapters::NlohmannJsonAdapter schema_adapter(schema);
  parser.populateSchema(schema_adapter, parsed);
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter adapter(document);
  std::vector<SchemaError> errors;
  if (validator.validate(parsed, adapter, &results)) {
    return errors;
  }
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    errors.push_back({PointerOf(error.context), error.description});
  }
  return errors;
}

nlohmann::json ParseJson(std::string_view text, std::string_view what) {
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::parse_error& error) {
    const std::string_view before =
        text.substr(0, std::min(error.byte, text.size()));
    const auto line = std::ranges::count(before, '\n') + 1;
    const std::size_t last_newline = before.rfind('\n');
    const std::size_t column = last_newline == std::string_view::npos
                                   ? before.size()
                                   : before.size() - last_newline - 1;
    throw ResultError(
        ResultCode::kBadInput,
        fmt::format("{}: not JSON at line {}, column {}", what, line, column));
  }
}

void RequireValid(const nlohmann::json& schema, const nlohmann::json& document,
                  std::string_view what) {
  const std::vector<SchemaError> errors = ValidateJson(schema, document);
  if (errors.empty()) {
    return;
  }
  std::string text = fmt::format("{}:", what);
  for (const SchemaError& error : errors) {
    text += fmt::format(" [{}] {}", error.pointer, error.message);
  }
  throw ResultError(ResultCode::kBadInput, text);
}

std::string ReadWholeFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw ResultError(ResultCode::kNotFound, path + ": cannot be read");
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

}  // namespace papayarack
