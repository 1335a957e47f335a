#include "global/resultcode.h"

#include <algorithm>
#include <array>
#include <utility>

namespace papayarack {
namespace {

using enum ResultCode;

constexpr std::array kTable = {
    ResultCodeInfo{kOk, "ok", 200, false, "done", "nothing to do"},
    ResultCodeInfo{kBadInput, "bad_input", 400, true,
                   "the input breaks a stated rule",
                   "mend the named field and send again"},
    ResultCodeInfo{
        kNotFound, "not_found", 404, true, "no such service, job, file or item",
        "check the id; results are kept for the time the document states"},
    ResultCodeInfo{kTooLarge, "too_large", 413, true,
                   "body, line or job is over its limit", "split the work"},
    ResultCodeInfo{kConflict, "conflict", 409, true,
                   "another content holds this version or key",
                   "read what is in force, merge, and submit the next version"},
    ResultCodeInfo{kUnauthorized, "unauthorized", 401, true,
                   "no valid bearer token",
                   "send a token that the settings know"},
    ResultCodeInfo{kForbidden, "forbidden", 403, true,
                   "the token lacks this scope or team",
                   "use a token with the scope"},
    ResultCodeInfo{kOverloaded, "overloaded", 429, true,
                   "queues are full or the wait is too long",
                   "retry after the stated time; add replicas if it lasts"},
    ResultCodeInfo{kNoUpstream, "no_upstream", 503, true,
                   "no upstream can take this service now",
                   "look at the members in the dump"},
    ResultCodeInfo{kLeaving, "leaving", 503, true,
                   "this process is shutting down",
                   "retry; the balancer should have moved on"},
    ResultCodeInfo{
        kStaleRevision, "stale_revision", 503, true,
        "the request came under an older document than the gate holds",
        "the entry refreshes and repeats by itself; check its link to control "
        "if it lasts"},
    ResultCodeInfo{kNotLeader, "not_leader", 503, true,
                   "this control member does not lead",
                   "the sender tries the next member by itself"},
    ResultCodeInfo{kNoQuorum, "no_quorum", 503, true,
                   "control has no majority in reach",
                   "bring control members back; online work goes on meanwhile"},
    ResultCodeInfo{kNotReady, "not_ready", 503, true,
                   "the process has not confirmed its revision",
                   "wait; if it lasts check its link to control"},
    ResultCodeInfo{kDeadlineBeforeStart, "deadline_before_start", 504, true,
                   "the deadline passed before the request could start",
                   "raise the deadline or retry"},
    ResultCodeInfo{kStorageFull, "storage_full", 503, true,
                   "the data folder cannot take more",
                   "free space on the control VM, then restart that member"},
    ResultCodeInfo{kUnknownOutcome, "unknown_outcome", 502, false,
                   "the request may have run; nobody knows",
                   "check the effect before sending it under a new key"},
    ResultCodeInfo{
        kUpstreamFailed, "upstream_failed", 502, false,
        "the upstream ended the answer before it was whole",
        "retry if it may be repeated; look at the set-aside list in the dump"},
    ResultCodeInfo{kDeadlineWhileRunning, "deadline_while_running", 504, false,
                   "the deadline passed while it ran", "raise the deadline"},
    ResultCodeInfo{kStillRunning, "still_running", 409, false,
                   "an earlier request with this key is still running",
                   "wait for that one"},
    ResultCodeInfo{
        kConnectionLost, "connection_lost", 502, false,
        "the connection between two processes went away",
        "retry if it may be repeated; check the network if it lasts"},
    ResultCodeInfo{kCancelled, "cancelled", 499, false,
                   "cancelled by its owner", "nothing to do"},
    ResultCodeInfo{kPreempted, "preempted", 503, false,
                   "batch work stepped aside for online work",
                   "nothing to do; it runs again by itself"},
    ResultCodeInfo{kAlreadyDone, "already_done", 200, false,
                   "an earlier completion stands", "nothing to do"},
    ResultCodeInfo{kAttemptsExhausted, "attempts_exhausted", 422, false,
                   "every permitted attempt of the item failed",
                   "read the reason in the error file"},
    ResultCodeInfo{kItemImpossible, "item_impossible", 422, false,
                   "the upstream says that this item can never be done",
                   "read the reason in the error file and mend the item"},
    ResultCodeInfo{kInternal, "internal", 500, false, "a fault in papayarack",
                   "keep the log line and the dump and file a report"},
    ResultCodeInfo{kStorageDamaged, "storage_damaged", 500, false,
                   "files before the tail of the log are damaged",
                   "replace this control member as docs/OPERATORS.md says"},
    ResultCodeInfo{kProtocol, "protocol", 502, false,
                   "a peer sent what cannot be decoded",
                   "compare the versions of both processes"},
};

}  // namespace

std::span<const ResultCodeInfo> AllResultCodes() { return kTable; }

const ResultCodeInfo& Describe(ResultCode code) {
  const auto* found = std::ranges::find(kTable, code, &ResultCodeInfo::code);
  return found != kTable.end() ? *found : Describe(kInternal);
}

ResultError::ResultError(ResultCode code, const std::string& text)
    : std::runtime_error(text), outcome{code, text, {}} {}

ResultError::ResultError(Result result)
    : std::runtime_error(result.text), outcome(std::move(result)) {}

}  // namespace papayarack
