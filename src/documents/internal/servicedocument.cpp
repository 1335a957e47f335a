#include "documents/servicedocument.h"

#include <algorithm>

#include "global/jsonschema.h"
#include "global/resultcode.h"

namespace papayarack::documents {
namespace {

constexpr std::string_view kSchemaText = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["service", "version", "owner", "work"],
  "properties": {
    "service": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
    "version": {"type": "integer", "minimum": 1},
    "owner": {"type": "string", "minLength": 1, "maxLength": 64},
    "kind": {"type": "string", "enum": ["engine", "plain"]},
    "models": {"type": "array", "maxItems": 16, "items": {
      "type": "object", "additionalProperties": false, "required": ["name", "version"],
      "properties": {"name": {"type": "string", "minLength": 1},
                     "version": {"type": "string", "minLength": 1},
                     "adapters": {"type": "array", "items": {"type": "string"}}}}},
    "work": {"type": "array", "minItems": 1, "maxItems": 32, "items": {
      "type": "object", "additionalProperties": false, "required": ["name", "class"],
      "properties": {"name": {"type": "string", "minLength": 1, "maxLength": 64},
                     "class": {"type": "string", "enum": ["online", "batch"]},
                     "first_token_ms": {"type": "integer", "minimum": 1, "maximum": 600000},
                     "between_tokens_ms": {"type": "integer", "minimum": 1, "maximum": 60000},
                     "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 86400000},
                     "due_in_s": {"type": "integer", "minimum": 1, "maximum": 2592000},
                     "max_attempts": {"type": "integer", "minimum": 1, "maximum": 100},
                     "max_items": {"type": "integer", "minimum": 1, "maximum": 1000000},
                     "repeatable": {"type": "boolean"}}}},
    "max_queue": {"type": "integer", "minimum": 0, "maximum": 100000},
    "max_concurrent": {"type": "integer", "minimum": 1, "maximum": 4096},
    "learn_limit": {"type": "boolean"},
    "keep_results_days": {"type": "integer", "minimum": 1, "maximum": 3650}
  }
})json";

template <typename Rep, typename Period>
void ReadDuration(const nlohmann::json& from, const char* key,
                  std::chrono::duration<Rep, Period>& target) {
  if (from.contains(key)) {
    target = std::chrono::duration<Rep, Period>(from[key].get<Rep>());
  }
}

WorkKind ParseWork(const nlohmann::json& from) {
  WorkKind work;
  work.name = from["name"].get<std::string>();
  work.work_class =
      from["class"] == "batch" ? WorkClass::kBatch : WorkClass::kOnline;
  ReadDuration(from, "first_token_ms", work.first_token);
  ReadDuration(from, "between_tokens_ms", work.between_tokens);
  ReadDuration(from, "deadline_ms", work.deadline);
  ReadDuration(from, "due_in_s", work.due_in);
  work.max_attempts = from.value("max_attempts", work.max_attempts);
  work.max_items = from.value("max_items", work.max_items);
  work.repeatable = from.value("repeatable", work.repeatable);
  return work;
}

void RequireDistinctWork(const ServiceDocument& document) {
  for (std::size_t i = 0; i < document.work.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (document.work[i].name == document.work[j].name) {
        throw ResultError(ResultCode::kBadInput,
                          "document: [/work/" + std::to_string(i) +
                              "/name] is used twice: " + document.work[i].name);
      }
    }
  }
}

}  // namespace

const WorkKind* ServiceDocument::FindWork(std::string_view name,
                                          WorkClass work_class) const {
  const auto found =
      std::ranges::find_if(this->work, [&](const WorkKind& kind) {
        return kind.work_class == work_class &&
               (name.empty() || kind.name == name);
      });
  return found != this->work.end() ? &*found : nullptr;
}

const nlohmann::json& DocumentSchema() {
  static const nlohmann::json kSchema = nlohmann::json::parse(kSchemaText);
  return kSchema;
}

ServiceDocument ParseDocument(const nlohmann::json& document) {
  RequireValid(DocumentSchema(), document, "document");
  ServiceDocument parsed;
  parsed.service = document["service"].get<std::string>();
  parsed.version = document["version"].get<std::uint64_t>();
  parsed.owner = document["owner"].get<std::string>();
  parsed.kind = document.value("kind", parsed.kind);
  if (document.contains("models")) {
    for (const nlohmann::json& model : document["models"]) {
      parsed.models.push_back(
          {model["name"].get<std::string>(),
           model["version"].get<std::string>(),
           model.value("adapters", std::vector<std::string>{})});
    }
  }
  for (const nlohmann::json& work : document["work"]) {
    parsed.work.push_back(ParseWork(work));
  }
  parsed.max_queue = document.value("max_queue", parsed.max_queue);
  parsed.max_concurrent =
      document.value("max_concurrent", parsed.max_concurrent);
  parsed.learn_limit = document.value("learn_limit", parsed.learn_limit);
  parsed.keep_results_days =
      document.value("keep_results_days", parsed.keep_results_days);
  RequireDistinctWork(parsed);
  return parsed;
}

std::string CanonicalText(const nlohmann::json& document) {
  return document.dump();
}

std::vector<std::string> DescribeDifference(const nlohmann::json& in_force,
                                            const nlohmann::json& submitted) {
  std::vector<std::string> lines;
  for (const nlohmann::json& step : nlohmann::json::diff(in_force, submitted)) {
    const std::string path = step["path"].get<std::string>();
    std::string line = step["op"].get<std::string>() + " " + path;
    if (step.contains("value")) {
      line += " to " + step["value"].dump();
    }
    lines.push_back(line);
  }
  return lines;
}

}  // namespace papayarack::documents
