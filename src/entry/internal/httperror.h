#ifndef PAPAYARACK_ENTRY_INTERNAL_HTTPERROR_H_
#define PAPAYARACK_ENTRY_INTERNAL_HTTPERROR_H_

#include <httplib.h>

#include <functional>
#include <nlohmann/json.hpp>

#include "global/resultcode.h"

namespace papayarack::entry {

/// Returns the error object in the form that client libraries parse, with the
/// numeric result code and whether the request was certainly not run.
nlohmann::json ErrorBody(const Result& result, bool not_run);

/// Fills a response with an error, and Retry-After if the result has a retry
/// time.
void SetError(httplib::Response& response, const Result& result, bool not_run);

/// Sets a JSON body.
void SetJson(httplib::Response& response, const nlohmann::json& body);

/// Runs a handler and turns its exceptions into an error response.
void Guarded(httplib::Response& response, const std::function<void()>& handler);

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_INTERNAL_HTTPERROR_H_
