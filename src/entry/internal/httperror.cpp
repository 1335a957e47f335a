#include "entry/internal/httperror.h"

#include <fmt/format.h>

#include <algorithm>

#include "global/logging.h"

namespace papayarack::entry {
namespace {

const char* TypeOf(int status) {
  if (status == 401 || status == 403) {
    return "authentication_error";
  }
  if (status == 429) {
    return "rate_limit_error";
  }
  return status < 500 ? "invalid_request_error" : "server_error";
}

}  // namespace

nlohmann::json ErrorBody(const Result& result, bool not_run) {
  const ResultCodeInfo& info = Describe(result.code);
  return {{"error",
           {{"message", result.text},
            {"type", TypeOf(info.http_status)},
            {"param", nullptr},
            {"code", info.name},
            {"number", static_cast<int>(info.code)},
            {"not_run", not_run}}}};
}

void SetError(httplib::Response& response, const Result& result, bool not_run) {
  response.status = Describe(result.code).http_status;
  response.set_content(
      ErrorBody(result, not_run)
              .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
          "\n",
      "application/json");
  if (result.retry_after.count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(result.retry_after);
    response.set_header("Retry-After", fmt::format("{}", seconds.count()));
    response.set_header("Retry-After-Ms",
                        fmt::format("{}", result.retry_after.count()));
  }
}

void SetJson(httplib::Response& response, const nlohmann::json& body) {
  response.set_content(body.dump(2) + "\n", "application/json");
}

void Guarded(httplib::Response& response,
             const std::function<void()>& handler) {
  try {
    handler();
  } catch (const ResultError& error) {
    SetError(response, error.result(), Describe(error.result().code).not_run);
  } catch (const nlohmann::json::exception& error) {
    SetError(response, {ResultCode::kBadInput, error.what(), {}}, true);
  } catch (const std::exception& error) {
    Log(LogLevel::kError, "handler_failed", {{"reason", error.what()}});
    SetError(response, {ResultCode::kInternal, error.what(), {}}, false);
  }
}

}  // namespace papayarack::entry
