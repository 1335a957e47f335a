#ifndef PAPAYARACK_ENTRY_INTERNAL_HTTPERROR_H_
#define PAPAYARACK_ENTRY_INTERNAL_HTTPERROR_H_

#include <httplib.h>

#include <functional>
#include <nlohmann/json.hpp>

#include "global/resultcode.h"

namespace papayarack::entry {

/// The error object that callers' client libraries parse, with the numbered
/// code and whether the request was certainly not run.
nlohmann::json ErrorBody(const Result& result, bool not_run);

/// Fills a response with an error; Retry-After when there is advice on when.
void SetError(httplib::Response& response, const Result& result, bool not_run);

/// Sets a JSON answer.
void SetJson(httplib::Response& response, const nlohmann::json& body);

/// Runs a handler; a ResultError or a malformed body becomes an error response.
void Guarded(httplib::Response& response, const std::function<void()>& handler);

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_INTERNAL_HTTPERROR_H_
