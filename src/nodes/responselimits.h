#ifndef PAPAYARACK_NODES_RESPONSELIMITS_H_
#define PAPAYARACK_NODES_RESPONSELIMITS_H_

#include <chrono>
#include <cstddef>

namespace papayarack::nodes {

/// Limits on responses of replicas and of the platform's list. A faulty peer
/// may send bytes without end; beyond a limit the call is ended and the request
/// is tried elsewhere where its route allows it.

/// Body of a refusal or failure that is not passed on. The head has decided
/// what happens next.
constexpr std::size_t kMaxIgnoredBytes = 64U << 10U;
/// Time for the rest of such a body after its head: a third of the usual target
/// for a first event, so that a retry can meet it.
constexpr std::chrono::milliseconds kMaxIgnoredTime{100};
/// Bytes of an event stream since its last event. An entry on the slowest
/// supported link, 30 Mbit/s, reads them in a quarter of the usual target of
/// 300 ms.
constexpr std::size_t kMaxUnframedBytes = 256U << 10U;
/// A stream with more bytes than kMinUnframedBytes since its last event, which
/// are more than a token and its keep-alive comments take, may not go on for
/// longer than this. Bounds the time where such bytes arrive slowly.
constexpr std::chrono::milliseconds kMaxUnframedTime{100};
constexpr std::size_t kMinUnframedBytes = 4U << 10U;
/// The same of all streams of a process together, without what was forwarded,
/// and of the failures that are passed on. Where it is exceeded, the response
/// that holds most ends: one beyond kMinUnframedBytes, as an entry has at most
/// 3,000 callers.
constexpr std::size_t kMaxAllUnframedBytes = 16U << 20U;
/// Body of a failure that is passed on to the caller, once it is complete.
constexpr std::size_t kMaxFailureBytes = 256U << 10U;
/// Time from its head to its end; a sound replica may be silent for a second.
constexpr std::chrono::milliseconds kMaxFailureTime{1500};
/// Body of a load report, which is a few fields.
constexpr std::size_t kMaxReportBodyBytes = 64U << 10U;
/// Body of a page of the platform's list. 5,000 replicas on one page, the
/// design size, take less than half of it.
constexpr std::size_t kMaxListPageBytes = 4U << 20U;

/// Bytes held for one caller above which reading from its replica pauses, and
/// below which it continues.
constexpr std::size_t kPauseReadingBytes = 256U << 10U;
constexpr std::size_t kResumeReadingBytes = 64U << 10U;
/// A caller that takes nothing for this long is dropped. Replicas cut a
/// response that stays unread for some seconds, which must not happen because
/// of a caller.
constexpr std::chrono::milliseconds kMaxCallerStall{2000};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_RESPONSELIMITS_H_
