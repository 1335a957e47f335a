#ifndef PAPAYARACK_NODES_PLAINRESPONSES_H_
#define PAPAYARACK_NODES_PLAINRESPONSES_H_

#include <string>

#include "global/resultcode.h"
#include "http/httpserver.h"

/// Answers that a process makes itself, without an engine's.
namespace papayarack::nodes {

inline constexpr int kOk = 200;
inline constexpr int kAccepted = 202;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFoundStatus = 404;
inline constexpr int kConflictStatus = 409;
inline constexpr int kTooMany = 429;
inline constexpr int kServiceUnavailable = 503;

/// Retry-After of a refusal that has no better figure, in seconds: an election
/// takes 0.6 to 1.2 s.
inline constexpr const char* kRetryAfter = "0.8";

/// An answer without a body; a refusal says when to come back. Thread safety of
/// these functions: any thread.
http::HttpResponse EmptyResponse(int status);
http::HttpResponse JsonResponse(std::string body);
/// The status for a call whose answer is only its result.
int HttpStatusOf(ResultCode code, int success);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_PLAINRESPONSES_H_
