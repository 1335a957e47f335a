#ifndef PAPAYARACK_NODES_PLAINRESPONSES_H_
#define PAPAYARACK_NODES_PLAINRESPONSES_H_

#include <string>

#include "global/resultcode.h"
#include "http/httpserver.h"

/// HTTP answers that a process creates itself, without an engine.
namespace papayarack::nodes {

inline constexpr int kOk = 200;
inline constexpr int kAccepted = 202;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFoundStatus = 404;
inline constexpr int kConflictStatus = 409;
inline constexpr int kTooMany = 429;
inline constexpr int kBadGateway = 502;
inline constexpr int kServiceUnavailable = 503;

/// Retry-After, in seconds, of a refusal without a better estimate: an election
/// takes 0.6 to 1.2 s.
inline constexpr const char* kRetryAfter = "0.8";

/// The same where another process can take the request now.
inline constexpr const char* kRetryElsewhere = "0.05";

/// An answer without a body; 429 and 503 get a Retry-After. Thread safety of
/// these functions: any thread.
http::HttpResponse EmptyResponse(int status);
/// 503 for a request that did not run: another process can take it now.
http::HttpResponse ElsewhereResponse();
http::HttpResponse JsonResponse(std::string body);
/// The HTTP status for the result of a call that changes something; `success`
/// is used for kOk. 429 and 503 promise that it was not done and never will be.
int HttpStatusOf(ResultCode code, int success);
/// The same for a call that changes nothing: a read that failed may be repeated
/// soon, while 429 would mean a full quota.
int ReadStatusOf(ResultCode code);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_PLAINRESPONSES_H_
