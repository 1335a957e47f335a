#include "nodes/plainresponses.h"

#include <utility>

namespace papayarack::nodes {

http::HttpResponse EmptyResponse(int status) {
  http::HttpResponse response;
  response.status = status;
  if (status == kServiceUnavailable || status == kTooMany) {
    response.headers.Add("Retry-After", kRetryAfter);
  }
  return response;
}

http::HttpResponse ElsewhereResponse() {
  http::HttpResponse response = EmptyResponse(kServiceUnavailable);
  response.headers.Set("Retry-After", kRetryElsewhere);
  return response;
}

http::HttpResponse JsonResponse(std::string body) {
  http::HttpResponse response;
  response.headers.Add("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

int HttpStatusOf(ResultCode code, int success) {
  switch (code) {
    case ResultCode::kOk:
      return success;
    case ResultCode::kNotFound:
      return kNotFoundStatus;
    case ResultCode::kConflict:
      return kConflictStatus;
    case ResultCode::kOverloaded:
      return kTooMany;
    default:
      return Describe(code).not_run ? kServiceUnavailable : kBadGateway;
  }
}

int ReadStatusOf(ResultCode code) {
  switch (code) {
    case ResultCode::kOk:
      return kOk;
    case ResultCode::kNotFound:
      return kNotFoundStatus;
    default:
      return kServiceUnavailable;
  }
}

}  // namespace papayarack::nodes
