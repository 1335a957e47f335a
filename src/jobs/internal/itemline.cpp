#include "jobs/itemline.h"

#include <fmt/format.h>

#include <unordered_map>

#include "global/jsonschema.h"

namespace papayarack::jobs {
namespace {

[[noreturn]] void ThrowLineError(ResultCode code, std::size_t line,
                                 std::string_view reason) {
  throw ResultError(code, fmt::format("line {}: {}", line, reason));
}

}  // namespace

ItemLine ParseItemLine(std::string_view line, std::size_t line_number) {
  const nlohmann::json document =
      ParseJson(line, fmt::format("line {}", line_number));
  if (!document.is_object()) {
    ThrowLineError(ResultCode::kBadInput, line_number,
                   "expected a JSON object");
  }
  const auto id = document.find("custom_id");
  if (id == document.end() || !id->is_string() ||
      id->get_ref<const std::string&>().empty()) {
    ThrowLineError(ResultCode::kBadInput, line_number,
                   "[/custom_id] expected a text that is not empty");
  }
  const auto body = document.find("body");
  if (body == document.end() || !body->is_object()) {
    ThrowLineError(ResultCode::kBadInput, line_number,
                   "[/body] expected an object");
  }
  const auto url = document.find("url");
  if (url != document.end() && !url->is_string()) {
    ThrowLineError(ResultCode::kBadInput, line_number,
                   "[/url] expected a text");
  }
  return {
      id->get<std::string>(),
      url != document.end() ? url->get<std::string>() : "/v1/chat/completions",
      *body};
}

std::size_t CheckInputFile(std::string_view content,
                           const InputLimits& limits) {
  std::unordered_map<std::string, std::size_t> seen;
  std::size_t line_number = 0;
  std::size_t start = 0;
  while (start < content.size()) {
    std::size_t end = content.find('\n', start);
    end = end == std::string_view::npos ? content.size() : end;
    const std::string_view line = content.substr(start, end - start);
    start = end + 1;
    ++line_number;
    if (line.size() > limits.max_line_bytes) {
      ThrowLineError(ResultCode::kTooLarge, line_number,
                     fmt::format("{} bytes, the limit is {}", line.size(),
                                 limits.max_line_bytes));
    }
    const ItemLine item = ParseItemLine(line, line_number);
    const auto [first_use, inserted] =
        seen.emplace(item.custom_id, line_number);
    if (!inserted) {
      ThrowLineError(
          ResultCode::kBadInput, line_number,
          fmt::format("[/custom_id] \"{}\" stands already in line {}",
                      item.custom_id, first_use->second));
    }
    if (line_number > limits.max_items) {
      ThrowLineError(
          ResultCode::kTooLarge, line_number,
          fmt::format("more than {} items in one job", limits.max_items));
    }
  }
  if (line_number == 0) {
    throw ResultError(ResultCode::kBadInput, "the file holds no item");
  }
  return line_number;
}

std::string OutputLine(std::string_view job, std::uint32_t item,
                       std::string_view custom_id, int status,
                       const nlohmann::json& body) {
  const nlohmann::json line = {
      {"id", fmt::format("{}-{}", job, item)},
      {"custom_id", custom_id},
      {"response", {{"status_code", status}, {"body", body}}},
      {"error", nullptr}};
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string ErrorLine(std::string_view job, std::uint32_t item,
                      std::string_view custom_id, ResultCode code,
                      std::string_view reason) {
  const nlohmann::json line = {{"id", fmt::format("{}-{}", job, item)},
                               {"custom_id", custom_id},
                               {"response", nullptr},
                               {"error",
                                {{"code", Describe(code).name},
                                 {"number", static_cast<int>(code)},
                                 {"message", reason}}}};
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace papayarack::jobs
