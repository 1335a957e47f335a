#ifndef PAPAYARACK_GLOBAL_RESULTCODE_H_
#define PAPAYARACK_GLOBAL_RESULTCODE_H_

#include <chrono>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace papayarack {

/// All outcomes. The numbers are part of the API: never reuse one. A test keeps
/// docs/RESULT_CODES.md equal to this list.
enum class ResultCode : int {
  kOk = 0,
  // 1xx: the input is wrong; nothing was stored and nothing ran.
  kBadInput = 100,
  kNotFound = 101,
  kTooLarge = 102,
  kConflict = 103,
  kUnauthorized = 104,
  kForbidden = 105,
  // 2xx: refused, not run; may be sent again.
  kOverloaded = 200,
  kNoUpstream = 201,
  kLeaving = 202,
  kStaleRevision = 203,
  kNotLeader = 204,
  kNoQuorum = 205,
  kNotReady = 206,
  kDeadlineBeforeStart = 207,
  kStorageFull = 208,
  // 3xx: it may have run; the outcome is unknown or the answer is truncated.
  kUnknownOutcome = 300,
  kUpstreamFailed = 301,
  kDeadlineWhileRunning = 302,
  kStillRunning = 303,
  kConnectionLost = 304,
  // 4xx: ended on purpose.
  kCancelled = 400,
  kPreempted = 401,
  kAlreadyDone = 402,
  kAttemptsExhausted = 403,
  kItemImpossible = 404,
  // 9xx: an internal error of papayarack.
  kInternal = 900,
  kStorageDamaged = 901,
  kProtocol = 902,
};

/// The meaning of a result code for callers and operators.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  int http_status;
  bool not_run;  ///< True only where the request certainly did not run.
  std::string_view meaning;
  std::string_view advice;
};

/// All codes in ascending order. Thread safety: immutable.
std::span<const ResultCodeInfo> AllResultCodes();

/// The entry for `code`; that of kInternal for an unknown number.
const ResultCodeInfo& Describe(ResultCode code);

/// An outcome with its explanation.
struct Result {
  ResultCode code = ResultCode::kOk;
  std::string text;  ///< For people; names the field and its location.
  std::chrono::milliseconds retry_after{0};  ///< Zero: not specified.

  bool Ok() const { return this->code == ResultCode::kOk; }
};

/// The only exception type of the project: a Result that ended an operation.
class ResultError : public std::runtime_error {
 public:
  ResultError(ResultCode code, const std::string& text);
  explicit ResultError(Result result);
  /// Thread safety: const, safe from any thread.
  const Result& result() const { return this->outcome; }

 private:
  Result outcome;
};

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_RESULTCODE_H_
