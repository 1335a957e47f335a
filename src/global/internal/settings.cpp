#include "global/settings.h"

#include <charconv>
#include <limits>

#include "global/jsonschema.h"
#include "global/resultcode.h"

namespace papayarack {
namespace {

constexpr std::string_view kSchemaText = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["role", "name"],
  "properties": {
    "role": {"type": "string", "enum": ["entry", "side", "control", "solo"]},
    "name": {"type": "string", "minLength": 1, "maxLength": 64},
    "zone": {"type": "string", "maxLength": 64},
    "peer_listen": {"$ref": "#/definitions/endpoint"},
    "http_listen": {"$ref": "#/definitions/endpoint"},
    "operator_listen": {"$ref": "#/definitions/endpoint"},
    "data_folder": {"type": "string", "minLength": 1},
    "platform_list": {"type": "string"},
    "control": {"type": "array", "maxItems": 10, "items": {
      "type": "object", "additionalProperties": false, "required": ["id", "address"],
      "properties": {"id": {"type": "integer", "minimum": 1},
                     "address": {"$ref": "#/definitions/endpoint"}}}},
    "upstreams": {"type": "array", "maxItems": 64, "items": {
      "type": "object", "additionalProperties": false,
      "required": ["service", "address", "gate_listen"],
      "properties": {"service": {"type": "string", "minLength": 1},
                     "kind": {"type": "string", "enum": ["engine", "plain"]},
                     "address": {"$ref": "#/definitions/endpoint"},
                     "gate_listen": {"$ref": "#/definitions/endpoint"},
                     "checks_fencing": {"type": "boolean"}}}},
    "heartbeat_ms": {"type": "integer", "minimum": 20, "maximum": 10000},
    "election_ms": {"type": "integer", "minimum": 50, "maximum": 60000},
    "lease_ms": {"type": "integer", "minimum": 500, "maximum": 600000},
    "shutdown_grace_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
    "drain_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
    "max_body_bytes": {"type": "integer", "minimum": 1024, "maximum": 1073741824},
    "max_line_bytes": {"type": "integer", "minimum": 256, "maximum": 16777216},
    "max_job_items": {"type": "integer", "minimum": 1, "maximum": 1000000},
    "http_threads": {"type": "integer", "minimum": 8, "maximum": 4096},
    "log": {"type": "object", "additionalProperties": false, "properties": {
      "level": {"type": "string", "enum": ["debug", "info", "warn", "error"]},
      "target": {"type": "string", "minLength": 1}}}
  },
  "definitions": {
    "endpoint": {"type": "string", "pattern": "^[0-9a-fA-F.:]+:[0-9]+$"}
  }
})json";

template <typename T>
void ReadInto(const nlohmann::json& document, const char* key, T& target) {
  const auto found = document.find(key);
  if (found != document.end()) {
    target = found->get<T>();
  }
}

void ReadMillis(const nlohmann::json& document, const char* key,
                std::chrono::milliseconds& target) {
  const auto found = document.find(key);
  if (found != document.end()) {
    target = std::chrono::milliseconds(found->get<std::int64_t>());
  }
}

UpstreamSettings ParseUpstream(const nlohmann::json& document) {
  UpstreamSettings upstream;
  ReadInto(document, "service", upstream.service);
  ReadInto(document, "kind", upstream.kind);
  ReadInto(document, "address", upstream.address);
  ReadInto(document, "gate_listen", upstream.gate_listen);
  ReadInto(document, "checks_fencing", upstream.checks_fencing);
  return upstream;
}

void ReadScalars(const nlohmann::json& document, Settings& settings) {
  ReadInto(document, "role", settings.role);
  ReadInto(document, "name", settings.name);
  ReadInto(document, "zone", settings.zone);
  ReadInto(document, "peer_listen", settings.peer_listen);
  ReadInto(document, "http_listen", settings.http_listen);
  ReadInto(document, "operator_listen", settings.operator_listen);
  ReadInto(document, "data_folder", settings.data_folder);
  ReadInto(document, "platform_list", settings.platform_list);
  ReadMillis(document, "heartbeat_ms", settings.heartbeat);
  ReadMillis(document, "election_ms", settings.election);
  ReadMillis(document, "lease_ms", settings.lease);
  ReadMillis(document, "shutdown_grace_ms", settings.shutdown_grace);
  ReadMillis(document, "drain_ms", settings.drain);
  ReadInto(document, "max_body_bytes", settings.max_body_bytes);
  ReadInto(document, "max_line_bytes", settings.max_line_bytes);
  ReadInto(document, "max_job_items", settings.max_job_items);
  ReadInto(document, "http_threads", settings.http_threads);
}

void RequireField(const std::string& value, const Settings& settings,
                  const char* field) {
  if (value.empty()) {
    throw ResultError(ResultCode::kBadInput,
                      std::string("settings: [/") + field +
                          "] required for role " + settings.role);
  }
}

void RequireForRole(const Settings& settings) {
  const bool solo = settings.role == "solo";
  if (solo || settings.role == "entry") {
    RequireField(settings.http_listen, settings, "http_listen");
  }
  if (solo || settings.role == "control") {
    RequireField(settings.data_folder, settings, "data_folder");
    RequireField(settings.peer_listen, settings, "peer_listen");
  }
  if (settings.role == "side" && settings.upstreams.size() != 1) {
    throw ResultError(
        ResultCode::kBadInput,
        "settings: [/upstreams] role side expects exactly one upstream");
  }
  if (!solo && settings.control.empty()) {
    throw ResultError(ResultCode::kBadInput,
                      "settings: [/control] expected at least one member");
  }
}

}  // namespace

Endpoint ParseEndpoint(std::string_view text, std::string_view field) {
  const std::size_t colon = text.rfind(':');
  unsigned port = 0;
  bool good = colon != std::string_view::npos && colon > 0;
  if (good) {
    const std::string_view digits = text.substr(colon + 1);
    const auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    good = parsed.ec == std::errc() &&
           parsed.ptr == digits.data() + digits.size() &&
           port <= std::numeric_limits<std::uint16_t>::max();
  }
  if (!good) {
    throw ResultError(
        ResultCode::kBadInput,
        std::string(field) + ": expected host:port, got " + std::string(text));
  }
  return {std::string(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

const nlohmann::json& SettingsSchema() {
  static const nlohmann::json kSchema = nlohmann::json::parse(kSchemaText);
  return kSchema;
}

Settings ParseSettings(const nlohmann::json& document) {
  RequireValid(SettingsSchema(), document, "settings");
  Settings settings;
  ReadScalars(document, settings);
  if (document.contains("control")) {
    for (const nlohmann::json& member : document["control"]) {
      settings.control.push_back({member["id"].get<std::uint64_t>(),
                                  member["address"].get<std::string>()});
    }
  }
  if (document.contains("upstreams")) {
    for (const nlohmann::json& upstream : document["upstreams"]) {
      settings.upstreams.push_back(ParseUpstream(upstream));
    }
  }
  if (document.contains("log")) {
    ReadInto(document["log"], "level", settings.log.level);
    ReadInto(document["log"], "target", settings.log.target);
  }
  RequireForRole(settings);
  return settings;
}

}  // namespace papayarack
